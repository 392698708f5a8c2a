"""The life of one request: read, placed, tried, answered."""

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import BadRequest, Disconnected, Exchange
from bronzepoint_common.logs import get_logger
from bronzepoint_node.fleet import Follower, ServedCatalogue
from bronzepoint_node.placement import (
    NoHome,
    Placement,
    PlacementAsk,
    Placer,
    Rejected,
    RejectReason,
    RetryAllowance,
    SchedulerClient,
    service_of,
)
from bronzepoint_node.quarantine import (
    Held,
    Quarantine,
    RequestNames,
    Standing,
    name_request,
)

from ._call import Answered, Call, MayHaveRun, NotRun, TryOutcome
from ._codec import CallerHead, Codec
from ._events import EventSplitter
from ._final_answers import FinalAnswers
from ._host_headers import (
    FINGERPRINT_HEADER,
    MOST_RUNS_HEADER,
    PERMIT_HEADER,
    RUNS_HEADER,
)
from ._sender import Sender
from ._usual_deadlines import UsualDeadlines

CUT_MARGIN = 0.05
"""Seconds before the caller's own deadline at which its final answer is given."""
DEFAULT_DEADLINE = 30.0
"""Seconds for a caller that doesn't say how long it waits."""
WAIT_STEP = 0.03
"""Seconds between two looks for a catalogue."""
START_WAIT = 1.5
"""Seconds for which a request waits for a catalogue after a start,"""
START_WAIT_SHARE = 0.3
"""but no more than this part of its deadline."""
WAIT_SHARE = 0.5
"""Part of the objective for which a request may wait here for room."""
LOOK_INTERVAL = 0.1
"""Seconds between two looks for room in other regions, where only they may serve it."""
MOST_SENDS = 4
"""Times that a request is sent on where each time it certainly did not run."""
STREAM_OVERTIME = 0.2
"""Seconds past its route's timeout for which a stream that flows may go on."""

_log = get_logger("relay")


