"""Writing speed of one engine, measured on the streams of this host."""

import math

TIME_CONSTANT = 1.5
"""Seconds after which the weight of a measurement has decayed to a third. A prompt of
50,000 tokens is read in about one second, during which writing is four times slower."""
MIN_EVENTS = 20.0
"""Number of events, weighted by their age, below which the pace is unknown."""


class Pace:
    """Decaying mean of the time between two events of an engine's streams.

    An engine reads prompts between the tokens that it writes. Under many long prompts a
    stream of 400 tokens takes 10 s instead of 2, and all streams started meanwhile
    reach their deadlines unfinished.
    """

    def __init__(self) -> None:
        self._events = 0.0
        self._seconds = 0.0
        self._updated_at = 0.0
        self._known_until = float("-inf")

    def note(self, events: int, seconds: float, now: float) -> None:
        """Record events of a stream and the seconds since the previous ones."""
        remaining = math.exp(-max(0.0, now - self._updated_at) / TIME_CONSTANT)
        self._events = self._events * remaining + events
        self._seconds = self._seconds * remaining + seconds
        self._updated_at = now
        self._known_until = float("-inf")
        if self._events >= MIN_EVENTS:
            self._known_until = now + TIME_CONSTANT * math.log(
                self._events / MIN_EVENTS
            )

    def seconds_per_event(self, now: float) -> float:
        """Return the mean seconds per event; 0 if unknown.

        The mean doesn't decay, only its weight does, so nothing is computed here for
        each target of each choice.
        """
        if now > self._known_until:
            return 0.0
        return self._seconds / self._events
