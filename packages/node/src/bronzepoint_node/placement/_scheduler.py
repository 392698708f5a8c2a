"""Selection of targets for requests of this host and queries of other hosts."""

import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_schema.generated.scheduling import NoTarget, TargetAsk, TargetGrant
from bronzepoint_schema.generated.target_loads import PartUse
from bronzepoint_schema.ids import HostName

from ._choice import LocalPlacement, LocalResult, NoLocalTarget
from ._cold_start_limiter import ColdStartLimiter
from ._engine_load import RESERVATION_EXPIRY, OwnRun
from ._fair_order import Charge, FlowKey
from ._local_request import LocalPlacementRequest
from ._local_target_selector import LocalTargetSelector
from ._prompt import Prompt, PromptPart
from ._queue_metrics import QueueMetrics
from ._request_queue import HEAD_COUNT, QueuedRequest, RequestQueue
from ._reservations import Reservations
from ._tracked_target import is_unresponsive
from ._wait_forecast import MIN_RETRY, Limits, Outlook, WaitForecast

MIN_POLL_PAUSE = 0.02
"""Minimum seconds between two checks of a queue for free capacity."""

MAX_REPORT_AGE = 1.5
"""Age in seconds of the load information from which on the measured start rate doesn't
count: ended requests are seen through load reports only."""
SERVING_TIME = 5.0
"""Seconds after a query of another host for which this host counts as the scheduler of
its region."""
RATE_INTERVAL = 0.1
"""Seconds for which the start rate that follows from the slots is kept."""
MAX_WAIT = 1.0
"""Seconds that a request waits in the queue before its host checks other regions, too.
If hosts repeated their queries at short intervals instead, a burst would use up the
scheduler's processor."""

Claim = Callable[[LocalPlacement], None]
"""Counts a request at its target, before any other request is placed."""


AskKey = tuple[HostName, int]
"""The asking host and its number of an ask."""


class _Grant(NamedTuple):
    """A grant that may still be given back."""

    at: float
    queue: RequestQueue
    charge: Charge


