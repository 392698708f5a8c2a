"""Exponentially weighted rate of single amounts."""

import math

TIME_CONSTANT = 1.0
"""Time constant in seconds, after which an amount has about a third (1/e) of its
weight."""


class RateMeter:
    """Measures the recent rate in units per second, as an exponential average."""

    def __init__(self) -> None:
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount; a negative one reverses an earlier one."""
        self._value = max(0.0, self.rate(now) + amount / TIME_CONSTANT)
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the rate in units per second."""
        return self._value * math.exp(min(0.0, self._updated_at - now) / TIME_CONSTANT)
