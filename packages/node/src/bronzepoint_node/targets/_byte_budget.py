"""A bound on the bytes a second of one kind of reading."""


class ByteBudget:
    """Lets a reading go ahead while what was read lately stays within a rate.

    What a reading brings is known only afterwards, so it is charged then, and the next
    one waits until the charge is paid off.

    Args:
        rate: Bytes a second.
    """

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._free_at = 0.0

    def wait(self, now: float) -> float:
        """Return the seconds until the next reading may go ahead."""
        return max(0.0, self._free_at - now)

    def charge(self, size: int, now: float) -> None:
        """Charge a reading that has brought so many bytes."""
        self._free_at = max(self._free_at, now) + size / self._rate
