"""Clock that excludes the time for which this process was stopped."""

import time
from collections.abc import Callable


class RunningClock:
    """Monotonic seconds without the time for which this process did not run.

    A process that resumes after a minute has received no heartbeat for a minute, and
    would consider every other host dead and serve alone. The pause shows as a step
    between two readings that is much longer than the time between two rounds, so such
    steps are excluded.

    Args:
        max_step: Seconds between two readings above which the process was stopped.
        monotonic: Underlying monotonic clock (s).
    """

    def __init__(
        self,
        max_step: float,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._max_step = max_step
        self._monotonic = monotonic
        self._last_reading = monotonic()
        self._excluded = 0.0
        self.gaps = 0

    def now(self) -> float:
        """Return the seconds for which this process has run.

        It must be called in each round, otherwise the time between two calls is
        treated as a stop.
        """
        reading = self._monotonic()
        step = reading - self._last_reading
        self._last_reading = reading
        if step > self._max_step:
            self._excluded += step
            self.gaps += 1
        return reading - self._excluded
