"""Wall clock and elapsed-time clock of the run-once records."""

import time

from bronzepoint_common.clock import monotonic

MS_PER_SECOND = 1000


class Clock:
    """Wall time for the age of keys, elapsed time for the dispatch window.

    Elapsed time is the boot-time clock. It advances while the process is stopped and,
    unlike the monotonic clock, while the machine is suspended, so that a claim whose
    dispatch window passed meanwhile is detected.
    """

    def wall_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return time.time_ns() // 1_000_000

    def elapsed(self) -> float:
        """Return seconds of a clock that is never adjusted and runs during suspend."""
        return monotonic()
