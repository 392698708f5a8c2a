"""What was sent to other regions since their last summaries."""

from bisect import bisect_left
from collections import deque

from bronzepoint_schema.ids import EntryName, RegionName

_MOST = 2000


class SentAway:
    """Times at which requests were forwarded, by entry and region."""

    def __init__(self) -> None:
        self._times: dict[tuple[EntryName, RegionName], deque[float]] = {}

    def add(self, entry: EntryName, region: RegionName, now: float) -> None:
        """Note a forwarded request."""
        times = self._times.setdefault((entry, region), deque(maxlen=_MOST))
        times.append(now)

    def since(self, entry: EntryName, region: RegionName, moment: float) -> int:
        """Return how many requests were forwarded after a moment."""
        times = self._times.get((entry, region))
        if not times:
            return 0
        return len(times) - bisect_left(times, moment)


__all__ = ["SentAway"]
