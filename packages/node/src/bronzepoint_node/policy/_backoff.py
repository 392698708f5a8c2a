"""Pauses for a region that has refused a forwarded request."""

from random import Random

from msgspec import Struct

_FIRST = 0.2
_LONGEST = 5.0
_FORGET_AFTER = 10.0


class RegionBackoff(Struct):
    """How long one region is left alone; doubles with each refusal in a row.

    Attributes:
        until: monotonic seconds before which nothing is sent there.
        pause: seconds of the last pause.
    """

    until: float = 0.0
    pause: float = 0.0

    def refused(self, now: float, rng: Random, least: float = _FIRST) -> None:
        """Start a pause, or a longer one where the last has just ended.

        Refusals that arrive during a pause answer requests sent before it and count
        once. The length is drawn at random, so that hosts don't come back together.
        """
        if now < self.until:
            return
        if now - self.until > _FORGET_AFTER:
            self.pause = 0.0
        self.pause = min(_LONGEST, max(least, 2 * self.pause))
        self.until = now + self.pause * rng.uniform(0.5, 1.0)

    def answered(self) -> None:
        """Forget earlier refusals."""
        self.pause = 0.0

    def paused(self, now: float) -> bool:
        """Return whether nothing may be sent there now."""
        return now < self.until


__all__ = ["RegionBackoff"]
