"""The clock that leases and timeouts are counted by."""

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic() -> float:
    """Return seconds on a clock that is never set and runs on while suspended.

    CLOCK_MONOTONIC stops while the machine sleeps: a leader that sleeps and wakes
    would believe that no time had passed and go on under a lease that others have
    seen expire. CLOCK_BOOTTIME counts the sleep.
    """
    return time.clock_gettime(_CLOCK)


__all__ = ["monotonic"]
