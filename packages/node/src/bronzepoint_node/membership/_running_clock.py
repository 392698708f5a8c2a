"""A clock that stands still while this process does."""

import time
from collections.abc import Callable


class RunningClock:
    """Monotonic seconds, less the time in which this process did not run.

    A process that is stopped for a minute and then woken finds that it has heard from
    nobody for a minute, and would take every other host for dead and serve alone. The
    gap shows as a step between two looks at the clock that is far longer than the
    time between two rounds, so such steps are left out of what this clock counts.

    Args:
        longest_step: Seconds between two looks beyond which the process was stopped.
        monotonic: The underlying clock.
    """

    def __init__(
        self,
        longest_step: float,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self._longest_step = longest_step
        self._monotonic = monotonic
        self._last_look = monotonic()
        self._left_out = 0.0
        self.gaps = 0

    def now(self) -> float:
        """Return the seconds for which this process has run.

        It must be looked at in each round, or a quiet time counts as a stop.
        """
        look = self._monotonic()
        step = look - self._last_look
        self._last_look = look
        if step > self._longest_step:
            self._left_out += step
            self.gaps += 1
        return look - self._left_out
