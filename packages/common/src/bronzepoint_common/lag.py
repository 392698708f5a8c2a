"""Detects from the delay of its timers that a process is overloaded."""

from collections import deque

WEIGHT = 0.3
"""Weight of the newest delay in the moving average, from 0 to 1."""
LAG_THRESHOLD = 0.15
"""Average delay in seconds from which a process counts as lagging."""
RECOVERY_THRESHOLD = 0.05
"""Average delay in seconds below which a lagging process can recover."""
RECOVERY_TIME = 4.0
"""Seconds for which the average must stay below RECOVERY_THRESHOLD. If the process
recovered at once, it would immediately get back all the work that it was just relieved
of. Delays that are further apart don't confirm each other."""


class Lag:
    """A moving average of timer delays, and a lagging state with hysteresis.

    A delay counts as far as the process used the processor meanwhile, or as far as
    another one within RECOVERY_TIME confirms it. A process that was stopped once isn't
    overloaded, while one that gets too little processor time is late again and again.

    Attributes:
        seconds: Average of what counted over about the last second.
        counted: Seconds of the newest delay that counted.
        is_lagging: Whether the process is overloaded, or was within RECOVERY_TIME.
    """

    def __init__(self) -> None:
        self.seconds = 0.0
        self.counted = 0.0
        self.is_lagging = False
        self._last_late_at = float("-inf")
        self._delays: deque[tuple[float, float]] = deque()

    def record(self, late: float, now: float, cpu_seconds: float = 0.0) -> bool:
        """Record a delay; return whether `is_lagging` has changed.

        Args:
            late: Seconds by which a timer fired late.
            now: Monotonic seconds.
            cpu_seconds: Processor seconds that the process used since the timer was
                set.
        """
        confirmed = self._longest_before(now - late)
        self._delays.append((now, late))
        self.counted = min(late, max(cpu_seconds, confirmed))
        self.seconds += WEIGHT * (self.counted - self.seconds)
        if self.seconds >= RECOVERY_THRESHOLD:
            self._last_late_at = now
        before = self.is_lagging
        if self.seconds >= LAG_THRESHOLD:
            self.is_lagging = True
        elif now - self._last_late_at >= RECOVERY_TIME:
            self.is_lagging = False
        return self.is_lagging is not before

    def _longest_before(self, began: float) -> float:
        """Return the longest delay that ended within RECOVERY_TIME before a moment."""
        while self._delays and began - self._delays[0][0] > RECOVERY_TIME:
            self._delays.popleft()
        return max((late for _, late in self._delays), default=0.0)


__all__ = ["Lag"]
