"""The life of one request: read, placed, tried, answered."""

from collections.abc import Callable, Coroutine
from dataclasses import dataclass

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import BadRequest, Disconnected, Exchange, HttpClient
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.fleet import Follower, ServedCatalogue
from bronzepoint_node.placement import (
    AtHome,
    ColdGate,
    Elsewhere,
    PlacementAsk,
    Placer,
    Rejected,
    RejectReason,
    RetryAllowance,
    TargetTable,
    is_silent,
    service_of,
)
from bronzepoint_schema.generated.decisions import TryResult
from bronzepoint_schema.ids import RegionName

from ._call import Answered, Call, MayHaveRun, NotRun, TryOutcome
from ._codec import CallerHead, Codec
from ._events import EventSplitter
from ._try import FORWARDED_HEADER, RAN_HEADER, RUNS_HEADER, Destination, Try

CUT_MARGIN = 0.05
"""Seconds before the caller's own deadline at which its final answer is given."""
DEFAULT_DEADLINE = 30.0
"""Seconds for a caller that doesn't say how long it waits."""
WAIT_STEP = 0.03
"""Seconds between two looks for room while a request waits here."""
START_WAIT = 1.5
"""Seconds for which a request waits for a catalogue after a start,"""
START_WAIT_SHARE = 0.3
"""but no more than this part of its deadline."""
WAIT_SHARE = 0.5
"""Part of the objective for which a request may wait here for room."""
PATIENCE = 1.0
"""Seconds for which the head of an answer is waited for where it may run twice,"""
PATIENCE_BY_DELAY = 2.5
"""besides this multiple of what was expected. A busy engine is not left too soon:
what it has read of a prompt would be lost, and read again elsewhere."""
PATIENCE_SHARE = 0.6
"""Part of the time left that is waited for at most."""
MOST_SENDS = 4
"""Times that a request is sent on where each time it certainly did not run."""
LOOK_INTERVAL = 0.15
"""Seconds between two looks whether a target has fallen silent."""
STREAM_OVERTIME = 0.2
"""Seconds past its route's timeout for which a stream that flows may go on."""
KEPT_REPEATABLE = 3.0
"""Seconds for which a connection to a target may have been idle, for a request that may
run twice,"""
KEPT_ONCE = 0.8
"""and for one that may not: a target that closes it just then loses the request."""
KEPT_BETWEEN_HOSTS = 20.0
"""Seconds for a connection to one of our hosts, which closes it after 60."""
MOST_BEFORE = 500
"""Prompt tokens before a request up to which its time says how fast a target is."""
RESUME_STALL = 1.0
"""Seconds without an event after which a stream goes on at another target."""

_log = get_logger("relay")


@dataclass(frozen=True)
class RelaySettings:
    """What this host is."""

    region: RegionName


