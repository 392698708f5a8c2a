"""Decides on free capacity that regions lease to each other, without any I/O.

Addresses the load of a region at 2.8 times its mean beside regions at 0.17 of theirs:
if each host forwards by a summary of the other regions, hosts use the same free slots,
and most forwarded requests are refused. A lease is a rate in target seconds per second
that one region's scheduler keeps free for another one's requests.
"""

import random
from collections.abc import Iterable

from msgspec import structs

from bronzepoint_schema.generated.fleet import RegionLoad
from bronzepoint_schema.generated.room_leases import RoomAsk, RoomLease, RoomReturn
from bronzepoint_schema.ids import RegionName

from ._room_borrower import Borrower
from ._room_budget import LEASE_TIME
from ._room_demand import RateWindow, ServiceRoom, demand
from ._room_lender import Lender

OWN_RESERVE = 0.01
"""Part of its capacity that a region that lends doesn't report as free."""
MAX_ADMITTED_UNKNOWN = LEASE_TIME
"""Seconds after its start in which a scheduler admits leases that it doesn't know: its
predecessor may have granted them."""
UNLEASED = -1
"""Number in the ask for a request that another region has forwarded without a lease."""
NO_OWN_QUEUE = -2
"""Number for a request that its own region may not serve. It can't wait there, so it
waits in the region that it is forwarded to, as one of that region."""


class RegionLeases:
    """The leases of one region, in the roles of lender and borrower.

    A region that lends a service doesn't borrow it, and vice versa, until a lease time
    after the end of the last lease. Otherwise two regions would exchange requests.

    Args:
        region: This region.
        first_number: Number of the first lease that this scheduler asks for.
    """

    def __init__(self, region: RegionName, first_number: int | None = None) -> None:
        number = random.getrandbits(40) if first_number is None else first_number
        self.lender = Lender()
        self.borrower = Borrower(region, number)
        self._region = region
        self._arrivals: dict[str, RateWindow] = {}
        self._started_at: float | None = None

    def note_arrival(self, service: str, now: float) -> None:
        """Count a request of this region."""
        if self._started_at is None:
            self._started_at = now
        self._arrivals.setdefault(service, RateWindow()).note(1.0, now)

    def plan(
        self,
        service: str,
        room: ServiceRoom,
        loads: Iterable[RegionLoad],
        silent: Iterable[RegionName],
        now: float,
    ) -> list[tuple[RegionName, RoomAsk | RoomReturn]]:
        """Return the messages to other regions that are due.

        Args:
            service: The service.
            room: This region's capacity.
            loads: Load reports of all regions.
            silent: Regions that can't be reached.
            now: Monotonic seconds.
        """
        if self.lender.has_lent(service, now):
            return []
        excluded = {self._region, *silent}
        free = {
            load.region: (load.slots - load.in_progress) / room.slots
            for load in loads
            if load.service == service and load.region not in excluded
        }
        needed = self._needed(service, room, now)
        return self.borrower.plan(service, room, needed, free, now)

    def answer(self, ask: RoomAsk, room: ServiceRoom, now: float) -> RoomLease | None:
        """Answer another region's ask."""
        if self.borrower.has_borrowed(ask.service, now):
            return self.lender.answer(ask, room, float("inf"), now)
        needed = self._needed(ask.service, room, now)
        return self.lender.answer(ask, room, needed, now)

    def reported_load(
        self, load: RegionLoad, room: ServiceRoom, now: float
    ) -> RegionLoad:
        """Return a load report that shows only what may be used without a lease.

        A region whose own requests wait or cross has no room for others, whichever
        slots are free at the moment. A region that lends keeps some for its own
        requests, which may not cross.
        """
        service = load.service
        in_progress = load.in_progress
        if room.waiting or self.borrower.held(service, now):
            in_progress = max(in_progress, load.slots)
        elif self.lender.has_lent(service, now):
            unused = self.lender.unused(service, now)
            kept = unused + OWN_RESERVE * room.capacity
            in_progress += round(kept * room.slots)
        return structs.replace(load, in_progress=in_progress)

    def admits(self, number: int, now: float) -> bool:
        """Return whether a request forwarded under a lease is admitted by it."""
        if number == UNLEASED:
            return False
        known = self.lender.admits(number, now)
        if known is not None:
            return known
        if self._started_at is None:
            return True
        return now - self._started_at < MAX_ADMITTED_UNKNOWN

    def _needed(self, service: str, room: ServiceRoom, now: float) -> float:
        """Return what this region's own requests need, or use at the moment."""
        arrivals = self._arrivals.get(service, RateWindow())
        own_use = room.used - self.lender.used_by_others(service, now)
        return max(demand(room, arrivals, now), own_use)
