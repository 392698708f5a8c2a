"""Counts the requests that the hosts of a region forward to other regions.

Addresses the load of many hosts that see the same free capacity in another region and
all use it: the region's scheduler counts the asks that it could not serve, which their
hosts forward, and returns the count with its answers.
"""

from collections import deque
from collections.abc import Collection

from bronzepoint_schema.generated.fleet import RegionLoad
from bronzepoint_schema.ids import RegionName

REPORTED_COUNT_VALIDITY = 0.5
"""Seconds for which a scheduler's count is used. A host with requests to forward gets
several of them in that time."""


class ForwardTally:
    """Estimates what a region's hosts have forwarded, on its scheduler and its hosts.

    Args:
        region: This region.
    """

    def __init__(self, region: RegionName) -> None:
        self._region = region
        self._expected: dict[tuple[RegionName, str], deque[tuple[float, float]]] = {}
        self._reported: dict[tuple[RegionName, str], tuple[float, int]] = {}

    def expect_forward(
        self,
        loads: list[RegionLoad],
        windows: list[float],
        eligible: Collection[RegionName],
        now: float,
    ) -> list[int]:
        """Return the number of forwards to each region, and count one more.

        Which region gets the request is its host's choice, weighted by free slots, so
        each region is charged with its probability.

        Args:
            loads: Reports about one service.
            windows: For each report, the seconds for which a forward isn't part of it.
            eligible: Regions that the request may be forwarded to.
            now: Monotonic seconds.
        """
        counts = [
            self._count(load, now - window)
            for load, window in zip(loads, windows, strict=True)
        ]
        free = [
            max(0.0, self.free_slots(load, loads, count))
            if load.region in eligible
            else 0.0
            for load, count in zip(loads, counts, strict=True)
        ]
        total = sum(free)
        for load, share in zip(loads, free, strict=True):
            if share:
                key = load.region, load.service
                self._expected.setdefault(key, deque()).append((now, share / total))
        return [round(count) for count in counts]

    def free_slots(
        self, load: RegionLoad, loads: list[RegionLoad], sent: float
    ) -> float:
        """Return the slots of another region that this region may use.

        Each other region without free slots sees the same report, so each of them uses
        an equal share of what it shows.

        Args:
            load: Report of that region.
            loads: Reports of all regions about the service.
            sent: Requests forwarded there since the report.
        """
        if load.region == self._region:
            return 0.0
        full = sum(
            other.in_progress >= other.slots
            for other in loads
            if other.region not in (load.region, self._region)
        )
        return (load.slots - load.in_progress) / (1 + full) - sent

    def record_reported(
        self, loads: list[RegionLoad], counts: list[int], now: float
    ) -> None:
        """Record the counts that the scheduler has sent with the reports.

        A scheduler of an earlier version sends none.
        """
        for load, count in zip(loads, counts, strict=False):
            self._reported[load.region, load.service] = now, count

    def reported(
        self, region: RegionName, service: str, now: float
    ) -> tuple[float, int] | None:
        """Return when the scheduler has reported which count; None: not lately."""
        found = self._reported.get((region, service))
        if found is None or now - found[0] > REPORTED_COUNT_VALIDITY:
            return None
        return found

    def _count(self, load: RegionLoad, since: float) -> float:
        expected = self._expected.get((load.region, load.service), deque())
        while expected and expected[0][0] < since:
            expected.popleft()
        return sum(share for _, share in expected)