class Relay:
    """Answers callers, and entry hosts of other regions.

    Args:
        settings: What this host is.
        follower: What is in force.
        table: Targets of this region.
        placer: Chooses where requests go.
        cold: Which host may send to cold targets.
        allowance: How often requests may be sent again.
        client: Connections to targets.
        hosts: Connections to entry hosts of other regions.
        codec: Words of callers and targets.
        metrics: Counters.
    """

    def __init__(
        self,
        settings: RelaySettings,
        follower: Follower,
        table: TargetTable,
        placer: Placer,
        cold: ColdGate,
        allowance: RetryAllowance,
        client: HttpClient,
        hosts: HttpClient,
        codec: Codec,
        metrics: Metrics,
    ) -> None:
        self._settings = settings
        self._follower = follower
        self._table = table
        self._placer = placer
        self._cold = cold
        self._allowance = allowance
        self._client = client
        self._hosts = hosts
        self._codec = codec
        self._metrics = metrics
        self._leaving = False
        self.in_progress = 0

    def refuse_new(self) -> None:
        """Turn away what comes from now on: this host ends soon."""
        self._leaving = True

    async def serve(self, exchange: Exchange) -> None:
        """Answer a caller."""
        await self._serve(exchange, forwarded=False)

    async def serve_forwarded(self, exchange: Exchange) -> None:
        """Answer an entry host of another region."""
        await self._serve(exchange, forwarded=True)

    async def _serve(self, exchange: Exchange, forwarded: bool) -> None:
        arrived = monotonic()
        try:
            head = self._codec.read_request(exchange.request)
        except BadRequest as exc:
            await exchange.respond(400, {}, f"{exc}\n".encode())
            return
        catalogue = await self._known_catalogue(head)
        if catalogue is None:
            await self._refuse(exchange, head, RejectReason.NO_CATALOGUE, 0.5)
            return
        body = await exchange.body()
        call = self._call(exchange, head, catalogue, body, arrived, forwarded)
        if call is None:
            self._metrics.incr("refusal.no_route")
            _log.info("no route", request=head.request_id, version=catalogue.version)
            await exchange.respond(404, {}, b"no such route\n")
            return
        if self._leaving:
            await self._refuse(exchange, head, RejectReason.LEAVING, 0.1)
            return
        await self._answer_while_wanted(call)

    async def _known_catalogue(self, head: CallerHead) -> ServedCatalogue | None:
        """Return what is in force; wait a little for it after a start.

        After a kill of the whole core it comes back within a second or two. Turned
        away at once, all callers would come back at the same moment.
        """
        deadline = head.deadline if head.deadline is not None else DEFAULT_DEADLINE
        until = monotonic() + min(START_WAIT, START_WAIT_SHARE * deadline)
        while self._follower.catalogue is None or self._follower.targets is None:
            if monotonic() >= until or self._leaving:
                break
            await curio.sleep(WAIT_STEP)
        return self._follower.catalogue

    def _call(
        self,
        exchange: Exchange,
        head: CallerHead,
        catalogue: ServedCatalogue,
        body: bytes,
        arrived: float,
        forwarded: bool,
    ) -> Call | None:
        path = exchange.request.raw_path.partition("?")[0]
        route = catalogue.find_route(head.host, path)
        if route is None:
            return None
        deadline = head.deadline if head.deadline is not None else DEFAULT_DEADLINE
        until = arrived + min(deadline - CUT_MARGIN, route.timeout)
        events = EventSplitter(head.last_event)
        call = Call(exchange, head, route, body, arrived, until, forwarded, events)
        if forwarded:
            # The runs of both hosts count together against the route's bound.
            runs = exchange.request.headers.get(RUNS_HEADER, "0")
            call.runs = int(runs) if runs.isdigit() else 0
        return call

    async def _answer_while_wanted(self, call: Call) -> None:
        """Work on a request until it is answered or its caller has left.

        The targets' work for a caller that has left is lost, and takes the room of
        those who wait. It would be noticed as targets that are busy with nothing.
        """
        self.in_progress += 1
        work = await curio.spawn(self._answer_in_time, call)
        watch = await curio.spawn(call.exchange.wait_disconnect)
        try:
            async with curio.TaskGroup([work, watch], wait=any):
                pass
        finally:
            self.in_progress -= 1
        if call.exchange.ended or call.exchange.aborted:
            return
        match work.exception:
            case None | curio.TaskCancelled() | Disconnected():
                self._note(call, "caller_left")
                raise Disconnected("it closed its connection")
            case exc:
                _log.error(
                    "answer failed",
                    request=call.head.request_id,
                    reason=repr(exc),
                    tries=call.notes,
                )
                raise exc

    async def _answer_in_time(self, call: Call) -> None:
        work = await curio.spawn(self._answer, call)
        try:
            async with curio.ignore_after(max(0.0, call.left)) as limit:
                await work.wait()
            if limit.expired and call.exchange.started:
                async with curio.ignore_after(STREAM_OVERTIME):
                    await work.wait()
        finally:
            await work.cancel()
        if work.exception is not None and not call.exchange.ended and not limit.expired:
            raise work.exception
        if not limit.expired or call.exchange.ended:
            return
        self._metrics.incr("refusal.deadline")
        self._note(call, "deadline")
        if call.exchange.started:
            await call.exchange.abort()
        elif call.sends:
            await call.exchange.respond(504, {}, b"no answer in time\n")
        else:
            headers = {RAN_HEADER: "no"} if call.forwarded else {}
            await call.exchange.respond(503, headers, b"no room in time\n")

    async def _answer(self, call: Call) -> None:
        service = service_of(call.route, call.head.request_id)
        if not call.forwarded:
            self._allowance.note_request(service, monotonic())
        waited_until = monotonic() + WAIT_SHARE * call.route.objective
        while True:
            placement = self._placer.place(self._ask(call), monotonic())
            if isinstance(placement, Rejected):
                waits = placement.reason is RejectReason.NO_ROOM
                if waits and not call.forwarded and monotonic() < waited_until:
                    await curio.sleep(WAIT_STEP)
                    continue
                await self._reject(call, placement)
                return
            if call.arrivals and not self._allowance.take(service, monotonic()):
                await self._give_up(call, call.last_outcome)
                return
            outcome = await self._try(call, placement, service)
            call.last_outcome = outcome
            if await self._settled(call, outcome):
                return

    def _ask(self, call: Call) -> PlacementAsk:
        return PlacementAsk(
            call.head.request_id,
            call.route,
            call.head.prompt,
            call.forwarded,
            call.left,
            call.tried,
            call.tried_hosts,
        )

    async def _settled(self, call: Call, outcome: TryOutcome) -> bool:
        """Answer the caller if the outcome is final; False: it is tried again."""
        match outcome:
            case Answered(streamed=True):
                self._note(call, "answered")
                return True
            case Answered() if call.exchange.started:
                # A part of a stream was passed on: no other answer can follow it.
                if self._may_repeat(call):
                    return False
            case Answered(status=status, headers=headers, body=body):
                if status >= 500 and self._may_repeat(call):
                    return False
                self._note(call, f"answered_{status}")
                await call.exchange.respond(status, headers, body)
                return True
            case NotRun():
                if call.sends < MOST_SENDS:
                    return False
            case MayHaveRun():
                if self._may_repeat(call):
                    return False
        await self._give_up(call, outcome)
        return True

    def _may_repeat(self, call: Call) -> bool:
        if not call.route.repeatable or call.runs >= call.route.max_attempts:
            return False
        if call.exchange.started and call.events.last_id is None:
            return False
        return call.left > 0

    def _may_repeat_after(self, call: Call) -> bool:
        """Tell whether the request may be sent again after the try in progress."""
        return call.route.repeatable and call.runs + 1 < call.route.max_attempts

    async def _give_up(self, call: Call, outcome: TryOutcome | None) -> None:
        """Give the final answer where no try brought one."""
        exchange = call.exchange
        if exchange.started:
            self._note(call, "stream_broken")
            await exchange.abort()
            return
        match outcome:
            case Answered(status=status, headers=headers, body=body):
                self._note(call, f"answered_{status}")
                await exchange.respond(status, headers, body)
            case NotRun(retry_after=retry_after) if not call.runs:
                wait = retry_after or 0.3
                await self._refuse(
                    exchange,
                    call.head,
                    RejectReason.RETRIES_USED_UP,
                    wait,
                    call,
                )
            case _:
                self._metrics.incr("refusal.may_have_run")
                self._note(call, "may_have_run")
                await exchange.respond(502, {}, b"no whole answer\n")

    async def _reject(self, call: Call, rejected: Rejected) -> None:
        if call.runs or call.exchange.started:
            await self._give_up(call, call.last_outcome)
            return
        call.notes.append(rejected.detail)
        await self._refuse(
            call.exchange, call.head, rejected.reason, rejected.retry_after, call
        )

    async def _refuse(
        self,
        exchange: Exchange,
        head: CallerHead,
        reason: RejectReason,
        retry_after: float,
        call: Call | None = None,
    ) -> None:
        """Answer that the request did not run and never will."""
        self._metrics.incr(f"refusal.{reason}")
        if call is not None:
            self._note(call, f"refused_{reason}")
        else:
            _log.info("refused", request=head.request_id, reason=reason)
        headers = {"Retry-After": f"{retry_after:.2f}", RAN_HEADER: "no"}
        await exchange.respond(503, headers, f"{reason}\n".encode())

    async def _try(
        self, call: Call, placement: AtHome | Elsewhere, service: str
    ) -> TryOutcome:
        call.sends += 1
        match placement:
            case AtHome():
                outcome = await self._try_target(call, placement, service)
            case Elsewhere():
                outcome = await self._try_region(call, placement, service)
        if not isinstance(outcome, NotRun):
            call.runs += 1
            call.arrivals += 1
        elif outcome.by_target:
            call.arrivals += 1
        reason = getattr(outcome, "reason", "answered")
        self._metrics.incr(f"try.{reason}")
        return outcome

    async def _try_target(
        self, call: Call, placement: AtHome, service: str
    ) -> TryOutcome:
        target = placement.target
        name = target.info.incarnation
        now = monotonic()
        if now < target.cold_until:
            self._cold.note_sent(name, now)
        if is_silent(target, now):
            target.trial_at = now
        call.tried.add(name)
        call.notes.append(f"{name}@{target.info.address}: {placement.reason}")
        run_id = f"{call.head.request_id}.{call.sends}"
        times = self._placer.times(service)
        rank = call.route.priority
        rate = self._placer.rate(service)
        before = target.load.tokens_before(rank, rate.tokens_per_second, now)
        uncached = target.begin(run_id, call.head.prompt, rank, now)

        def started() -> None:
            run = target.load.runs.get(run_id)
            if run is None or run.started:
                return
            first = monotonic()
            target.load.note_started(run_id, first)
            if before < MOST_BEFORE:
                times.add_first_token(name, first - now, uncached, first)
                rate.add(uncached, first - now, before)

        headers = self._codec.target_headers(
            call.head,
            call.left,
            name,
            call.route.priority,
            call.events.last_id,
        )
        where = Destination(
            target.info.address,
            headers,
            self._patience(call, placement.delay),
            self._stall(call),
            KEPT_REPEATABLE if call.route.repeatable else KEPT_ONCE,
        )
        result = TryResult.cancelled
        try:
            attempt = Try(self._client, self._codec, call, started)
            outcome = await self._while_answering(
                call, attempt.run(where), lambda: is_silent(target, monotonic())
            )
            result = _result_of(outcome)
        finally:
            target.load.end(run_id)
            seconds = monotonic() - now
            self._table.note_result(target, result, seconds, monotonic())
        match outcome:
            case NotRun(reason="replaced"):
                # The list lags: without this, every request until the next reading
                # would be sent there and turned away.
                target.replaced = True
            case NotRun(reason="connect_failed"):
                target.note_silent(monotonic())
        if result is TryResult.answered:
            times.add_hold(seconds)
        call.notes[-1] += f" -> {getattr(outcome, 'reason', 'answered')}"
        return outcome

    async def _try_region(
        self, call: Call, placement: Elsewhere, service: str
    ) -> TryOutcome:
        call.tried_hosts.add(placement.host)
        call.notes.append(f"{placement.region} {placement.host}: {placement.reason}")
        self._placer.note_forwarded(placement.region, service, monotonic())
        headers = self._codec.target_headers(
            call.head, call.left, "", None, call.events.last_id
        )
        headers[FORWARDED_HEADER] = self._settings.region
        headers[RUNS_HEADER] = str(call.runs)
        where = Destination(
            placement.address,
            headers,
            self._patience(call, placement.delay),
            self._stall(call),
            KEPT_BETWEEN_HOSTS,
        )
        attempt = Try(self._hosts, self._codec, call, _nothing)
        outcome = await self._while_answering(
            call,
            attempt.run(where),
            lambda: not self._placer.lives(placement.host),
        )
        match outcome:
            case NotRun(reason="connect_failed"):
                self._placer.note_lost_host(placement.host, monotonic())
        call.notes[-1] += f" -> {getattr(outcome, 'reason', 'answered')}"
        return outcome

    async def _while_answering(
        self, call: Call, run: Coroutine, lost: Callable[[], bool]
    ) -> TryOutcome:
        """Return how a try ends; give it up where its target is lost meanwhile.

        A target behind a cut says nothing, and its connections look open: the request
        would wait for its deadline, though another target could still answer in time.
        """
        if not self._may_repeat_after(call):
            return await run
        work = await curio.spawn(run)
        try:
            while True:
                async with curio.ignore_after(LOOK_INTERVAL):
                    await work.wait()
                if work.terminated:
                    break
                if lost() and not call.is_flowing(monotonic(), LOOK_INTERVAL):
                    return MayHaveRun("lost")
        finally:
            await work.cancel()
        if work.exception is not None:
            raise work.exception
        return work.result

    def _patience(self, call: Call, delay: float) -> float:
        """Return how long the head of an answer is waited for."""
        if self._may_repeat_after(call):
            patience = PATIENCE + PATIENCE_BY_DELAY * delay
            return max(0.2, min(patience, PATIENCE_SHARE * call.left))
        return max(0.05, call.left)

    def _stall(self, call: Call) -> float:
        """Return how long the next piece of an answer is waited for."""
        if call.route.resumable and self._may_repeat_after(call):
            return RESUME_STALL
        return max(0.05, call.left)

    def _note(self, call: Call, outcome: str) -> None:
        """Write the one line that tells a request's story on this host."""
        self._metrics.incr(f"outcome.{outcome}")
        now = monotonic()
        first = call.first_event_at - call.arrived if call.first_event_at else None
        _log.info(
            "request",
            request=call.head.request_id,
            route=call.route.name,
            outcome=outcome,
            forwarded=call.forwarded,
            sends=call.sends,
            tries=call.notes,
            seconds=round(now - call.arrived, 3),
            first_event=round(first, 3) if first is not None else None,
            gap=round(call.longest_gap, 3),
            left=round(call.left, 3),
            list_age=round(now - self._follower.targets_read_at, 2),
        )


def _result_of(outcome: TryOutcome) -> TryResult:
    match outcome:
        case Answered(status=status):
            return TryResult.failed if status >= 500 else TryResult.answered
        case NotRun(by_target=True):
            return TryResult.refused_by_target
        case NotRun():
            return TryResult.failed
        case MayHaveRun(timed_out=True):
            return TryResult.timeout
        case MayHaveRun():
            return TryResult.cut


def _nothing() -> None:
    """Take no measure of what other regions do."""
