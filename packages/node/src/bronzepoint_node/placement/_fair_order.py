"""Order of the waiting requests of one service.

Addresses organisations that compete for insufficient capacity: one that sends several
times its usual traffic delays its own requests, not those of the others.
"""

import bisect
import heapq
import itertools
from collections.abc import Callable, Iterator
from typing import NamedTuple, Protocol

from msgspec import Struct, field

MAX_OVERTAKEN = 1.0
"""Seconds for which an organisation's first request in the queue may be overtaken by
requests of other organisations with the same rank."""
MAX_IDLE_FLOWS = 256
"""Number of flows of one rank above which those without a lead are forgotten."""


class RankKey(NamedTuple):
    """Urgency of a request; the smallest one goes first.

    Attributes:
        rank: Priority; 0 is the most urgent.
        route_priority: Priority of the route, which decides within a rank that the
            priority of an organisation determines.
    """

    rank: int
    route_priority: int = 0


class FlowKey(NamedTuple):
    """Requests that share one queue position: those of an organisation.

    Attributes:
        organisation: Name of the organisation; empty: unknown.
        route: Name of the route, for requests without an organisation.
    """

    organisation: str = ""
    route: str = ""


class Waiting(Protocol):
    """What the order has to know of a waiting request."""

    key: RankKey
    flow: FlowKey
    arrived: float
    cost: float


class Charge(NamedTuple):
    """What a granted request was charged with, so that it can be refunded.

    Attributes:
        virtual: Virtual seconds by which the flow's time has advanced.
    """

    key: RankKey
    flow: FlowKey
    virtual: float


class FlowState(Struct):
    """State of one flow in one rank.

    Attributes:
        waiting: Its waiting requests by arrival.
        waiting_cost: Sum of their costs, in target seconds.
        next_start: Virtual time at which its next request starts.
        served_at: Monotonic time of its last grant, or since when requests wait.
    """

    waiting: list[Waiting] = field(default_factory=list)
    waiting_cost: float = 0.0
    next_start: float = 0.0
    served_at: float = 0.0


class RankState(Struct):
    """State of one rank.

    Attributes:
        virtual_time: Start of the latest granted request, in virtual seconds.
        waiting_cost: Sum of the costs of all waiting requests, in target seconds.
        count: Number of waiting requests.
    """

    virtual_time: float = 0.0
    waiting_cost: float = 0.0
    count: int = 0
    flows: dict[FlowKey, FlowState] = field(default_factory=dict)


