"""What membership tells the rest of the process."""

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
    """State of a host, as this host sees it."""

    live = "live"
    suspect = "suspect"
    draining = "draining"
    dead = "dead"


class HostInfo(Struct):
    """One host of the system.

    Attributes:
        load: requests in progress as a share of what the host can take.
        revision: the host's catalogue revision.
        silent_for: seconds since news of the host came last.
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
    """One region, as this host knows it.

    Attributes:
        reachable: False where no report has come for a while.
        live: live hosts.
        age: seconds since the newest report came; 0 for this host's own region.
        trip: seconds of a round trip between the regions; 0 where not measured.
    """

    name: RegionName
    reachable: bool
    live: int
    age: float = math.inf
    trip: float = 0.0
    entries: dict[EntryName, EntryLoad] = field(default_factory=dict)

    @property
    def free_slots(self) -> int:
        """Slots without a request, over all entries."""
        return sum(max(0, e.slots - e.in_progress) for e in self.entries.values())

    @property
    def queue(self) -> int:
        """Requests beyond the slots, over all entries."""
        return sum(max(0, e.in_progress - e.slots) for e in self.entries.values())


class LoadSummary(Struct):
    """What this host says about itself.

    Attributes:
        load: requests in progress as a share of what the host can take.
        revision: the host's catalogue revision.
        entries: its part of the load of each entry in use.
    """

    load: float = 0.0
    revision: int = 0
    run_once_ready: bool = False
    entries: list[EntryShare] = field(default_factory=list)
