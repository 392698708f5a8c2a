"""Catalogue status of one host for operators."""

import msgspec

from bronzepoint_schema.ids import ClusterId, HostName, Revision


class CatalogueStatus(msgspec.Struct):
    """State of the catalogue on one host.

    Attributes:
        cluster: The cluster; empty if none is known yet.
        revision: Revision that requests are decided on.
        held: Newest revision that this host holds.
        ready: Whether requests may be served.
        confirmed_age: Seconds since the leader confirmed the view; -1 if it never did.
        within_bound: Whether all changes older than the bound are in effect here.
        parent: Host that this one polls; empty if there is none or this host leads.
        children: Number of hosts that poll this one.
        foreign_cluster: Another cluster that a host reported; empty if there is none.
    """

    cluster: ClusterId
    revision: Revision
    held: Revision
    ready: bool
    confirmed_age: float
    within_bound: bool
    parent: HostName
    children: int
    foreign_cluster: ClusterId
