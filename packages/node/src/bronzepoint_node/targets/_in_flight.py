"""Count of this host's requests in progress at one target, with a short history."""

from bisect import bisect_right
from collections import deque

_HISTORY_SECONDS = 30.0
_MAX_CHANGES = 512
"""Number of changes of the count that are remembered at most."""


class InFlight:
    """Counts requests and remembers earlier counts, to compare with late reports."""

    def __init__(self) -> None:
        self.count = 0
        self._changes: deque[tuple[float, int]] = deque(maxlen=_MAX_CHANGES)

    def change(self, by: int, unix_time: float) -> None:
        """Count a request that starts (1) or ends (-1)."""
        self.count = max(0, self.count + by)
        self._changes.append((unix_time, self.count))
        while self._changes[0][0] < unix_time - _HISTORY_SECONDS:
            self._changes.popleft()

    def at(self, unix_time: float) -> int:
        """Return the count at an earlier time, as far as it is remembered."""
        if not self._changes:
            return self.count
        position = bisect_right(self._changes, unix_time, key=lambda item: item[0])
        if position == 0:
            return 0 if len(self._changes) < _MAX_CHANGES else self._changes[0][1]
        return self._changes[position - 1][1]
