"""Whether a process keeps up with its work, from how late its timers fire."""

WEIGHT = 0.3
"""Share of the newest delay in the average."""
LAGS_FROM = 0.15
"""Average delay, in seconds, from which a process lags,"""
CALM_UNTIL = 0.05
"""and below which it may lag no more:"""
CALM_FOR = 4.0
"""after so many seconds. Counted as fit at once, it would get back at the same moment
all the work that it was just relieved of."""


class Lag:
    """A running average of delays, and a state with hysteresis.

    Attributes:
        seconds: Average of the last second or so.
        is_lagging: The process doesn't keep up, or didn't some seconds ago.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self.is_lagging = False
        self._calm_since = float("-inf")

    def note(self, late: float, now: float) -> bool:
        """Take in a delay; True: the state has changed.

        Args:
            late: Seconds by which a timer fired late.
            now: Monotonic seconds.
        """
        self.seconds += WEIGHT * (late - self.seconds)
        if self.seconds >= CALM_UNTIL:
            self._calm_since = now
        before = self.is_lagging
        if self.seconds >= LAGS_FROM:
            self.is_lagging = True
        elif now - self._calm_since >= CALM_FOR:
            self.is_lagging = False
        return self.is_lagging is not before


__all__ = ["Lag"]
