"""What operators see of the catalogue on one host."""

import msgspec

from bronzepoint_schema.ids import ClusterId, HostName, Revision


class CatalogueStatus(msgspec.Struct):
    """State of the catalogue on one host.

    Attributes:
        cluster: The cluster; empty: none is known yet.
        revision: Revision that requests are decided on.
        held: Newest revision that this host holds.
        ready: False while nothing may be served.
        confirmed_age: Seconds since the leader confirmed the view; -1: never yet.
        within_bound: False: changes may be in force elsewhere and not here.
        parent: Host that this one learns from; empty: none, or it leads.
        children: Hosts that learn from this one.
        foreign_cluster: Another cluster that a host answered with; empty: none.
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
