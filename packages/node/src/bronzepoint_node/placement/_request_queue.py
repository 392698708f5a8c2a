"""Queue of requests that wait for free capacity."""

import bisect
from dataclasses import dataclass, field

import curio

from bronzepoint_common.clock import monotonic

POLL_INTERVAL = 0.03
"""Seconds between two checks for free capacity by a request at the head of the
queue."""
HEAD_COUNT = 3
"""Number of requests that check for capacity at the same time. A single one would block
the others while only it finds none, such as a large request or one bound to its home
region."""


@dataclass(order=True)
class QueuedRequest:
    """A waiting request, ordered by rank and then by arrival.

    Attributes:
        rank: Priority; 0 is the most urgent.
        arrived: When it was received, by the monotonic clock.
        until: When it stops waiting.
        wakeup: Set when it should check for capacity.
    """

    rank: int
    arrived: float
    until: float = field(compare=False)
    wakeup: curio.Event = field(default_factory=curio.Event, compare=False)


class RequestQueue:
    """Requests that wait for free capacity of one service.

    If every waiting request checked by itself, a host with a dozen of them would do
    nothing else, and its streams would stall. Only the first few check, and a request
    that leaves wakes the next one.

    Attributes:
        polled_at: Time of the last check for free capacity.
    """

    def __init__(self) -> None:
        self.polled_at = float("-inf")
        self._queued: list[QueuedRequest] = []

    def __len__(self) -> int:
        return len(self._queued)

    def join(self, queued: QueuedRequest) -> None:
        """Add a request behind earlier ones of the same rank."""
        bisect.insort(self._queued, queued)

    async def leave(self, queued: QueuedRequest) -> None:
        """Remove a request, and wake those that are now at the head."""
        self._queued = [other for other in self._queued if other is not queued]
        for other in self.heads():
            await other.wakeup.set()

    async def wait(self, queued: QueuedRequest) -> bool:
        """Wait for the next check for capacity; return False if the time is over."""
        time_left = queued.until - monotonic()
        if time_left <= 0:
            return False
        if self._is_head(queued):
            time_left = min(POLL_INTERVAL, time_left)
        queued.wakeup.clear()
        async with curio.ignore_after(time_left):
            await queued.wakeup.wait()
        return True

    def in_order(self) -> list[QueuedRequest]:
        """Return all waiting requests in order."""
        return list(self._queued)

    def heads(self) -> list[QueuedRequest]:
        """Return the requests that may check for capacity, in order."""
        return self._queued[:HEAD_COUNT]

    def _is_head(self, queued: QueuedRequest) -> bool:
        return any(other is queued for other in self.heads())
