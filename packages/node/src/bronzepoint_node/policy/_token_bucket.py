"""Rate limiting by a token bucket."""

from msgspec import Struct

BURST = 1.0
"""Usual seconds of the rate that may be used at once after a pause: the size of a
bucket."""
_MAX_DEBT_SECONDS = 10.0
"""Largest debt that a correction may leave, in seconds of the rate."""


class TokenBucket(Struct):
    """Admits a number of units per second, with a burst after a pause.

    Attributes:
        rate: units per second.
        level: available units; may be negative after a correction.
        updated: monotonic seconds of the last refill.
        burst: seconds of the rate that may be used at once after a pause.
    """

    rate: float
    level: float
    updated: float
    burst: float = BURST

    def set_rate(self, rate: float, now: float) -> None:
        """Change the rate."""
        self._refill(now)
        self.rate = rate
        self.level = min(self.level, self._capacity())

    def take(self, amount: float, now: float) -> bool:
        """Take units; where too few are available, take none and return False.

        An amount above the bucket's capacity is admitted when the bucket is full, and
        leaves a debt. A request that may generate many tokens would otherwise never
        start.
        """
        self._refill(now)
        if self.level < min(amount, self._capacity()):
            return False
        self.level -= amount
        return True

    def refund(self, amount: float, now: float) -> None:
        """Correct an estimate: add unused units, or take those used in excess."""
        self._refill(now)
        floor = -_MAX_DEBT_SECONDS * max(self.rate, 1.0)
        self.level = max(floor, min(self._capacity(), self.level + amount))

    def seconds_until(self, amount: float, now: float) -> float:
        """Return the seconds until an amount can be taken."""
        self._refill(now)
        missing = min(amount, self._capacity()) - self.level
        return max(0.0, missing / self.rate) if self.rate > 0 else _MAX_DEBT_SECONDS

    def _capacity(self) -> float:
        return max(1.0, self.rate * self.burst)

    def _refill(self, now: float) -> None:
        self.level = min(
            self._capacity(), self.level + self.rate * (now - self.updated)
        )
        self.updated = now


__all__ = ["BURST", "TokenBucket"]
