"""Queries to the scheduler of the region, and answers to other hosts' queries."""

import dataclasses
import itertools
import random
from collections.abc import Callable

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers
from bronzepoint_node.fleet import Registry
from bronzepoint_schema.generated.scheduling import (
    NoTarget,
    SchedulingMessage,
    TargetAsk,
    TargetGrant,
    TargetRelease,
)
from bronzepoint_schema.ids import DataCenterName, HostName, RegionName

from ._choice import LocalPlacement, LocalResult, NoLocalTarget
from ._leased_asks import LeasedAsks
from ._load_exchange import LoadExchange
from ._local_request import LocalPlacementRequest
from ._other_regions import OtherRegions
from ._room_borrower import LeaseGrant
from ._scheduler import MAX_WAIT, Scheduler, make_query
from ._target_table import TargetTable
from ._tracked_target import TrackedTarget, is_ejected

ANSWER_TIMEOUT = 0.15
"""Seconds to wait for an answer, in addition to the time in the queue. It is many times
the round trip inside a region, and a fraction of any objective."""
MAX_UNANSWERED = 2
"""Consecutive queries without an answer after which a scheduler counts as
unresponsive."""

_log = get_logger("placement")


@dataclasses.dataclass
class _PendingQuery:
    """A query that has not been answered yet."""

    done: curio.Event = dataclasses.field(default_factory=curio.Event)
    answer: TargetGrant | NoTarget | None = None


