"""The pace of loads, so that engines together stay within the weight store's rate."""

MAX_INTERVAL = 60.0
_SLOWER = 2.0
_FASTER = 0.9


class LoadPace:
    """One pace over all engines and models, for they share one store.

    Without it every engine would be refused and come back on its own, all at the same
    time; some would be refused again and again while capacity waits. A refusal doubles
    the interval and holds all loads for the time that the store asks for; each load
    that goes through takes a tenth off again.

    Args:
        interval: Seconds between two loads when the store refuses nothing.
    """

    def __init__(self, interval: float) -> None:
        self._least = interval
        self.interval = interval
        self._next = 0.0

    def wait(self, now: float) -> float:
        """Return the seconds until a load may start."""
        return max(0.0, self._next - now)

    def started(self, now: float) -> None:
        """Note that a load was ordered; the next one waits for the interval."""
        self._next = max(self._next, now + self.interval)

    def succeeded(self) -> None:
        """Note that the store served a load."""
        self.interval = max(self._least, self.interval * _FASTER)

    def limited(self, now: float, retry_after: float) -> None:
        """Note that the store refused a load."""
        self.interval = min(MAX_INTERVAL, self.interval * _SLOWER)
        self._next = max(self._next, now + max(retry_after, self.interval))
