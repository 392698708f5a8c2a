"""Detects from the delay of its timers that a process is overloaded."""

WEIGHT = 0.3
"""Weight of the newest delay in the moving average, from 0 to 1."""
LAG_THRESHOLD = 0.15
"""Average delay in seconds from which a process counts as lagging."""
RECOVERY_THRESHOLD = 0.05
"""Average delay in seconds below which a lagging process can recover."""
RECOVERY_TIME = 4.0
"""Seconds for which the average must stay below RECOVERY_THRESHOLD. If the process
recovered at once, it would immediately get back all the work that it was just relieved
of."""


class Lag:
    """A moving average of timer delays, and a lagging state with hysteresis.

    Attributes:
        seconds: Average delay over about the last second.
        is_lagging: Whether the process is overloaded, or was within RECOVERY_TIME.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self.is_lagging = False
        self._last_late_at = float("-inf")

    def record(self, late: float, now: float) -> bool:
        """Record a delay; return whether `is_lagging` has changed.

        Args:
            late: Seconds by which a timer fired late.
            now: Monotonic seconds.
        """
        self.seconds += WEIGHT * (late - self.seconds)
        if self.seconds >= RECOVERY_THRESHOLD:
            self._last_late_at = now
        before = self.is_lagging
        if self.seconds >= LAG_THRESHOLD:
            self.is_lagging = True
        elif now - self._last_late_at >= RECOVERY_TIME:
            self.is_lagging = False
        return self.is_lagging is not before


__all__ = ["Lag"]
