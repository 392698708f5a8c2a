"""Who this host is to the request path."""

from msgspec import Struct

from bronzepoint_schema.ids import HostName, RegionName


class Identity(Struct, frozen=True):
    """This host.

    Attributes:
        key: The cluster key; signs what is forwarded.
        in_force_bound: Seconds within which a change is in force everywhere.
    """

    host: HostName
    region: RegionName
    key: bytes
    in_force_bound: float
