"""The monotonic clock used for leases and timeouts."""

import time

_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def monotonic() -> float:
    """Return seconds on a clock that is never adjusted and counts suspended time.

    CLOCK_MONOTONIC stops while the machine is suspended: after a resume, a leader
    would continue under a lease that has already expired for the other hosts.
    CLOCK_BOOTTIME includes the suspended time.
    """
    return time.clock_gettime(_CLOCK)


__all__ = ["monotonic"]
