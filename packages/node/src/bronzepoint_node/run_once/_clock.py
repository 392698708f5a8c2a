"""The two clocks that the run-once records use."""

import time

from bronzepoint_common.clock import monotonic

MS_PER_SECOND = 1000


class Clock:
    """Wall time for the age of keys, elapsed time for how long this process waited.

    Elapsed time is the boot-time clock: it goes on while the process is stopped and,
    unlike the monotonic clock, while the whole machine is suspended. A claim that
    slept through its dispatch window must see that it did.
    """

    def wall_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return time.time_ns() // 1_000_000

    def elapsed(self) -> float:
        """Return seconds on a clock that is never set and runs on while suspended."""
        return monotonic()
