"""Bound on the bytes per second that are read from one kind of source."""


class ByteBudget:
    """Limits reads to a rate in bytes.

    The size of a read is known only afterwards, so it is charged then, and the next
    read waits until the rate has made up for it.

    Args:
        rate: Bytes per second.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._free_at = 0.0

    def wait(self, now: float) -> float:
        """Return the seconds until the next read is allowed."""
        return max(0.0, self._free_at - now)

    def charge(self, size: int, now: float) -> None:
        """Charge a read by its size in bytes."""
        self._free_at = max(self._free_at, now) + size / self._rate
