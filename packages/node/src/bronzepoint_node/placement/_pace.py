"""How fast one engine writes, as seen from the streams of this host."""

import math

MEMORY = 1.5
"""Seconds after which what was seen weighs a third: a prompt of 50,000 tokens is read
in about one, and writing slows down four times meanwhile."""
LEAST_EVENTS = 20.0
"""Events that must have been seen lately for the pace to say anything."""


class Pace:
    """Running mean of the time between two events of the streams of one engine.

    An engine reads prompts between the tokens that it writes. Under a crowd of long
    prompts a stream of 400 tokens takes 10 s instead of 2, and all that were begun
    meanwhile run into their deadlines together, unfinished.
    """

    def __init__(self) -> None:
        self._events = 0.0
        self._seconds = 0.0
        self._at = 0.0

    def note(self, events: int, seconds: float, now: float) -> None:
        """Count events of one stream that took so long since the one before."""
        self._fade(now)
        self._events += events
        self._seconds += seconds

    def seconds_per_event(self, now: float) -> float:
        """Return the mean time of an event; 0: not known."""
        self._fade(now)
        if self._events < LEAST_EVENTS:
            return 0.0
        return self._seconds / self._events

    def _fade(self, now: float) -> None:
        left = math.exp(-max(0.0, now - self._at) / MEMORY)
        self._events *= left
        self._seconds *= left
        self._at = now