class SchedulerClient:
    """Finds targets through the region's scheduler, or locally if it is unresponsive.

    Queries of other hosts are answered by this host's scheduler. Hosts send them only
    while they take this host for the scheduler of the region.

    Args:
        peers: Connections to the other hosts.
        table: Targets of the region.
        exchange: Knows which host is the scheduler.
        scheduler: Selects targets on this host.
        registry: Loads of the regions.
        metrics: Counters.
        update: Updates the table, where that is not done on each change.
        silent_regions: Returns the regions whose core hosts this host does not hear.
        regions: What this host knows of the other regions.
        leased_asks: Leases of this host's region, if it is the scheduler.
    """

    def __init__(
        self,
        peers: Peers,
        table: TargetTable,
        exchange: LoadExchange,
        scheduler: Scheduler,
        registry: Registry,
        metrics: Metrics,
        update: Callable[[], None] | None = None,
        silent_regions: Callable[[], list[RegionName]] = list,
        regions: OtherRegions | None = None,
        leased_asks: LeasedAsks | None = None,
    ) -> None:
        self._peers = peers
        self._table = table
        self._exchange = exchange
        self._scheduler = scheduler
        self._registry = registry
        self._metrics = metrics
        self._update = update
        self._silent_regions = silent_regions
        self._regions = regions
        self._leased_asks = leased_asks
        # The random start keeps a restarted host from settling grants of its previous
        # process.
        self._numbers = itertools.count(random.getrandbits(40))
        self._pending: dict[int, _PendingQuery] = {}
        self._unanswered = 0
        self._outdated: tuple[HostName, frozenset[DataCenterName]] | None = None
        self._tasks = curio.TaskGroup()
        peers.register(Area.SCHEDULING, SchedulingMessage, self._handle_message)

    async def close(self) -> None:
        """Stop answering queries."""
        await self._tasks.cancel_remaining()

    async def find(self, request: LocalPlacementRequest, wait: float) -> LocalResult:
        """Return a target of the region, as soon as there is one.

        Args:
            request: The request.
            wait: Seconds that it may wait in the queue; 0 for no waiting.
        """
        service, version = request.service, request.software_version
        rests_for = self._table.rests_for(service, version, monotonic())
        if rests_for:
            # The scheduler doesn't know, and would let the request wait for a target.
            return NoLocalTarget(rests_for=rests_for)
        scheduler = self._exchange.scheduler
        if scheduler is None:
            return await self._scheduler.find(request, wait)
        began = monotonic()
        answer = await self._query(scheduler, request, wait)
        timing = f"asked {scheduler}, {(monotonic() - began) * 1000:.0f} ms"
        match answer:
            case NoTarget(late=late, crowded=crowded):
                lease = LeaseGrant(answer.lease_region, answer.lease)
                return NoLocalTarget(
                    late,
                    crowded,
                    answer.limited_ms / 1000,
                    retry_after=answer.retry_ms / 1000,
                    share=answer.share_permille / 1000,
                    lease=lease if lease.number else None,
                    lends=answer.lends,
                )
            case TargetGrant():
                target = self._table.get(answer.incarnation)
                if target is not None and self._may_use(target):
                    return self._local_placement(target, answer, timing)
                if target is not None and target.info.data_center in self._table.closed:
                    self._note_outdated(scheduler)
                self._release(scheduler, answer.number)
        # The scheduler did not answer, or granted a target that this host does not know
        # yet or knows to take no requests.
        self._metrics.incr("schedule.own_choice")
        found = await self._scheduler.find(request, 0.0)
        if isinstance(found, LocalPlacement):
            reason = f"{found.reason}; {timing}, own choice"
            return dataclasses.replace(found, reason=reason)
        return found

    def _may_use(self, target: TrackedTarget) -> bool:
        return self._table.is_open(target) and not target.is_resting(monotonic())

    def _local_placement(
        self, target: TrackedTarget, grant: TargetGrant, timing: str
    ) -> LocalPlacement:
        return LocalPlacement(
            target,
            f"{grant.reason}; {timing}",
            grant.delay_ms / 1000,
            self._table.get(grant.fetch_from),
            grant.cached_tokens,
            grant.tokens_before,
            grant.known_ms / 1000,
            grant.quiet,
            grant.share_permille / 1000,
        )

    async def _query(
        self, scheduler: HostName, request: LocalPlacementRequest, wait: float
    ) -> TargetGrant | NoTarget | None:
        """Return the scheduler's answer; None if none arrived in time."""
        began = monotonic()
        number = next(self._numbers)
        query = make_query(request, number, wait, began)
        query.avoided += self._unusable(request, began)
        query.avoided += self._table.leaving_of_service(request.service)
        if self._outdated == (scheduler, self._table.closed):
            query.avoided += self._table.closed_of_service(request.service)
        pending = self._pending[number] = _PendingQuery()
        self._peers.post(scheduler, Area.SCHEDULING, query)
        try:
            async with curio.ignore_after(min(wait, MAX_WAIT) + ANSWER_TIMEOUT):
                await pending.done.wait()
        except curio.CancelledError:
            # The caller has left.
            self._release(scheduler, number)
            raise
        finally:
            del self._pending[number]
            if isinstance(pending.answer, TargetGrant):
                # This host's next load report includes the request.
                self._exchange.note_settled(number)
        self._metrics.timing("schedule.ask_ms", (monotonic() - began) * 1000)
        if pending.answer is None:
            self._release(scheduler, number)
            self._note_unanswered(scheduler)
        else:
            self._unanswered = 0
        return pending.answer

    def _unusable(self, request: LocalPlacementRequest, now: float) -> list[str]:
        """Return the targets that this host cannot use, although others may.

        A request that needs a software version may go to ejected targets, if no other
        target of the version is left.
        """
        self._table.begin_due_return(request.service, now)
        avoids_ejected = not request.software_version
        return [
            target.info.incarnation
            for target in self._table.of_service(request.service)
            if (avoids_ejected and is_ejected(target))
            or target.is_avoided_here(now)
            or target.is_resting(now)
        ]

    def _note_outdated(self, scheduler: HostName) -> None:
        """Record that a scheduler does not know of a closed data center."""
        if self._outdated != (scheduler, self._table.closed):
            _log.warning("scheduler outdated", scheduler=scheduler)
        self._outdated = scheduler, self._table.closed

    def _note_unanswered(self, scheduler: HostName) -> None:
        self._metrics.incr("schedule.unanswered")
        self._unanswered += 1
        if self._unanswered >= MAX_UNANSWERED:
            self._unanswered = 0
            _log.warning("scheduler silent", scheduler=scheduler)
            self._exchange.abandon_collector(scheduler)

    async def _handle_message(self, peer: HostName, message: SchedulingMessage) -> None:
        match message:
            case TargetAsk(service=service) if not self._knows_service(service):
                # A host that has just started has no targets yet. Answering that there
                # is none would get the caller's request refused. Without an answer its
                # host selects a target itself, and switches to another scheduler.
                self._metrics.incr("schedule.not_known")
            case TargetAsk(wait_ms=0):
                await self._answer(peer, message)
            case TargetAsk():
                # The request waits in the queue; other messages of the peer must not
                # wait for it.
                await self._tasks.spawn(self._answer, peer, message)
            case TargetGrant() | NoTarget():
                await self._resolve(peer, message)
            case TargetRelease(number=number):
                self._metrics.incr("schedule.released")
                await self._scheduler.release(peer, number)

    def _knows_service(self, service: str) -> bool:
        if self._update is not None and not self._table.has_service(service):
            # The catalogue may have just added the service.
            self._update()
        return self._table.has_service(service)

    async def _answer(self, peer: HostName, query: TargetAsk) -> None:
        leased_asks = self._leased_asks
        may_wait = leased_asks is None or leased_asks.may_wait(query, monotonic())
        if query.wait_ms and not may_wait:
            answer = NoTarget(query.number, late=False, crowded=True)
        else:
            answer = await self._scheduler.answer(peer, query)
        if leased_asks is not None:
            leased_asks.complete(query, answer, monotonic())
        if isinstance(answer, NoTarget):
            # The host now considers other regions, and its data about them may be
            # outdated.
            loads = self._registry.loads()
            answer.loads = [load for load in loads if load.service == query.service]
            answer.silent_regions = self._silent_regions()
            if self._regions is not None:
                stays = answer.lease or answer.lends
                eligible = [] if stays else query.lease_regions
                answer.forwarded = self._regions.expect_forward(
                    answer.loads, eligible, monotonic()
                )
        self._peers.post(peer, Area.SCHEDULING, answer)

    def _release(self, scheduler: HostName, number: int) -> None:
        """Give back a query that waits for a target, or its grant."""
        self._peers.post(scheduler, Area.SCHEDULING, TargetRelease(number))

    async def _resolve(self, peer: HostName, answer: TargetGrant | NoTarget) -> None:
        if isinstance(answer, NoTarget):
            self._registry.merge_loads(answer.loads)
            if self._regions is not None:
                self._regions.apply_scheduler_answer(answer, monotonic())
        pending = self._pending.get(answer.number)
        if pending is not None:
            pending.answer = answer
            await pending.done.set()
        elif isinstance(answer, TargetGrant):
            # The grant arrived too late and is not used.
            self._metrics.incr("schedule.late_grant")
            self._exchange.note_settled(answer.number)
            self._release(peer, answer.number)
