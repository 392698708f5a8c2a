"""Rate limit on loads, so that all engines together stay within the store's rate."""

MAX_INTERVAL = 60.0
"""Maximum seconds between two loads."""
_BACKOFF_FACTOR = 2.0
"""Factor on the interval after a refusal."""
_RECOVERY_FACTOR = 0.9
"""Factor on the interval after a successful load."""


class LoadRateLimiter:
    """Spaces out loads over all engines and models, which share one weight store.

    Without a common limit, all refused engines would retry separately at the same
    time, and some would be refused repeatedly while capacity is unused. A refusal
    doubles the interval and pauses all loads for the time that the store requests;
    each successful load reduces the interval by a tenth.

    Args:
        interval: Seconds between two loads if the store refuses none.
    """

    def __init__(self, interval: float) -> None:
        self._min_interval = interval
        self.interval = interval
        self._next = 0.0

    def wait(self, now: float) -> float:
        """Return the seconds until a load may start."""
        return max(0.0, self._next - now)

    def started(self, now: float) -> None:
        """Record that a load was ordered; the next one waits for the interval."""
        self._next = max(self._next, now + self.interval)

    def succeeded(self) -> None:
        """Record that the store served a load."""
        self.interval = max(self._min_interval, self.interval * _RECOVERY_FACTOR)

    def limited(self, now: float, retry_after: float) -> None:
        """Record that the store refused a load; wait `retry_after` (s) or longer."""
        self.interval = min(MAX_INTERVAL, self.interval * _BACKOFF_FACTOR)
        self._next = max(self._next, now + max(retry_after, self.interval))
