"""Exponential backoff for a region that has refused a forwarded request."""

from random import Random

from msgspec import Struct

_FIRST_PAUSE_SECONDS = 0.2
_MAX_PAUSE_SECONDS = 5.0
_RESET_SECONDS = 10.0
"""Time after the end of a pause from which the next pause is a first one again."""
_PROBE_TIMEOUT_SECONDS = 3.0
"""Longest wait for the result of a probe."""


class RegionBackoff(Struct):
    """Pauses forwarding to one region, doubling with each consecutive refusal.

    After a pause one request is forwarded as a probe, and the region stays paused
    until its result is known. Without the probe, each pause would be followed by all
    requests that arrive until the first of them has failed too.

    Attributes:
        until: monotonic seconds before which no request is forwarded.
        pause: seconds of the last pause; 0: the region has answered since.
        probe_until: monotonic seconds until which the result of a probe is awaited.
    """

    until: float = 0.0
    pause: float = 0.0
    probe_until: float = 0.0

    def record_refusal(
        self, now: float, rng: Random, min_pause: float = _FIRST_PAUSE_SECONDS
    ) -> None:
        """Start a pause, or a longer one where the last has just ended.

        Refusals during a pause belong to requests sent before it and are ignored. The
        length is drawn at random, so that hosts don't resume at the same time.
        """
        if now < self.until:
            return
        if now - self.until > _RESET_SECONDS:
            self.pause = 0.0
        self.pause = min(_MAX_PAUSE_SECONDS, max(min_pause, 2 * self.pause))
        self.probe_until = 0.0
        self.until = now + self.pause * rng.uniform(0.5, 1.0)

    def record_sent(self, now: float) -> None:
        """Record a forwarded request; after a pause it is the probe."""
        if self.pause > 0:
            self.probe_until = now + _PROBE_TIMEOUT_SECONDS

    def record_answer(self) -> None:
        """Record an answer, which resets the backoff."""
        self.pause = self.probe_until = 0.0

    def is_paused(self, now: float) -> bool:
        """Return whether forwarding to the region is paused."""
        return now < max(self.until, self.probe_until)


__all__ = ["RegionBackoff"]
