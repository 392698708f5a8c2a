"""Selection of targets for requests of this host and queries of other hosts."""

import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from bronzepoint_common.clock import monotonic
from bronzepoint_schema.generated.scheduling import NoTarget, TargetAsk, TargetGrant
from bronzepoint_schema.generated.target_loads import PartUse
from bronzepoint_schema.ids import HostName

from ._choice import LocalPlacement, LocalResult, NoLocalTarget
from ._cold_start_limiter import ColdStartLimiter
from ._engine_load import OwnRun
from ._local_request import LocalPlacementRequest
from ._local_target_selector import LocalTargetSelector
from ._prompt import Prompt, PromptPart
from ._request_queue import HEAD_COUNT, QueuedRequest, RequestQueue
from ._reservations import Reservations
from ._tracked_target import is_unresponsive

MIN_POLL_PAUSE = 0.02
"""Minimum seconds between two checks of a queue for free capacity."""

MAX_WAIT = 1.0
"""Seconds that a request waits in the queue before its host checks other regions, too.
If hosts repeated their queries at short intervals instead, a burst would use up the
scheduler's processor."""

Claim = Callable[[LocalPlacement], None]
"""Counts a request at its target, before any other request is placed."""


@dataclass(order=True)
class _QueuedPlacement(QueuedRequest):
    """A queued request and the result of its placement."""

    request: LocalPlacementRequest = field(kw_only=True, compare=False)
    claim: Claim = field(kw_only=True, compare=False)
    found: LocalResult = field(default=NoLocalTarget(), kw_only=True, compare=False)


