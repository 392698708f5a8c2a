"""Requests that were forwarded since the last summaries of other regions."""

from bisect import bisect_left
from collections import deque

from bronzepoint_schema.ids import EntryName, RegionName

_MAX_TIMES = 2000
"""Number of forwards remembered for each entry and region."""


class RecentForwards:
    """Records when requests were forwarded, by entry and region."""

    def __init__(self) -> None:
        self._times: dict[tuple[EntryName, RegionName], deque[float]] = {}

    def add(self, entry: EntryName, region: RegionName, now: float) -> None:
        """Record a forwarded request."""
        times = self._times.setdefault((entry, region), deque(maxlen=_MAX_TIMES))
        times.append(now)

    def count_since(self, entry: EntryName, region: RegionName, moment: float) -> int:
        """Return the number of requests forwarded since a time."""
        times = self._times.get((entry, region))
        if not times:
            return 0
        return len(times) - bisect_left(times, moment)


__all__ = ["RecentForwards"]