class Relay:
    """Answers callers, and entry hosts of other regions.

    Args:
        follower: What is in force.
        placer: Chooses between the regions.
        homes: Finds targets of the own region.
        allowance: How often requests may be sent again.
        quarantine: Which requests are held back, or tried apart from others.
        sender: Sends them there.
        answers: Gives final answers.
        codec: Words of callers and targets.

    Attributes:
        in_progress: Requests that are worked on.
    """

    def __init__(
        self,
        follower: Follower,
        placer: Placer,
        homes: SchedulerClient,
        allowance: RetryAllowance,
        quarantine: Quarantine,
        sender: Sender,
        answers: FinalAnswers,
        codec: Codec,
    ) -> None:
        self._follower = follower
        self._placer = placer
        self._homes = homes
        self._allowance = allowance
        self._quarantine = quarantine
        self._sender = sender
        self._answers = answers
        self._codec = codec
        self._leaving = False
        self._usual = UsualDeadlines()
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
            await self._answers.refuse(exchange, head, RejectReason.NO_CATALOGUE, 0.5)
            return
        body = await exchange.body()
        call = self._call(exchange, head, catalogue, body, arrived, forwarded)
        if call is None:
            await self._answers.say_no_route(exchange, head, catalogue.version)
            return
        if self._leaving:
            await self._answers.refuse(exchange, head, RejectReason.LEAVING, 0.1)
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
        call.spent = self._usual.spent(route, deadline)
        call.names = _names(call)
        if forwarded:
            # The runs of both hosts count together against the route's bound.
            headers = exchange.request.headers
            call.runs = _count(headers.get(RUNS_HEADER, ""))
            call.granted_runs = _count(headers.get(MOST_RUNS_HEADER, ""))
            call.has_permit = PERMIT_HEADER in headers
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
                self._answers.note(call, "caller_left")
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
        if not limit.expired or call.exchange.ended or call.exchange.aborted:
            return
        await self._answers.say_late(call)

    async def _answer(self, call: Call) -> None:
        service = service_of(call.route, call.head.request_id)
        if not call.forwarded:
            self._allowance.note_request(service, monotonic())
        waited_until = monotonic() + WAIT_SHARE * call.route.objective
        while True:
            admission = await self._quarantine.admit(
                call.names, waited_until, call.has_permit
            )
            if isinstance(admission, Held):
                await self._answers.hold(call, admission.retry_after)
                return
            call.suspect = admission.suspect
            call.has_permit = admission.by_permit
            sends = call.sends
            try:
                if await self._try_once(call, service, waited_until):
                    return
            finally:
                # A permit is for one try: another one may crash another target.
                unused = call.has_permit and call.sends == sends
                call.has_permit = False
                if call.suspect:
                    self._quarantine.end_trial(call.names, unused)

    async def _try_once(self, call: Call, service: str, until: float) -> bool:
        """Place a request and send it there; False: it is to be tried again."""
        placement = await self._find_place(call, until)
        if isinstance(placement, Rejected):
            call.notes.append(self._placer.known_room(self._ask(call), monotonic()))
            await self._answers.reject(call, placement)
            return True
        if not call.suspect and self._is_in_doubt(call):
            # Hosts have heard of a crash while it stood in line.
            return False
        if call.arrivals and not self._allowance.take(service, monotonic()):
            await self._answers.give_up(call, call.last_outcome)
            return True
        outcome = await self._sender.send(call, placement, service)
        call.last_outcome = outcome
        return await self._settled(call, outcome)

    def _is_in_doubt(self, call: Call) -> bool:
        return self._quarantine.standing(call.names) is not Standing.CLEAR

    async def _find_place(self, call: Call, until: float) -> Placement:
        """Return a place, or the refusal where there is none by ``until``."""
        wait = 0.0
        while True:
            ask = self._ask(call)
            found = NoHome()
            if self._placer.may_stay(ask):
                found = await self._homes.find(self._placer.home_ask(ask), wait)
            placement = self._placer.decide(ask, found, monotonic())
            wait = until - monotonic()
            if wait <= 0 or not self._waits(call, placement):
                return placement
            if not self._placer.may_stay(ask):
                await curio.sleep(min(wait, LOOK_INTERVAL))

    def _waits(self, call: Call, placement: Placement) -> bool:
        """Tell whether a request may wait here until there is room."""
        if call.forwarded or not isinstance(placement, Rejected):
            return False
        return placement.reason is RejectReason.NO_ROOM

    def _ask(self, call: Call) -> PlacementAsk:
        return PlacementAsk(
            call.head.request_id,
            call.route,
            call.head.prompt,
            call.forwarded,
            call.left,
            call.tried,
            call.tried_hosts,
            call.rank(monotonic()),
            call.arrived,
            len(call.body),
            call.suspect,
        )

    async def _settled(self, call: Call, outcome: TryOutcome) -> bool:
        """Answer the caller if the outcome is final; False: it is tried again."""
        match outcome:
            case Answered(streamed=True):
                self._answers.note(call, "answered")
                return True
            case Answered() if call.exchange.started:
                # A part of a stream was passed on: no other answer can follow it.
                if call.may_repeat:
                    return False
            case Answered(status=status, headers=headers, body=body):
                if status >= 500 and call.may_repeat:
                    return False
                self._answers.note(call, f"answered_{status}")
                await call.exchange.respond(status, call.answer_headers(headers), body)
                return True
            case NotRun(reason="held", retry_after=retry_after):
                await self._answers.hold(call, retry_after)
                return True
            case NotRun():
                if call.sends < MOST_SENDS:
                    return False
            case MayHaveRun():
                if call.may_repeat:
                    return False
        await self._answers.give_up(call, outcome)
        return True


def _names(call: Call) -> RequestNames:
    request = call.exchange.request
    if call.forwarded:
        return RequestNames.parse(request.headers.get(FINGERPRINT_HEADER, ""))
    caller = call.exchange.peer.rpartition(":")[0]
    return name_request(call.head.host, request.raw_path, caller, call.body)


def _count(text: str) -> int:
    return int(text) if text.isdigit() else 0