class Scheduler:
    """Places the requests of all hosts from the state of one, urgent ones first.

    If many hosts choose with slightly outdated data, all choose the target that was
    idle before. That target is then overloaded, and refuses or preempts requests, while
    others are idle. When one host chooses for all, every choice includes the previous
    ones.

    Args:
        name: This host.
        selector: Selects targets of this region.
        cold: Rate limit for cold targets.
        reservations: Requests granted by this host.
        staleness: Returns the maximum age in seconds of this host's data about others.
    """

    def __init__(
        self,
        name: HostName,
        selector: LocalTargetSelector,
        cold: ColdStartLimiter,
        reservations: Reservations,
        staleness: Callable[[float], float],
    ) -> None:
        self._name = name
        self._numbers = itertools.count()
        self._selector = selector
        self._cold = cold
        self._reservations = reservations
        self._staleness = staleness
        self._queues: dict[str, RequestQueue] = {}

    def waiting(self, service: str) -> int:
        """Return the number of requests of a service that wait for a target."""
        queue = self._queues.get(service)
        return len(queue) if queue is not None else 0

    async def find(self, request: LocalPlacementRequest, wait: float) -> LocalResult:
        """Return a target for a request of this host, as soon as there is one.

        The caller counts the request at its target immediately.

        Args:
            request: The request.
            wait: Seconds that it may wait in the queue; 0 for no waiting.
        """
        number = next(self._numbers)

        def claim(found: LocalPlacement) -> None:
            self._reserve(self._name, number, request, found)

        found = await self._find(request, wait, claim)
        if isinstance(found, LocalPlacement):
            self._reservations.settle(self._name, [number])
        return found

    async def answer(self, host: HostName, query: TargetAsk) -> TargetGrant | NoTarget:
        """Answer a query of another host, and reserve what it is granted."""
        request = _read_query(query, monotonic())

        def claim(found: LocalPlacement) -> None:
            self._reserve(host, query.number, request, found)

        found = await self._find(request, query.wait_ms / 1000, claim)
        match found:
            case NoLocalTarget(late=late, crowded=crowded, limited_for=limited_for):
                limited_ms = math.ceil(limited_for * 1000)
                return NoTarget(
                    query.number, late, crowded=crowded, limited_ms=limited_ms
                )
            case LocalPlacement(target=target, fetch_from=source):
                return TargetGrant(
                    query.number,
                    target.info.incarnation,
                    source.info.incarnation if source else "",
                    found.cached_tokens,
                    round(found.tokens_before),
                    round(found.delay * 1000),
                    found.reason,
                    round(found.staleness * 1000),
                    found.quiet,
                )

    async def _find(
        self, request: LocalPlacementRequest, wait: float, claim: Claim
    ) -> LocalResult:
        found = self._choose(request, claim)
        if wait <= 0 or not _lacks_capacity(found):
            return found
        queue = self._queues.setdefault(request.service, RequestQueue())
        if self._selector.seconds_to_drain(request.service, len(queue) + 1) > wait:
            # The request would not be served in time, so its host gets the answer now.
            return replace(found, crowded=True)
        until = monotonic() + min(wait, MAX_WAIT)
        queued = _QueuedPlacement(
            request.rank, request.arrived, until, request=request, claim=claim
        )
        queue.join(queued)
        try:
            while _lacks_capacity(queued.found) and await queue.wait(queued):
                await self._serve_queue(queue)
        finally:
            await queue.leave(queued)
        return queued.found

    async def _serve_queue(self, queue: RequestQueue) -> None:
        """Assign free capacity to the queued requests.

        One call serves as many requests as there is capacity for. If each request
        checked when it moves up, a long queue would use up the processor. If only the
        first few were served, the queue would drain slowly although targets are idle.
        """
        now = monotonic()
        if now < queue.polled_at + MIN_POLL_PAUSE:
            return
        queue.polled_at = now
        failed = 0
        for queued in queue.in_order():
            if not _lacks_capacity(queued.found):
                continue
            queued.found = self._choose(queued.request, queued.claim)
            if not _lacks_capacity(queued.found):
                await queued.wakeup.set()
                continue
            # A request bound to one version may lack capacity where others have some.
            failed += not queued.request.software_version
            if failed == HEAD_COUNT:
                return

    def _choose(self, request: LocalPlacementRequest, claim: Claim) -> LocalResult:
        now = monotonic()
        staleness = self._staleness(now)
        found = self._selector.choose(request, now, staleness)
        if isinstance(found, NoLocalTarget):
            return found
        claim(found)
        return replace(found, staleness=staleness)

    def _reserve(
        self,
        host: HostName,
        number: int,
        request: LocalPlacementRequest,
        found: LocalPlacement,
    ) -> None:
        now = monotonic()
        target, prompt = found.target, request.prompt
        target.limit.note_sent(now)
        if now < target.cold_until:
            self._cold.note_sent(target.info.incarnation, now)
        if is_unresponsive(target, now):
            target.trial_at = now
        if request.suspect:
            target.isolate(now)
        memory = prompt.memory_tokens if prompt else 0
        uncached = prompt.tokens - found.cached_tokens if prompt else 0
        run = OwnRun(memory, uncached, request.rank, now)
        self._reservations.add(host, number, target, prompt, run)


def make_query(
    request: LocalPlacementRequest, number: int, wait: float, now: float
) -> TargetAsk:
    """Return a request as a query to another host."""
    prompt = request.prompt
    return TargetAsk(
        number=number,
        service=request.service,
        request_id=request.request_id,
        parts=[PartUse(p.name, p.tokens) for p in prompt.parts] if prompt else [],
        tokens=prompt.tokens if prompt else -1,
        max_output=prompt.max_output if prompt else 0,
        expected_output=prompt.expected_output if prompt else 0,
        rank=request.rank,
        left_ms=int(request.time_left * 1000),
        waited_ms=int((now - request.arrived) * 1000),
        wait_ms=int(wait * 1000),
        avoided=sorted(request.avoided),
        suspect=request.suspect,
        software_version=request.software_version,
    )


def _read_query(query: TargetAsk, now: float) -> LocalPlacementRequest:
    prompt = None
    if query.tokens >= 0:
        parts = tuple(PromptPart(part.name, part.tokens) for part in query.parts)
        prompt = Prompt(parts, query.tokens, query.max_output, query.expected_output)
    return LocalPlacementRequest(
        request_id=query.request_id,
        service=query.service,
        prompt=prompt,
        time_left=query.left_ms / 1000,
        rank=query.rank,
        arrived=now - query.waited_ms / 1000,
        avoided=set(query.avoided),
        suspect=query.suspect,
        software_version=query.software_version,
    )


def _lacks_capacity(found: LocalResult) -> bool:
    return isinstance(found, NoLocalTarget) and not found.late
