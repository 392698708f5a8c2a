"""Requests of one entry that wait for a target, in the order they will be served."""

from bisect import insort

import curio

from bronzepoint_node.policy._inputs import RequestView
from bronzepoint_schema.generated.catalogue import EntryClass
from bronzepoint_schema.ids import OwnerName

_RANKS = {EntryClass.interactive: 0, EntryClass.standard: 1, EntryClass.batch: 2}


class Waiter:
    """One waiting request.

    Attributes:
        deadline: monotonic seconds at which its first token is worth nothing.
        evicted: True where it was given up for one that ranks higher.
    """

    def __init__(self, request: RequestView, arrived: float) -> None:
        self.request = request
        self.rank = _RANKS[request.entry_class]
        self.order = (-request.worth, arrived)
        self.deadline = arrived + request.deadline_left
        self.turn = curio.Event()
        self.evicted = False

    def __lt__(self, other: "Waiter") -> bool:
        return self.order < other.order


class WaitingLine:
    """Waiting requests, by class, then fairly by owner, then by worth.

    The owner with the fewest requests in progress for its share is served next. An
    owner that floods waits in its own line; served by arrival, its requests would
    stand before everyone else's, and one would notice it as other owners' delays that
    grow with the flood.
    """

    def __init__(self) -> None:
        self._lines: dict[int, dict[OwnerName, list[Waiter]]] = {}
        self._in_progress: dict[OwnerName, int] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def add(self, waiter: Waiter) -> None:
        """Put a request into its owner's line."""
        owners = self._lines.setdefault(waiter.rank, {})
        insort(owners.setdefault(waiter.request.owner, []), waiter)
        self._length += 1

    def remove(self, waiter: Waiter) -> None:
        """Take a request out, wherever it stands; nothing where it isn't in."""
        owners = self._lines.get(waiter.rank, {})
        line = owners.get(waiter.request.owner, [])
        if waiter not in line:
            return
        line.remove(waiter)
        self._length -= 1
        if not line:
            del owners[waiter.request.owner]

    def first(self) -> Waiter | None:
        """Return the request that is served next."""
        for rank in sorted(self._lines):
            lines = self._lines[rank].values()
            if lines:
                return min((line[0] for line in lines), key=self._fair_order)
        return None

    def last(self) -> Waiter | None:
        """Return the request that is given up first: lowest class, longest line."""
        for rank in sorted(self._lines, reverse=True):
            lines = self._lines[rank].values()
            if lines:
                line = max(lines, key=lambda line: len(line) / line[0].request.share)
                return line[-1]
        return None

    def ahead(self, waiter: Waiter) -> float:
        """Return how many waiting requests are served before this one.

        The waiter needn't stand in a line yet. Of each other owner as many come first
        as its share allows until this one's turn.
        """
        ahead = 0.0
        for rank, owners in self._lines.items():
            if rank < waiter.rank:
                ahead += sum(len(line) for line in owners.values())
        owners = self._lines.get(waiter.rank, {})
        own = owners.get(waiter.request.owner, [])
        position = sum(1 for other in own if other < waiter)
        turns = (position + 1) / waiter.request.share
        for owner, line in owners.items():
            if owner != waiter.request.owner:
                ahead += min(len(line), turns * line[0].request.share)
        return ahead + position

    def started(self, owner: OwnerName) -> None:
        """Note that a request of an owner has started."""
        self._in_progress[owner] = self._in_progress.get(owner, 0) + 1

    def ended(self, owner: OwnerName) -> None:
        """Note that a request of an owner has ended."""
        left = self._in_progress.get(owner, 0) - 1
        if left > 0:
            self._in_progress[owner] = left
        else:
            self._in_progress.pop(owner, None)

    def _fair_order(self, waiter: Waiter) -> tuple[float, tuple[float, float]]:
        request = waiter.request
        return self._in_progress.get(request.owner, 0) / request.share, waiter.order


__all__ = ["Waiter", "WaitingLine"]
