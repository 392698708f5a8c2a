"""Data that membership provides to the other components of the process."""

import math
from enum import StrEnum

from msgspec import Struct, field

from bronzepoint_schema.generated.membership import EntryLoad, EntryShare
from bronzepoint_schema.ids import (
    DataCenterName,
    EntryName,
    HostName,
    RegionName,
)


class HostState(StrEnum):
    """State of a host according to this host's failure detector."""

    live = "live"
    suspect = "suspect"
    draining = "draining"
    dead = "dead"


class HostInfo(Struct):
    """One host of the system.

    Attributes:
        load: Requests in progress as a fraction of the host's capacity.
        revision: Catalogue revision of the host.
        silent_for: Seconds since the host's heartbeat last advanced.
    """

    name: HostName
    region: RegionName
    data_center: DataCenterName
    http: str
    state: HostState
    incarnation: int = 0
    load: float = 0.0
    revision: int = 0
    run_once_ready: bool = False
    silent_for: float = 0.0


class RegionSummary(Struct):
    """One region, as known to this host.

    Attributes:
        reachable: Whether the newest report is recent enough.
        live: Number of live hosts.
        age: Seconds since the newest report arrived; 0 for this host's own region.
        trip: Round-trip time (s) between the regions; 0 if not measured.
    """

    name: RegionName
    reachable: bool
    live: int
    age: float = math.inf
    trip: float = 0.0
    entries: dict[EntryName, EntryLoad] = field(default_factory=dict)

    @property
    def free_slots(self) -> int:
        """Number of slots without a request, over all entries."""
        return sum(max(0, e.slots - e.in_progress) for e in self.entries.values())

    @property
    def queue(self) -> int:
        """Number of requests in excess of the slots, over all entries."""
        return sum(max(0, e.in_progress - e.slots) for e in self.entries.values())


class LoadSummary(Struct):
    """Load that this host publishes.

    Attributes:
        load: Requests in progress as a fraction of the host's capacity.
        revision: Catalogue revision of the host.
        entries: Share of this host in the load of each entry in use.
    """

    load: float = 0.0
    revision: int = 0
    run_once_ready: bool = False
    entries: list[EntryShare] = field(default_factory=list)