class FairOrder:
    """Start-time fair queueing over organisations, within each rank.

    The virtual time of an organisation advances by cost / weight of what it is granted,
    and the one that is least advanced goes next. One that was idle starts at the
    current virtual time: the share that it didn't use isn't saved up. Within an
    organisation, requests go by arrival, so that large ones are served as often as
    small ones.

    Each rank has a virtual time of its own. With a common one, the grants of an urgent
    rank would move the requests of the other ranks.

    Args:
        weight: Returns the weight of an organisation. It is looked up for each grant,
            so a change counts from the next grant on.
    """

    def __init__(self, weight: Callable[[str], float]) -> None:
        self._weight = weight
        self.ranks: dict[RankKey, RankState] = {}

    def weight(self, flow: FlowKey) -> float:
        """Return the weight of a flow."""
        return max(1e-6, self._weight(flow.organisation))

    def add(self, entry: Waiting, now: float) -> None:
        """Add a waiting request behind earlier ones of its flow."""
        rank = self.ranks.setdefault(entry.key, RankState())
        flow = rank.flows.setdefault(entry.flow, FlowState())
        if not flow.waiting:
            flow.next_start = max(rank.virtual_time, flow.next_start)
            flow.served_at = now
        bisect.insort(flow.waiting, entry, key=_arrived)
        flow.waiting_cost += entry.cost
        rank.waiting_cost += entry.cost
        rank.count += 1

    def remove(self, entry: Waiting) -> None:
        """Remove a request that no longer waits."""
        rank = self.ranks[entry.key]
        flow = rank.flows[entry.flow]
        flow.waiting = [other for other in flow.waiting if other is not entry]
        rank.count -= 1
        # Sums of floats leave a rest, which must not add up over days.
        flow.waiting_cost = flow.waiting_cost - entry.cost if flow.waiting else 0.0
        rank.waiting_cost = rank.waiting_cost - entry.cost if rank.count else 0.0

    def charge(
        self, key: RankKey, flow_key: FlowKey, cost: float, now: float
    ) -> Charge:
        """Advance the virtual time by a request that is granted, waiting or not."""
        rank = self.ranks.setdefault(key, RankState())
        flow = rank.flows.setdefault(flow_key, FlowState())
        start = flow.next_start
        if not flow.waiting:
            start = max(rank.virtual_time, start)
        virtual = cost / self.weight(flow_key)
        rank.virtual_time = max(rank.virtual_time, start)
        flow.next_start = start + virtual
        flow.served_at = now
        if len(rank.flows) > MAX_IDLE_FLOWS:
            rank.flows = {
                name: each
                for name, each in rank.flows.items()
                if each.waiting or each.next_start > rank.virtual_time
            }
        return Charge(key, flow_key, virtual)

    def refund(self, charge: Charge) -> None:
        """Give back what a grant was charged with that isn't used."""
        rank = self.ranks.get(charge.key)
        flow = rank.flows.get(charge.flow) if rank is not None else None
        if flow is not None:
            flow.next_start -= charge.virtual

    def in_order(self, now: float) -> Iterator[Waiting]:
        """Return the waiting requests in the order in which they are to be granted.

        The order is the one that results if each request is granted in turn.
        """
        for key in sorted(self.ranks):
            rank = self.ranks[key]
            if rank.count:
                yield from self._of_rank(rank, now)

    def is_behind_others(self, entry: Waiting) -> bool:
        """Return whether a request that doesn't wait yet goes behind one that does."""
        for key, rank in self.ranks.items():
            if not rank.count or key > entry.key:
                continue
            if key < entry.key:
                return True
            start = self.next_start(entry.key, entry.flow)
            for name, flow in rank.flows.items():
                if not flow.waiting:
                    continue
                if name == entry.flow:
                    if flow.waiting[0].arrived <= entry.arrived:
                        return True
                elif (flow.next_start, flow.waiting[0].arrived) < (
                    start,
                    entry.arrived,
                ):
                    return True
        return False

    def next_start(self, key: RankKey, flow_key: FlowKey) -> float:
        """Return the virtual time at which a flow's next request starts."""
        rank = self.ranks.get(key)
        if rank is None:
            return 0.0
        flow = rank.flows.get(flow_key)
        if flow is None:
            return rank.virtual_time
        if flow.waiting:
            return flow.next_start
        return max(rank.virtual_time, flow.next_start)

    def lead(self, key: RankKey, flow_key: FlowKey) -> float:
        """Return the virtual seconds by which a flow is ahead of its rank."""
        rank = self.ranks.get(key)
        if rank is None:
            return 0.0
        return self.next_start(key, flow_key) - rank.virtual_time

    def _of_rank(self, rank: RankState, now: float) -> Iterator[Waiting]:
        overdue = []
        heap = []
        numbers = itertools.count()
        for name, flow in rank.flows.items():
            if not flow.waiting:
                continue
            first = flow.waiting[0]
            start, position = flow.next_start, 0
            if now - max(first.arrived, flow.served_at) > MAX_OVERTAKEN:
                overdue.append(first)
                position = 1
                start += first.cost / self.weight(name)
            # A copy, since requests may leave while the order is being read.
            waiting = list(flow.waiting)
            if position < len(waiting):
                arrived = waiting[position].arrived
                heap.append((start, arrived, next(numbers), name, waiting, position))
        yield from sorted(overdue, key=_arrived)
        heapq.heapify(heap)
        while heap:
            start, _, _, name, waiting, position = heap[0]
            entry = waiting[position]
            position += 1
            if position < len(waiting):
                start += entry.cost / self.weight(name)
                arrived = waiting[position].arrived
                item = (start, arrived, next(numbers), name, waiting, position)
                heapq.heapreplace(heap, item)
            else:
                heapq.heappop(heap)
            yield entry


def _arrived(entry: Waiting) -> float:
    return entry.arrived
