"""The order in which requests that found no room look for it again."""

import bisect
from dataclasses import dataclass, field

import curio

from bronzepoint_common.clock import monotonic

LOOK_INTERVAL = 0.03
"""Seconds between two looks for room of a request at the head of the line."""
HEADS = 3
"""Requests of a line that look for room at the same time. One alone would hold up the
others where it is the only one that finds none, as a large or a home-bound one."""


@dataclass(order=True)
class Waiter:
    """A request that waits; urgent ones go first, then those that came first.

    Attributes:
        rank: How urgent it is; 0 goes first.
        arrived: When it was read, by the monotonic clock.
        until: When it is done waiting.
    """

    rank: int
    arrived: float
    until: float = field(compare=False)
    moved_up: curio.Event = field(default_factory=curio.Event, compare=False)


class WaitingLine:
    """Requests that wait for room at one service.

    When every waiting request looked for room by itself, a host with a dozen of them
    did nothing else, and its streams stood still. So only the first few look, and
    whoever leaves lets the next one up.

    Attributes:
        looked_at: When room was looked for last.
    """

    def __init__(self) -> None:
        self.looked_at = float("-inf")
        self._waiters: list[Waiter] = []

    def __len__(self) -> int:
        return len(self._waiters)

    def join(self, waiter: Waiter) -> None:
        """Take a place behind those as urgent that came earlier."""
        bisect.insort(self._waiters, waiter)

    async def leave(self, waiter: Waiter) -> None:
        """Give up the place; those behind move up."""
        self._waiters = [other for other in self._waiters if other is not waiter]
        for other in self.heads():
            await other.moved_up.set()

    async def wait(self, waiter: Waiter) -> bool:
        """Return once it is time to look for room; False: the waiting is over."""
        left = waiter.until - monotonic()
        if left <= 0:
            return False
        if self._is_head(waiter):
            left = min(LOOK_INTERVAL, left)
        waiter.moved_up.clear()
        async with curio.ignore_after(left):
            await waiter.moved_up.wait()
        return True

    def in_order(self) -> list[Waiter]:
        """Return all that wait."""
        return list(self._waiters)

    def heads(self) -> list[Waiter]:
        """Return those that may look for room, in order."""
        return self._waiters[:HEADS]

    def _is_head(self, waiter: Waiter) -> bool:
        return any(other is waiter for other in self.heads())
