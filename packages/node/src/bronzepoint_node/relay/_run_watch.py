"""Signs that a run may have ended without this host having heard of it."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum

from ._try import Try

CHECK_INTERVAL = 0.15
"""Seconds between two looks at a run."""
HEAD_PATIENCE = 1.0
"""Base, in seconds, of the time after which a missing head of an answer is a sign."""
HEAD_PATIENCE_BY_DELAY = 2.5
"""Multiple of the expected delay that is added to this base. A busy engine is not left
too soon: the part of the prompt that it has processed would be lost, and processed
again elsewhere."""
HEAD_PATIENCE_SHARE = 0.6
"""Maximum part of the time until the deadline that this time may take."""
MIN_HEAD_PATIENCE = 0.2
"""Minimum of this time in seconds."""
EVENT_PATIENCE = 1.0
"""Seconds without a further part of a stream that are a sign."""
PAUSE_FACTOR = 3.0
"""Multiple of the longest usual pause between two events, if that is longer."""
SEARCH_INTERVAL = 0.5
"""Seconds until a replacement that wasn't found is looked for again. Each further
search for the same run waits twice as long as the one before."""


class Sign(Enum):
    """Why a run may have ended; the value stands in the log and the metrics."""

    SILENT = "timeout"
    UNREACHABLE = "lost"


@dataclass
class RunWatch:
    """Watches one run for signs that it may have ended.

    A sign is no proof: a slow target, a busy link or an outdated report look the same.
    It only starts the search for a replacement.

    Attributes:
        attempt: The try; it knows when the last part of its answer came.
        head_patience: Seconds without a head, or a first event, that are a sign.
        event_patience: Returns the seconds without a further event that are a sign.
        is_unreachable: Returns whether the receiver didn't answer polls.
        is_confirmed: Asks the receiver, where that is possible; returns whether the
            sign stands.
    """

    attempt: Try
    head_patience: float
    event_patience: Callable[[], float]
    is_unreachable: Callable[[], bool]
    is_confirmed: Callable[[], Awaitable[bool]]
    _search_at: float = 0.0
    _search_interval: float = SEARCH_INTERVAL
    _progress_at: float = 0.0

    def due_sign(self, now: float) -> Sign | None:
        """Return a sign for which a replacement is to be looked for now."""
        if self.attempt.progress_at != self._progress_at:
            self._progress_at = self.attempt.progress_at
            self._search_at, self._search_interval = 0.0, SEARCH_INTERVAL
        return self._sign(now) if now >= self._search_at else None

    def note_search(self, now: float) -> None:
        """Record that no replacement was found."""
        self._search_at = now + self._search_interval
        self._search_interval *= 2

    def has_progressed(self) -> bool:
        """Return whether a part of the answer has come since the sign."""
        return self.attempt.progress_at != self._progress_at

    def _sign(self, now: float) -> Sign | None:
        if self.attempt.is_sending_on:
            # The caller is slow: what the run brings isn't read meanwhile.
            return None
        idle = now - self.attempt.progress_at
        has_events = self.attempt.received_events > 0
        patience = self.event_patience() if has_events else self.head_patience
        if idle >= patience:
            return Sign.SILENT
        if idle >= CHECK_INTERVAL and self.is_unreachable():
            return Sign.UNREACHABLE
        return None


def head_patience(delay: float, time_left: float) -> float:
    """Return the seconds without a head of an answer that are a sign.

    Args:
        delay: Expected seconds until the first event.
        time_left: Seconds until the deadline.
    """
    patience = HEAD_PATIENCE + HEAD_PATIENCE_BY_DELAY * delay
    return max(MIN_HEAD_PATIENCE, min(patience, HEAD_PATIENCE_SHARE * time_left))


def event_patience(longest_gap: float, seconds_per_event: float) -> float:
    """Return the seconds without a further event that are a sign.

    Args:
        longest_gap: Longest pause of the stream so far, in seconds.
        seconds_per_event: Mean pause of the target's streams; 0 if unknown.
    """
    usual = max(longest_gap, seconds_per_event)
    return max(EVENT_PATIENCE, PAUSE_FACTOR * usual)
