"""How long to wait for an answer of another host, and when to call it again.

With a fixed timeout, a host that answers later than that is called again and again.
Each call costs it the same work, so that it answers later still, and the calls of all
hosts together keep it busy for good.
"""

import random

_LATE_FACTOR = 1.5
"""Timeout after a late answer, as a multiple of the time that it took."""
_PROMPT_FACTOR = 2.0
"""Timeout after an answer in time, as a multiple of the time that it took."""


class AdaptiveTimeout:
    """Timeout of the calls to one host, which grows with its late answers.

    Silence doesn't change it: a host that is gone must be noticed as soon as before.

    Args:
        minimum: Timeout in seconds while answers are prompt.
        maximum: Maximum timeout in seconds.

    Attributes:
        seconds: Timeout of the next call.
    """

    def __init__(self, minimum: float, maximum: float) -> None:
        self._minimum = minimum
        self._maximum = maximum
        self.seconds = minimum

    def record_late(self, seconds: float) -> None:
        """Record an answer that came after the timeout of its call."""
        wanted = max(self.seconds, _LATE_FACTOR * seconds)
        self.seconds = min(wanted, self._maximum)

    def record_prompt(self, seconds: float) -> None:
        """Record an answer that came in time."""
        wanted = max(self._minimum, _PROMPT_FACTOR * seconds)
        self.seconds = min(wanted, self.seconds)


class RetryBackoff:
    """Pauses between attempts that fail: doubled each time, with jitter.

    Args:
        first: Mean of the first pause in seconds.
        maximum: Maximum mean of a pause in seconds.
    """

    def __init__(self, first: float, maximum: float) -> None:
        self._first = first
        self._maximum = maximum
        self._mean = first

    def next(self) -> float:
        """Return the next pause in seconds."""
        pause = random.uniform(0.5, 1.5) * self._mean
        self._mean = min(2 * self._mean, self._maximum)
        return pause

    def reset(self) -> None:
        """Start again with the first pause."""
        self._mean = self._first


__all__ = ["AdaptiveTimeout", "RetryBackoff"]
