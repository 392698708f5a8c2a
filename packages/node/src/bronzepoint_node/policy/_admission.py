"""Admission control: starts, queues or refuses requests by their deadlines."""

import time
from collections import Counter
from collections.abc import Callable

import curio

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.policy._inputs import RequestView
from bronzepoint_node.policy._outputs import Placement, Refused
from bronzepoint_node.policy._waiting import QueuedRequest, RequestQueue
from bronzepoint_schema.generated.decisions import RefusalKind
from bronzepoint_schema.ids import EntryName, OwnerName, TargetName

_RECHECK_SECONDS = 0.05
"""Interval at which the first queued request checks the targets. Capacity freed by
other hosts is seen through load reports only, and wakes no request here."""
_RECHECK_SECONDS_BEHIND_FIRST = 0.25
"""Interval at which the other queued requests check whether another region is
better."""
_MIN_RETRY_SECONDS = 0.2
"""Smallest retry-after of a refusal."""

Pool = frozenset[TargetName]
"""Targets whose waiting requests share a queue, whatever their entries."""
TryPlace = Callable[[float], Placement | None]
"""Tries to place a request, given the number queued before it; None: it waits."""
StartInterval = Callable[[], float]
"""Returns the expected seconds between the starts of two queued requests."""


class Admission:
    """A queue for each pool of targets, bounded by the requests' deadlines.

    Entries with the same targets share a queue; otherwise a request of a low class
    could start before one of a high class that belongs to another entry.

    A request that can't get its first token in time is refused as soon as that is
    known, on arrival or while it waits, with the time after which the queue will have
    drained. When a request of a higher class or worth arrives, the lowest-ranked ones
    are evicted if they would now miss their deadlines.

    Args:
        queue_limit: Maximum length of one queue, whatever the deadlines.
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
        self._queues: dict[Pool, RequestQueue] = {}
        self._waiting: Counter[EntryName] = Counter()

    def queued(self, entry: EntryName) -> int:
        """Return the number of queued requests of an entry."""
        return self._waiting[entry]

    def length(self, pool: Pool) -> int:
        """Return the number of requests queued for a pool of targets."""
        return len(self._queues.get(pool, ()))

    def ahead(self, request: RequestView, pool: Pool, arrived: float) -> float:
        """Return the expected number of queued requests served before a request.

        Args:
            request: A request that isn't queued.
            pool: Targets that it would wait for.
            arrived: When it arrived, in monotonic seconds.
        """
        return self._queue(pool).ahead(QueuedRequest(request, arrived))

    def started(self, pool: Pool, owner: OwnerName) -> None:
        """Record that a request has taken a slot."""
        self._queue(pool).started(owner)

    async def ended(self, pool: Pool, owner: OwnerName) -> None:
        """Record that a request has released its slot, and wake the next one."""
        queue = self._queue(pool)
        queue.ended(owner)
        await self._wake_next(queue)

    async def admit(
        self,
        request: RequestView,
        pool: Pool,
        try_place: TryPlace,
        start_interval: StartInterval,
        first_token_seconds: float,
    ) -> Placement:
        """Place a request, at once or after a wait.

        Nothing is awaited between a successful `try_place` and the return, so the
        caller can count the request before another one is placed.

        Args:
            request: The request to place.
            pool: Targets that it may wait for.
            try_place: Tries to place it; must not start it in this region while
                others are queued before it.
            start_interval: Returns the expected seconds between the starts of two
                queued requests.
            first_token_seconds: Seconds from the start to the first token.
        """
        queue = self._queue(pool)
        queued_request = QueuedRequest(request, self._clock())
        placed = try_place(queue.ahead(queued_request))
        if placed is not None:
            return placed
        if request.forwarded:
            # The sending region may still find a better place, and queueing here
            # would make this region's callers wait for those of another region.
            return self._refusal(RefusalKind.overloaded, start_interval())
        if len(queue) >= self._queue_limit:
            return self._refusal(RefusalKind.overloaded, len(queue) * start_interval())
        lateness = self._lateness(
            queue, queued_request, start_interval(), first_token_seconds
        )
        if lateness > 0:
            return self._refusal(RefusalKind.deadline_unreachable, lateness)
        queue.add(queued_request)
        self._waiting[request.entry] += 1
        length, started_at = len(queue), self._clock()
        self._metrics.incr("admission.waited")
        try:
            await self._evict_late(queue, start_interval(), first_token_seconds)
            placed = await self._wait(
                queue, queued_request, try_place, start_interval, first_token_seconds
            )
            waited = self._clock() - started_at
            placed.notes.append(f"admission: waited {waited:.3f} s, {length} in queue")
            return placed
        finally:
            queue.remove(queued_request)
            self._waiting[request.entry] -= 1
            await self._wake_next(queue)

    async def _wait(
        self,
        queue: RequestQueue,
        queued_request: QueuedRequest,
        try_place: TryPlace,
        start_interval: StartInterval,
        first_token_seconds: float,
    ) -> Placement:
        while True:
            time_left = queued_request.deadline - first_token_seconds - self._clock()
            if queued_request.evicted:
                return self._refusal(
                    RefusalKind.overloaded, len(queue) * start_interval()
                )
            if time_left <= 0:
                retry_after = queue.ahead(queued_request) * start_interval()
                return self._refusal(RefusalKind.deadline_unreachable, retry_after)
            is_first = queue.first() is queued_request
            placed = try_place(
                0.0 if is_first else max(1.0, queue.ahead(queued_request))
            )
            if placed is not None:
                return placed
            pause = _RECHECK_SECONDS if is_first else _RECHECK_SECONDS_BEHIND_FIRST
            async with curio.ignore_after(min(time_left, pause)):
                await queued_request.wake.wait()
            queued_request.wake.clear()

    async def _evict_late(
        self, queue: RequestQueue, start_interval: float, first_token_seconds: float
    ) -> None:
        last = queue.last()
        while (
            last is not None
            and self._lateness(queue, last, start_interval, first_token_seconds) > 0
        ):
            last.evicted = True
            queue.remove(last)
            await last.wake.set()
            last = queue.last()

    async def _wake_next(self, queue: RequestQueue) -> None:
        first = queue.first()
        if first is not None:
            await first.wake.set()

    def _lateness(
        self,
        queue: RequestQueue,
        queued_request: QueuedRequest,
        start_interval: float,
        first_token_seconds: float,
    ) -> float:
        wait = (queue.ahead(queued_request) + 1) * start_interval + first_token_seconds
        return wait - (queued_request.deadline - self._clock())

    def _refusal(self, kind: RefusalKind, retry_after: float) -> Refused:
        self._metrics.incr(f"admission.{kind}")
        retry_after = max(_MIN_RETRY_SECONDS, retry_after)
        if kind is RefusalKind.deadline_unreachable:
            message = "The first token can't be had before the request's deadline."
        else:
            message = "All targets are busy, and other requests rank higher."
        remedy = f"Send it again after {retry_after:.1f} s, or with a later deadline."
        return Refused(kind, message, remedy, retry_after, reason=message)

    def _queue(self, pool: Pool) -> RequestQueue:
        return self._queues.setdefault(pool, RequestQueue())


__all__ = ["Admission", "Pool", "StartInterval", "TryPlace"]
