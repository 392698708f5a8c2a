"""Finding targets through the scheduler of the region: asks and their answers."""

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
)
from bronzepoint_schema.ids import HostName

from ._choice import AtHome, HomeAnswer, NoHome
from ._home_ask import HomeAsk
from ._load_exchange import LoadExchange
from ._scheduler import MOST_WAIT, Scheduler, make_ask
from ._target_table import TargetTable
from ._tracked import Tracked, is_ejected

ANSWER_TIMEOUT = 0.15
"""Seconds to wait for an answer, besides the time that a request may stand in line:
many times the trip inside a region, and a fraction of any objective."""
MOST_UNANSWERED = 2
"""Asks in a row without an answer after which a scheduler counts as silent."""

_log = get_logger("placement")


@dataclasses.dataclass
class _Open:
    """An ask that waits for its answer."""

    done: curio.Event = dataclasses.field(default_factory=curio.Event)
    answer: TargetGrant | NoTarget | None = None


class SchedulerClient:
    """Finds targets: asks the region's scheduler, or chooses here where none answers.

    Other hosts' asks are answered by the scheduler of this one: it is asked only where
    they take it for that of the region.

    Args:
        peers: Links to the other hosts.
        table: Targets of the region.
        exchange: Knows who the scheduler is.
        scheduler: Chooses on this host.
        registry: How busy the regions are.
        metrics: Counters.
        update: Brings the table up to date, where that isn't done for each change.
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
    ) -> None:
        self._peers = peers
        self._table = table
        self._exchange = exchange
        self._scheduler = scheduler
        self._registry = registry
        self._metrics = metrics
        self._update = update
        # A host that was started anew must not settle what its former self was granted.
        self._numbers = itertools.count(random.getrandbits(40))
        self._open: dict[int, _Open] = {}
        self._unanswered = 0
        self._tasks = curio.TaskGroup()
        peers.register(Area.SCHEDULING, SchedulingMessage, self._take)

    async def close(self) -> None:
        """Stop answering."""
        await self._tasks.cancel_remaining()

    async def find(self, ask: HomeAsk, wait: float) -> HomeAnswer:
        """Return a target of the region, as soon as there is one.

        Args:
            ask: The request.
            wait: Seconds for which it may stand in line; 0: it doesn't.
        """
        scheduler = self._exchange.scheduler
        if scheduler is None:
            return await self._scheduler.find(ask, wait)
        began = monotonic()
        answer = await self._ask(scheduler, ask, wait)
        asked = f"asked {scheduler}, {(monotonic() - began) * 1000:.0f} ms"
        match answer:
            case NoTarget(late=late, crowded=crowded):
                return NoHome(late, crowded)
            case TargetGrant():
                target = self._table.get(answer.incarnation)
                if target is not None:
                    return self._at_home(target, answer, asked)
        # Nobody answers, or what was granted isn't known here yet.
        self._metrics.incr("schedule.own_choice")
        found = await self._scheduler.find(ask, 0.0)
        if isinstance(found, AtHome):
            reason = f"{found.reason}; {asked}, own choice"
            return dataclasses.replace(found, reason=reason)
        return found

    def _at_home(self, target: Tracked, grant: TargetGrant, asked: str) -> AtHome:
        return AtHome(
            target,
            f"{grant.reason}; {asked}",
            grant.delay_ms / 1000,
            self._table.get(grant.fetch_from),
            grant.cached_tokens,
            grant.tokens_before,
            grant.known_ms / 1000,
            grant.quiet,
        )

    async def _ask(
        self, scheduler: HostName, ask: HomeAsk, wait: float
    ) -> TargetGrant | NoTarget | None:
        """Return the scheduler's answer; None: it didn't come."""
        began = monotonic()
        number = next(self._numbers)
        asked = make_ask(ask, number, wait, began)
        asked.avoided += self._unusable(ask.service, began)
        opened = self._open[number] = _Open()
        self._peers.post(scheduler, Area.SCHEDULING, asked)
        try:
            async with curio.ignore_after(min(wait, MOST_WAIT) + ANSWER_TIMEOUT):
                await opened.done.wait()
        finally:
            del self._open[number]
            if isinstance(opened.answer, TargetGrant):
                # From its next notice on, this host's own part tells of the request.
                self._exchange.note_settled(number)
        self._metrics.timing("schedule.ask_ms", (monotonic() - began) * 1000)
        if opened.answer is None:
            self._note_unanswered(scheduler)
        else:
            self._unanswered = 0
        return opened.answer

    def _unusable(self, service: str, now: float) -> list[str]:
        """Return the targets that this host can't use, though others may."""
        self._table.let_return(service, now)
        known = self._table.of_service(service)
        return [
            target.info.incarnation
            for target in known
            if is_ejected(target) or target.is_shunned_here(now)
        ]

    def _note_unanswered(self, scheduler: HostName) -> None:
        self._metrics.incr("schedule.unanswered")
        self._unanswered += 1
        if self._unanswered >= MOST_UNANSWERED:
            self._unanswered = 0
            _log.warning("scheduler silent", scheduler=scheduler)
            self._exchange.leave(scheduler)

    async def _take(self, peer: HostName, message: SchedulingMessage) -> None:
        match message:
            case TargetAsk(service=service) if not self._knows(service):
                # A host that was just started knows no targets yet. Told that there is
                # none, the caller would be turned away; without an answer its host
                # chooses by itself, and asks the next one.
                self._metrics.incr("schedule.not_known")
            case TargetAsk(wait_ms=0):
                await self._answer(peer, message)
            case TargetAsk():
                # It stands in line: what else the peer says must not wait for it.
                await self._tasks.spawn(self._answer, peer, message)
            case TargetGrant() | NoTarget():
                await self._resolve(message)

    def _knows(self, service: str) -> bool:
        if self._update is not None and not self._table.has_service(service):
            # The catalogue may have named it just now.
            self._update()
        return self._table.has_service(service)

    async def _answer(self, peer: HostName, asked: TargetAsk) -> None:
        answer = await self._scheduler.answer(peer, asked)
        if isinstance(answer, NoTarget):
            # Its host looks elsewhere now, and what it was told may be old.
            loads = self._registry.loads()
            answer.loads = [load for load in loads if load.service == asked.service]
        self._peers.post(peer, Area.SCHEDULING, answer)

    async def _resolve(self, answer: TargetGrant | NoTarget) -> None:
        if isinstance(answer, NoTarget):
            self._registry.hear_loads(answer.loads)
        opened = self._open.get(answer.number)
        if opened is not None:
            opened.answer = answer
            await opened.done.set()
        elif isinstance(answer, TargetGrant):
            # It came too late: what was granted isn't used.
            self._metrics.incr("schedule.late_grant")
            self._exchange.note_settled(answer.number)
