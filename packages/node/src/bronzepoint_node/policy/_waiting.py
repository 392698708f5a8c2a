"""Priority queue of the requests that wait for a pool of targets."""

from bisect import insort

import curio

from bronzepoint_node.policy._inputs import RequestView
from bronzepoint_schema.generated.catalogue import EntryClass
from bronzepoint_schema.ids import OwnerName

_RANKS = {EntryClass.interactive: 0, EntryClass.standard: 1, EntryClass.batch: 2}


class QueuedRequest:
    """One request in the queue.

    Attributes:
        rank: rank of its class; lower ranks are served first.
        order: sort key among the requests of one owner and class.
        deadline: monotonic seconds at which its first token is worth nothing.
        wake: set when it should try again to be placed.
        evicted: True where it was removed in favour of one that ranks higher.
    """

    def __init__(self, request: RequestView, arrived: float) -> None:
        self.request = request
        self.rank = _RANKS[request.entry_class]
        self.order = (-request.worth, arrived)
        self.deadline = arrived + request.deadline_left
        self.wake = curio.Event()
        self.evicted = False

    def __lt__(self, other: "QueuedRequest") -> bool:
        return self.order < other.order


class RequestQueue:
    """Queued requests by class, then by fair share of the owners, then by worth.

    The owner with the fewest requests in progress relative to its share is served
    next. Each owner has a queue of its own: in order of arrival, the requests of an
    owner that sends a burst would delay those of all other owners.
    """

    def __init__(self) -> None:
        self._queues: dict[int, dict[OwnerName, list[QueuedRequest]]] = {}
        self._in_progress: dict[OwnerName, int] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def add(self, queued_request: QueuedRequest) -> None:
        """Add a request to its owner's queue."""
        owners = self._queues.setdefault(queued_request.rank, {})
        insort(owners.setdefault(queued_request.request.owner, []), queued_request)
        self._length += 1

    def remove(self, queued_request: QueuedRequest) -> None:
        """Remove a request from any position; do nothing where it isn't queued."""
        owners = self._queues.get(queued_request.rank, {})
        queue = owners.get(queued_request.request.owner, [])
        if queued_request not in queue:
            return
        queue.remove(queued_request)
        self._length -= 1
        if not queue:
            del owners[queued_request.request.owner]

    def first(self) -> QueuedRequest | None:
        """Return the request that is served next."""
        for rank in sorted(self._queues):
            queues = self._queues[rank].values()
            if queues:
                return min((queue[0] for queue in queues), key=self._fair_order)
        return None

    def last(self) -> QueuedRequest | None:
        """Return the request to evict first: lowest class, longest queue by share."""
        for rank in sorted(self._queues, reverse=True):
            queues = self._queues[rank].values()
            if queues:
                queue = max(
                    queues, key=lambda queue: len(queue) / queue[0].request.share
                )
                return queue[-1]
        return None

    def ahead(self, queued_request: QueuedRequest) -> float:
        """Return the expected number of queued requests served before this one.

        The request needn't be queued yet. Of each other owner, as many are counted as
        its share lets start before this one.
        """
        ahead = 0.0
        for rank, owners in self._queues.items():
            if rank < queued_request.rank:
                ahead += sum(len(queue) for queue in owners.values())
        owners = self._queues.get(queued_request.rank, {})
        own = owners.get(queued_request.request.owner, [])
        position = sum(1 for other in own if other < queued_request)
        turns = (position + 1) / queued_request.request.share
        for owner, queue in owners.items():
            if owner != queued_request.request.owner:
                ahead += min(len(queue), turns * queue[0].request.share)
        return ahead + position

    def started(self, owner: OwnerName) -> None:
        """Record that a request of an owner has started."""
        self._in_progress[owner] = self._in_progress.get(owner, 0) + 1

    def ended(self, owner: OwnerName) -> None:
        """Record that a request of an owner has ended."""
        left = self._in_progress.get(owner, 0) - 1
        if left > 0:
            self._in_progress[owner] = left
        else:
            self._in_progress.pop(owner, None)

    def _fair_order(
        self, queued_request: QueuedRequest
    ) -> tuple[float, tuple[float, float]]:
        request = queued_request.request
        return self._in_progress.get(
            request.owner, 0
        ) / request.share, queued_request.order


__all__ = ["QueuedRequest", "RequestQueue"]
