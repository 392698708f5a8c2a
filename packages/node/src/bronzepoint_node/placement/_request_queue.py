"""Queue of requests that wait for free capacity."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

import curio

from bronzepoint_common.clock import monotonic

from ._fair_order import Charge, FairOrder, FlowKey, RankKey

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
        route_priority: Priority of its route, which decides within a rank.
        flow: Requests that it shares capacity with.
        cost: What it takes, in target seconds.
        is_waiting: Whether it is in the queue and has not been granted a target.
        has_long_prompt: Whether targets may lack room for its prompt only.
    """

    rank: int
    arrived: float
    until: float = field(compare=False)
    wakeup: curio.Event = field(default_factory=curio.Event, compare=False)
    route_priority: int = field(default=0, compare=False)
    flow: FlowKey = field(default=FlowKey(), compare=False)
    cost: float = field(default=0.0, compare=False)
    is_waiting: bool = field(default=False, compare=False)
    has_long_prompt: bool = field(default=False, compare=False)

    @property
    def key(self) -> RankKey:
        """Urgency of the request."""
        return RankKey(self.rank, self.route_priority)


class RequestQueue:
    """Requests that wait for free capacity of one service.

    If every waiting request checked by itself, a host with a dozen of them would do
    nothing else, and its streams would stall. Only the first few check, and a request
    that leaves wakes the next one.

    Args:
        weight: Returns the weight of an organisation.

    Attributes:
        polled_at: Time of the last check for free capacity.
        order: Order of the requests.
        short_count: Number of waiting requests without a long prompt.
    """

    def __init__(self, weight: Callable[[str], float] = lambda _: 1.0) -> None:
        self.polled_at = float("-inf")
        self.order = FairOrder(weight)
        self._heads: list[QueuedRequest] | None = None
        self._count = 0
        self.short_count = 0

    def __len__(self) -> int:
        return self._count

    def join(self, queued: QueuedRequest) -> None:
        """Add a request behind earlier ones of the same rank and organisation."""
        self.order.add(queued, monotonic())
        self._count += 1
        self.short_count += not queued.has_long_prompt
        queued.is_waiting = True
        self._heads = None

    async def leave(self, queued: QueuedRequest) -> None:
        """Remove a request, and wake those that are now at the head."""
        self._remove(queued)
        for other in self.heads():
            await other.wakeup.set()

    def grant(self, queued: QueuedRequest) -> Charge:
        """Charge a granted request to its organisation, whether it has waited or not.

        It no longer waits, so that the order of the others follows at once.
        """
        now = monotonic()
        charge = self.order.charge(queued.key, queued.flow, queued.cost, now)
        self._remove(queued)
        return charge

    async def withdraw(self, queued: QueuedRequest) -> None:
        """Remove a request at once whose caller has left, and end its wait."""
        self._remove(queued)
        queued.until = float("-inf")
        await queued.wakeup.set()

    def refund(self, charge: Charge) -> None:
        """Give back what a request was charged that was granted in vain."""
        self.order.refund(charge)
        self._heads = None

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
        return list(self.order.in_order(monotonic()))

    def heads(self) -> list[QueuedRequest]:
        """Return the requests that may check for capacity, in order.

        They are kept until a request joins, leaves or is granted: each waiting request
        asks for them.
        """
        if self._heads is None:
            in_order = self.order.in_order(monotonic())
            self._heads = list(itertools.islice(in_order, HEAD_COUNT))
        return self._heads

    def _remove(self, queued: QueuedRequest) -> None:
        self._heads = None
        if queued.is_waiting:
            queued.is_waiting = False
            self.order.remove(queued)
            self._count -= 1
            self.short_count -= not queued.has_long_prompt

    def _is_head(self, queued: QueuedRequest) -> bool:
        return any(other is queued for other in self.heads())
