"""Who may start, who waits, and who is refused because it can't start in time."""

import time
from collections import Counter
from collections.abc import Callable

import curio

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.policy._inputs import RequestView
from bronzepoint_node.policy._outputs import Placement, Refused
from bronzepoint_node.policy._waiting import Waiter, WaitingLine
from bronzepoint_schema.generated.decisions import RefusalKind
from bronzepoint_schema.ids import EntryName, OwnerName, TargetName

_LOOK_AGAIN = 0.05
"""Seconds between two looks at the targets by the first in line: room that other hosts
leave is seen through reports only, and wakes nobody here."""
_LOOK_AGAIN_BEHIND = 0.25
"""The same by those behind it, who may find a better place in another region."""
_LEAST_RETRY_AFTER = 0.2

Pool = frozenset[TargetName]
"""Targets that requests wait for together, whatever their entries."""
Place = Callable[[float], Placement | None]
"""Tries to place a request that has so many others before it; None: it has to wait."""
Drain = Callable[[], float]
"""Returns the seconds until one more waiting request can start."""


class Admission:
    """A short line before each pool of targets, bounded by the requests' deadlines.

    Entries that have the same targets share a line, or a class of low rank would not
    give way to a class of high rank that another entry has.

    A request that can't get its first token in time is refused when that is known, on
    arrival or while it waits, with the time after which the line will have drained.
    Where a request of a higher class or worth arrives, the one that ranks last is
    given up if it would now come too late.

    Args:
        queue_limit: Most requests of one line that wait, whatever their deadlines.
        metrics: Counts waits and refusals.
        clock: Returns monotonic seconds.
    """

    def __init__(
        self,
        queue_limit: int,
        metrics: Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._queue_limit = queue_limit
        self._metrics = metrics
        self._clock = clock
        self._lines: dict[Pool, WaitingLine] = {}
        self._waiting: Counter[EntryName] = Counter()

    def queued(self, entry: EntryName) -> int:
        """Return how many requests of an entry wait here."""
        return self._waiting[entry]

    def length(self, pool: Pool) -> int:
        """Return how many requests wait for a pool of targets."""
        return len(self._lines.get(pool, ()))

    def started(self, pool: Pool, owner: OwnerName) -> None:
        """Note that a request holds a slot."""
        self._line(pool).started(owner)

    async def ended(self, pool: Pool, owner: OwnerName) -> None:
        """Note that a request has left its slot, and let the next one look."""
        line = self._line(pool)
        line.ended(owner)
        await self._wake_next(line)

    async def admit(
        self,
        request: RequestView,
        pool: Pool,
        place: Place,
        drain: Drain,
        service: float,
    ) -> Placement:
        """Place a request, at once or after a wait.

        Nothing is awaited between a successful `place` and the return, so the caller
        can count the request before anyone else decides.

        Args:
            request: What is to be placed.
            pool: Targets that it may wait for.
            place: Tries to place it; must not start it here with others before it.
            drain: Seconds until one more waiting request can start.
            service: Seconds from the start to the first token.
        """
        line = self._line(pool)
        waiter = Waiter(request, self._clock())
        placed = place(line.ahead(waiter))
        if placed is not None:
            return placed
        if request.forwarded:
            # The home region may still have a better place, and a line here would
            # make callers of this region wait for those of another.
            return self._refusal(RefusalKind.overloaded, drain())
        if len(line) >= self._queue_limit:
            return self._refusal(RefusalKind.overloaded, len(line) * drain())
        late = self._lateness(line, waiter, drain(), service)
        if late > 0:
            return self._refusal(RefusalKind.deadline_unreachable, late)
        line.add(waiter)
        self._waiting[request.entry] += 1
        length, began = len(line), self._clock()
        self._metrics.incr("admission.waited")
        try:
            await self._give_up_last(line, drain(), service)
            placed = await self._wait(line, waiter, place, drain, service)
            waited = self._clock() - began
            placed.notes.append(f"admission: waited {waited:.3f} s, {length} in line")
            return placed
        finally:
            line.remove(waiter)
            self._waiting[request.entry] -= 1
            await self._wake_next(line)

    async def _wait(
        self,
        line: WaitingLine,
        waiter: Waiter,
        place: Place,
        drain: Drain,
        service: float,
    ) -> Placement:
        while True:
            left = waiter.deadline - service - self._clock()
            if waiter.evicted:
                return self._refusal(RefusalKind.overloaded, len(line) * drain())
            if left <= 0:
                retry_after = line.ahead(waiter) * drain()
                return self._refusal(RefusalKind.deadline_unreachable, retry_after)
            is_first = line.first() is waiter
            placed = place(0.0 if is_first else max(1.0, line.ahead(waiter)))
            if placed is not None:
                return placed
            pause = _LOOK_AGAIN if is_first else _LOOK_AGAIN_BEHIND
            async with curio.ignore_after(min(left, pause)):
                await waiter.turn.wait()
            waiter.turn.clear()

    async def _give_up_last(
        self, line: WaitingLine, drain: float, service: float
    ) -> None:
        last = line.last()
        while last is not None and self._lateness(line, last, drain, service) > 0:
            last.evicted = True
            line.remove(last)
            await last.turn.set()
            last = line.last()

    async def _wake_next(self, line: WaitingLine) -> None:
        first = line.first()
        if first is not None:
            await first.turn.set()

    def _lateness(
        self, line: WaitingLine, waiter: Waiter, drain: float, service: float
    ) -> float:
        wait = (line.ahead(waiter) + 1) * drain + service
        return wait - (waiter.deadline - self._clock())

    def _refusal(self, kind: RefusalKind, retry_after: float) -> Refused:
        self._metrics.incr(f"admission.{kind}")
        retry_after = max(_LEAST_RETRY_AFTER, retry_after)
        if kind is RefusalKind.deadline_unreachable:
            message = "The first token can't be had before the request's deadline."
        else:
            message = "All targets are busy, and other requests rank higher."
        remedy = f"Send it again after {retry_after:.1f} s, or with a later deadline."
        return Refused(kind, message, remedy, retry_after, reason=message)

    def _line(self, pool: Pool) -> WaitingLine:
        return self._lines.setdefault(pool, WaitingLine())


__all__ = ["Admission", "Drain", "Place", "Pool"]
