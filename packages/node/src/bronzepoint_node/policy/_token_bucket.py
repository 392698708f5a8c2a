"""A rate kept by a bucket of tokens."""

from msgspec import Struct

BURST = 1.0
"""Seconds of the rate that may be used at once after a pause."""
_LONGEST_DEBT = 10.0
"""Seconds of the rate that a correction may take in advance."""


class TokenBucket(Struct):
    """Lets so many units through in a second, with one second's burst.

    Attributes:
        rate: units a second.
        level: units there are; below 0 after a correction.
        updated: monotonic seconds.
    """

    rate: float
    level: float
    updated: float

    def set_rate(self, rate: float, now: float) -> None:
        """Go on at another rate."""
        self._fill(now)
        self.rate = rate
        self.level = min(self.level, self._most())

    def take(self, amount: float, now: float) -> bool:
        """Take units; False, and none is taken, where there are too few.

        More than the bucket ever holds is let through when it is full, and leaves a
        debt: a request that may generate many tokens would otherwise never start.
        """
        self._fill(now)
        if self.level < min(amount, self._most()):
            return False
        self.level -= amount
        return True

    def give_back(self, amount: float, now: float) -> None:
        """Correct an estimate: add what wasn't used, or take what was used besides."""
        self._fill(now)
        floor = -_LONGEST_DEBT * max(self.rate, 1.0)
        self.level = max(floor, min(self._most(), self.level + amount))

    def seconds_until(self, amount: float, now: float) -> float:
        """Return when so much can be taken."""
        self._fill(now)
        missing = min(amount, self._most()) - self.level
        return max(0.0, missing / self.rate) if self.rate > 0 else _LONGEST_DEBT

    def _most(self) -> float:
        return max(1.0, self.rate * BURST)

    def _fill(self, now: float) -> None:
        self.level = min(self._most(), self.level + self.rate * (now - self.updated))
        self.updated = now


__all__ = ["BURST", "TokenBucket"]
