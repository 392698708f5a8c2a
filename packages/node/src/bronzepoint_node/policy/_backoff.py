"""Pauses for a region that has refused a forwarded request."""

from random import Random

from msgspec import Struct

_FIRST = 0.2
_LONGEST = 5.0
_FORGET_AFTER = 10.0
_PROBE_WAIT = 3.0
"""Longest wait for what becomes of a probe, in seconds."""


class RegionBackoff(Struct):
    """How long one region is left alone; doubles with each refusal in a row.

    After a pause one request goes there as a probe, and the others wait for what
    becomes of it. Were all let through again, each pause would end with as many
    requests as arrive until the first of them has failed too.

    Attributes:
        until: monotonic seconds before which nothing is sent there.
        pause: seconds of the last pause; 0: the region has answered since.
        probe_until: monotonic seconds until which a probe is waited for.
    """

    until: float = 0.0
    pause: float = 0.0
    probe_until: float = 0.0

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
        self.probe_until = 0.0
        self.until = now + self.pause * rng.uniform(0.5, 1.0)

    def sent(self, now: float) -> None:
        """Note that a request goes there: after a pause it is the probe."""
        if self.pause > 0:
            self.probe_until = now + _PROBE_WAIT

    def answered(self) -> None:
        """Forget earlier refusals."""
        self.pause = self.probe_until = 0.0

    def paused(self, now: float) -> bool:
        """Return whether nothing may be sent there now."""
        return now < max(self.until, self.probe_until)


__all__ = ["RegionBackoff"]