@dataclass(order=True)
class _QueuedPlacement(QueuedRequest):
    """A queued request and the result of its placement."""

    request: LocalPlacementRequest = field(kw_only=True, compare=False)
    claim: Claim = field(kw_only=True, compare=False)
    ask: AskKey = field(kw_only=True, compare=False)
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
        weight: Returns the weight of an organisation.
        metrics: Counters; None: nothing is counted.
    """

    def __init__(
        self,
        name: HostName,
        selector: LocalTargetSelector,
        cold: ColdStartLimiter,
        reservations: Reservations,
        staleness: Callable[[float], float],
        weight: Callable[[str], float] = lambda _: 1.0,
        metrics: Metrics | None = None,
    ) -> None:
        self._name = name
        self._numbers = itertools.count()
        self._selector = selector
        self._cold = cold
        self._reservations = reservations
        self._staleness = staleness
        self._weight = weight
        self._with_organisations: set[str] = set()
        self._forecasts: dict[str, WaitForecast] = {}
        self._start_rates: dict[str, tuple[float, float]] = {}
        self._queue_metrics = QueueMetrics(metrics)
        self._answered_at = -math.inf
        self._waiting: dict[AskKey, tuple[RequestQueue, _QueuedPlacement]] = {}
        self._grants: dict[AskKey, _Grant] = {}
        self._queues: dict[str, RequestQueue] = {}

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

        found = await self._find(request, wait, claim, (self._name, number))
        if isinstance(found, LocalPlacement):
            self._reservations.settle(self._name, [number])
        return found

    async def answer(self, host: HostName, query: TargetAsk) -> TargetGrant | NoTarget:
        """Answer a query of another host, and reserve what it is granted."""
        self._answered_at = monotonic()
        request = _read_query(query, self._answered_at)

        def claim(found: LocalPlacement) -> None:
            self._reserve(host, query.number, request, found)

        ask = host, query.number
        found = await self._find(request, query.wait_ms / 1000, claim, ask)
        self._queue_metrics.note_result(request, found)
        match found:
            case NoLocalTarget(late=late, crowded=crowded):
                return NoTarget(
                    query.number,
                    late,
                    crowded=crowded,
                    limited_ms=math.ceil(found.limited_for * 1000),
                    retry_ms=math.ceil(found.retry_after * 1000),
                    share_permille=round(found.share * 1000),
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
                    round(found.share * 1000),
                )

    async def release(self, host: HostName, number: int) -> None:
        """Withdraw a query of another host that is of no use any more.

        Its place in the queue, or its reservation and what its organisation was
        charged, are given back together, so that no choice sees only one of them. A
        query that isn't known has been released before, or its grant has expired.
        """
        ask = host, number
        waiting = self._waiting.pop(ask, None)
        if waiting is not None:
            queue, queued = waiting
            await queue.withdraw(queued)
        grant = self._grants.pop(ask, None)
        if grant is not None:
            self._reservations.settle(host, [number])
            grant.queue.refund(grant.charge)

    def waiting(self, service: str) -> int:
        """Return the number of requests in the queue of a service."""
        return len(self._queues.get(service, ()))

    async def _find(
        self,
        request: LocalPlacementRequest,
        wait: float,
        claim: Claim,
        ask: AskKey,
    ) -> LocalResult:
        queue = self._queue(request.service)
        queued = self._queued(request, wait, claim, ask)
        forecast = self._forecast(request)
        keeps_order = forecast is not None or request.organisation
        if keeps_order and self._is_behind(queue, queued):
            # Capacity that has become free goes to the waiting requests first, or those
            # who ask most often would get it.
            await self._serve_queue(queue)
        if not (keeps_order and self._is_behind(queue, queued)):
            self._try_grant(queue, queued)
        if not _lacks_capacity(queued.found):
            return queued.found
        if forecast is not None:
            refused = self._admit(queue, queued, forecast)
            if refused is not None:
                return refused
        if wait <= 0:
            return queued.found
        if forecast is None:
            drain = self._selector.seconds_to_drain(request.service, len(queue) + 1)
            if drain > wait:
                # The request would not be served in time, so its host gets the answer
                # now.
                return replace(queued.found, crowded=True)
        queue.join(queued)
        self._waiting[ask] = queue, queued
        self._queue_metrics.note_waiting(request, 1)
        try:
            while _lacks_capacity(queued.found) and await queue.wait(queued):
                await self._serve_queue(queue)
        finally:
            self._waiting.pop(ask, None)
            self._queue_metrics.note_waiting(request, -1)
            await queue.leave(queued)
        if forecast is not None and _lacks_capacity(queued.found):
            # The host asks again, with the rank that the request has by then.
            return replace(queued.found, retry_after=MIN_RETRY)
        return queued.found

    def _forecast(self, request: LocalPlacementRequest) -> WaitForecast | None:
        """Return the forecast for a request; None: it waits as long as it says.

        A host that chooses for itself alone doesn't know what else is waiting.
        """
        now = monotonic()
        if not request.objective or request.prompt is None:
            return None
        if now - self._answered_at > SERVING_TIME:
            return None
        return self._forecasts.setdefault(request.service, WaitForecast())

    def _admit(
        self, queue: RequestQueue, queued: _QueuedPlacement, forecast: WaitForecast
    ) -> NoLocalTarget | None:
        """Return the refusal of a request that can't be served; None: it may wait."""
        request, now = queued.request, monotonic()
        if self._staleness(now) > MAX_REPORT_AGE:
            forecast.forget_measurements()
        rate = self._start_rate(request.service, now)
        forecast.note_full(rate, now)
        limits = self._limits(request, now)
        admission = forecast.admit(queue.order, queued, limits, rate, now)
        if admission.outlook is Outlook.NOT:
            retry_after = forecast.retry_after(queue.order, queued, rate, now)
            forecast.note_demand(queued, now)
            share = forecast.share(queued.flow, now)
            return replace(
                queued.found, crowded=True, retry_after=retry_after, share=share
            )
        queued.rank = admission.key.rank
        is_in_time = admission.outlook is Outlook.IN_TIME
        latest = now + (limits.in_time if is_in_time else limits.at_all)
        queued.until = min(queued.until, latest)
        queued.found = replace(queued.found, retry_after=max(MIN_RETRY, admission.wait))
        return None

    def _limits(self, request: LocalPlacementRequest, now: float) -> Limits:
        """Return the seconds within which a request has to start."""
        prompt, waited = request.prompt, now - request.arrived
        costs = self._selector.costs
        first = costs.seconds_to_first_token(request.service, prompt)
        writing = costs.seconds_to_write(request.service, prompt, now)
        return Limits(
            request.objective - waited - first,
            request.time_left - first - writing,
            waited > request.objective,
        )

    def _start_rate(self, service: str, now: float) -> float:
        """Return the requests per second by slots and mean duration."""
        at, rate = self._start_rates.get(service, (-math.inf, 0.0))
        if now - at > RATE_INTERVAL:
            rate = self._selector.start_rate(service, now)
            self._start_rates[service] = now, rate
        return rate

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
        failed = failed_long = 0
        for queued in queue.in_order():
            if not queued.is_waiting:
                continue
            if queued.has_long_prompt and failed_long == HEAD_COUNT:
                if not queue.short_count:
                    return
                continue
            self._try_grant(queue, queued)
            if not _lacks_capacity(queued.found):
                await queued.wakeup.set()
            elif queued.has_long_prompt:
                # Targets that read too much may still have room for short prompts.
                failed_long += 1
            elif not (queued.request.software_version or queued.request.apart):
                # One bound to a version, or that waits for the end of other trials, may
                # lack capacity where others have some.
                failed += 1
                if failed == HEAD_COUNT:
                    return

    def _queue(self, service: str) -> RequestQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = RequestQueue(self._weight)
        return queue

    def _queued(
        self,
        request: LocalPlacementRequest,
        wait: float,
        claim: Claim,
        ask: AskKey,
    ) -> _QueuedPlacement:
        """Return a request as the queue sees it, to be added if it has to wait."""
        now = monotonic()
        flow, route_priority = FlowKey(), 0
        if request.organisation:
            self._with_organisations.add(request.service)
        if request.service in self._with_organisations:
            route = "" if request.organisation else request.route
            flow = FlowKey(request.organisation, route)
            route_priority = request.route_priority
        return _QueuedPlacement(
            request.rank,
            request.arrived,
            now + min(wait, MAX_WAIT),
            route_priority=route_priority,
            flow=flow,
            cost=self._selector.costs.cost(request.service, request.prompt, now),
            has_long_prompt=request.has_long_prompt,
            request=request,
            claim=claim,
            ask=ask,
        )

    def _is_behind(self, queue: RequestQueue, queued: _QueuedPlacement) -> bool:
        """Return whether a request must not be granted capacity before others.

        Long prompts wait for targets that have read enough, which a short one needn't.
        """
        ahead = len(queue) if queued.has_long_prompt else queue.short_count
        return ahead > 0 and queue.order.is_behind_others(queued)

    def _try_grant(self, queue: RequestQueue, queued: _QueuedPlacement) -> None:
        """Grant a request the best target with free capacity, if there is one."""
        now = monotonic()
        staleness = self._staleness(now)
        found = self._selector.choose(queued.request, now, staleness)
        if isinstance(found, LocalPlacement):
            self._note_grant(queued.ask, queue, queue.grant(queued), now)
            queued.claim(found)
            found = replace(found, staleness=staleness)
            forecast = self._forecasts.get(queued.request.service)
            if forecast is not None:
                rate = self._start_rate(queued.request.service, now)
                forecast.note_started(queued, rate, now, is_last=not len(queue))
                found = replace(found, share=forecast.share(queued.flow, now))
        elif _lacks_capacity(found):
            self._note_full(queued.request.service, now)
        queued.found = found

    def _note_full(self, service: str, now: float) -> None:
        forecast = self._forecasts.get(service)
        if forecast is not None:
            forecast.note_full(self._start_rate(service, now), now)

    def _note_grant(
        self, ask: AskKey, queue: RequestQueue, charge: Charge, now: float
    ) -> None:
        """Keep what a grant was charged for as long as it may be given back."""
        while self._grants:
            oldest = next(iter(self._grants))
            if now - self._grants[oldest].at < RESERVATION_EXPIRY:
                break
            del self._grants[oldest]
        self._grants[ask] = _Grant(now, queue, charge)

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
        memory = 0
        if prompt is not None:
            memory = prompt.memory_tokens + target.missing_tokens(prompt)
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
        organisation=request.organisation,
        route=request.route,
        route_priority=request.route_priority,
        objective_ms=int(request.objective * 1000),
        data_center=request.data_center,
        lease=request.lease,
        lease_regions=request.lease_regions,
        apart=request.apart,
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
        organisation=query.organisation,
        route=query.route,
        route_priority=query.route_priority,
        objective=query.objective_ms / 1000,
        data_center=query.data_center,
        apart=query.apart,
    )


def _lacks_capacity(found: LocalResult) -> bool:
    return isinstance(found, NoLocalTarget) and not found.late
