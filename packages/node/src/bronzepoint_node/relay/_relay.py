"""The life of one request: read, placed, tried, answered."""

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import Disconnected, Exchange
from bronzepoint_common.logs import get_logger
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
from bronzepoint_node.quarantine import Held, Quarantine, Standing, TrialEnd

from ._call import Answered, Call, MayHaveRun, NotRun, Progress, TryOutcome
from ._final_answers import FinalAnswers
from ._gate import Gate
from ._reception import Reception
from ._sender import Sender

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
        reception: Reads requests, and turns away what may not be served.
        gate: Tells whether a request may still be served.
        placer: Chooses between the regions.
        homes: Finds targets of the own region.
        allowance: How often requests may be sent again.
        quarantine: Which requests are held back, or tried apart from others.
        sender: Sends them there.
        answers: Gives final answers.

    Attributes:
        in_progress: Requests that are worked on.
    """

    def __init__(
        self,
        reception: Reception,
        gate: Gate,
        placer: Placer,
        homes: SchedulerClient,
        allowance: RetryAllowance,
        quarantine: Quarantine,
        sender: Sender,
        answers: FinalAnswers,
    ) -> None:
        self._reception = reception
        self._gate = gate
        self._placer = placer
        self._homes = homes
        self._allowance = allowance
        self._quarantine = quarantine
        self._sender = sender
        self._answers = answers
        self.in_progress = 0

    async def serve(self, exchange: Exchange) -> None:
        """Answer a caller."""
        await self._serve(exchange, forwarded=False)

    async def serve_forwarded(self, exchange: Exchange) -> None:
        """Answer an entry host of another region."""
        await self._serve(exchange, forwarded=True)

    async def _serve(self, exchange: Exchange, forwarded: bool) -> None:
        call = await self._reception.receive(exchange, forwarded)
        if call is None:
            return
        try:
            await self._answer_while_wanted(call)
        finally:
            self._reception.release(call)

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
            before = call.progress()
            try:
                if await self._try_once(call, service, waited_until):
                    return
            finally:
                if call.suspect:
                    end = _trial_end(call, before)
                    self._quarantine.end_trial(call.names, end)
                # A permit is for one try: another one may crash another target.
                call.has_permit = False

    async def _try_once(self, call: Call, service: str, until: float) -> bool:
        """Place a request and send it there; False: it is to be tried again."""
        placement = await self._find_place(call, until)
        if isinstance(placement, Rejected):
            call.notes.append(self._placer.known_room(self._ask(call), monotonic()))
            await self._answers.reject(call, placement)
            return True
        asking = call.organisation
        if not self._gate.still_admits(call):
            await self._answers.reject(call, Rejected(RejectReason.UNAUTHENTICATED, 0))
            return True
        if call.organisation != asking:
            # Its homes may be others now.
            return False
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
            call.looks += 1
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
        return not placement.final

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
            call.organisation,
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


def _trial_end(call: Call, before: Progress) -> TrialEnd:
    """Return how far the try of a suspect got."""
    now = call.progress()
    if not call.has_permit:
        return TrialEnd.USED
    if now.sends == before.sends:
        return TrialEnd.NOT_SENT
    # A byte has left of a try that was broken off, and another host may have sent it.
    if call.written or now.runs > before.runs or now.hosts > before.hosts:
        return TrialEnd.USED
    if now.arrivals > before.arrivals:
        return TrialEnd.TURNED_AWAY
    return TrialEnd.NOT_SENT
