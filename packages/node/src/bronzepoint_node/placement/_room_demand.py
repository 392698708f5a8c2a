"""How much of a service's capacity a region needs for its own requests.

Addresses the load of a region at a multiple of its mean: what it lacks is known from
its arrivals before the requests that wait for it are late.
"""

from collections import deque
from typing import NamedTuple

RATE_WINDOW = 1.0
"""Seconds over which rates are measured."""
BUCKET_SECONDS = 0.1
"""Seconds that are counted together, so that a rate costs the same at any load."""
LOOK_AHEAD = 0.75
"""Seconds for which a rise of the arrivals is taken to go on: an ask, its answer and
the requests that cross take that long."""
DRAIN_TIME = 1.0
"""Seconds in which the requests that wait in the queue are to be started."""


class ServiceRoom(NamedTuple):
    """Capacity of a region for one service, in target seconds per second.

    One target of mean speed that runs a full batch does one target second per second.

    Attributes:
        capacity: Targets that can be used.
        used: Targets' worth of running requests, also those of other regions.
        waiting: Number of requests in the scheduler's queue.
        cost: Target seconds that the mean request takes.
        slots: Requests in a full batch of one target.
    """

    capacity: float
    used: float
    waiting: int
    cost: float
    slots: int


class RateWindow:
    """Rate of amounts over the last second, and over the second before it."""

    def __init__(self) -> None:
        self._buckets: deque[list[float]] = deque()

    def note(self, amount: float, now: float) -> None:
        """Add an amount."""
        at = now - now % BUCKET_SECONDS
        if self._buckets and self._buckets[-1][0] == at:
            self._buckets[-1][1] += amount
            return
        self._buckets.append([at, amount])
        while self._buckets[0][0] < now - 2 * RATE_WINDOW:
            self._buckets.popleft()

    def rate(self, now: float) -> float:
        """Return the amount per second in the last second."""
        return self._sum(now - RATE_WINDOW, now) / RATE_WINDOW

    def former_rate(self, now: float) -> float:
        """Return the amount per second in the second before the last one."""
        return self._sum(now - 2 * RATE_WINDOW, now - RATE_WINDOW) / RATE_WINDOW

    def _sum(self, begin: float, end: float) -> float:
        return sum(amount for at, amount in self._buckets if begin < at <= end)


def demand(room: ServiceRoom, arrivals: RateWindow, now: float) -> float:
    """Return the target seconds per second that a region's own requests need.

    Args:
        room: The region's capacity.
        arrivals: Requests of the region's hosts.
        now: Monotonic seconds.
    """
    rate = arrivals.rate(now)
    rise = max(0.0, rate - arrivals.former_rate(now)) / RATE_WINDOW * LOOK_AHEAD
    return (rate + rise + room.waiting / DRAIN_TIME) * room.cost
