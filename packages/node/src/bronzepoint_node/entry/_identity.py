"""Identity of this host, as the request path uses it."""

from msgspec import Struct

from bronzepoint_schema.ids import HostName, RegionName


class Identity(Struct, frozen=True):
    """This host.

    Attributes:
        key: The cluster key, which signs the context of forwarded requests.
        in_force_bound: Seconds within which a catalogue change takes effect on all
            hosts.
    """

    host: HostName
    region: RegionName
    key: bytes
    in_force_bound: float
