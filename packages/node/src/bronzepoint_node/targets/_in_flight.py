"""Requests of this host in progress at one target, now and a while ago."""

from bisect import bisect_right
from collections import deque

_KEPT_SECONDS = 30.0
_MOST_CHANGES = 512


class InFlight:
    """Counts requests and remembers the counts, to compare with late reports."""

    def __init__(self) -> None:
        self.count = 0
        self._changes: deque[tuple[float, int]] = deque(maxlen=_MOST_CHANGES)

    def change(self, by: int, unix_time: float) -> None:
        """Count a request that begins (1) or ends (-1)."""
        self.count = max(0, self.count + by)
        self._changes.append((unix_time, self.count))
        while self._changes[0][0] < unix_time - _KEPT_SECONDS:
            self._changes.popleft()

    def at(self, unix_time: float) -> int:
        """Return the count at an earlier moment, as far as it is remembered."""
        if not self._changes:
            return self.count
        position = bisect_right(self._changes, unix_time, key=lambda item: item[0])
        if position == 0:
            return 0 if len(self._changes) < _MOST_CHANGES else self._changes[0][1]
        return self._changes[position - 1][1]
