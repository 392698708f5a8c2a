"""Handles one request from its arrival to its final answer."""

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import Disconnected, Exchange
from bronzepoint_common.logs import get_logger
from bronzepoint_node.forwarded_runs import ForwardedRuns, ForwardedSend
from bronzepoint_node.placement import (
    LocalPlacement,
    Rejected,
    RejectReason,
    RemotePlacement,
)
from bronzepoint_node.quarantine import Blocked, Quarantine, SuspicionLevel, TrialEnd
from bronzepoint_node.retries import RetryBudget

from ._answer_writer import AnswerWriter
from ._authenticator import Authenticator
from ._call import Answered, Call, MayHaveRun, NotRun, Progress, TryOutcome
from ._handover import Handover
from ._host_headers import SEND_HEADER
from ._placement_search import PlacementSearch
from ._request_intake import RequestIntake
from ._resume_check import ResumeCheck
from ._resumption import ResumptionCheck
from ._sender import Sender

WAIT_SHARE = 0.5
"""Maximum part of the route's objective for which a request may wait here for free
capacity."""
MAX_SENDS = 4
"""Maximum sends of a request whose tries all ended with proof that it did not run."""
STREAM_GRACE = 0.2
"""Seconds that a stream which has begun may continue after the request's deadline."""

_log = get_logger("relay")


class Relay:
    """Serves requests of callers, and those that other regions forward.

    Args:
        request_intake: Reads new requests, and refuses those that can't be served.
        authenticator: Checks whether a waiting request is still admitted.
        search: Finds the place that a request is sent to.
        resumption: Decides where a resumed stream may go on.
        retry_budget: Limit on the rate of retries.
        quarantine: Decides which requests are blocked, or need a trial.
        handover: Finds places that take over from runs that have ended.
        sender: Sends requests to targets and other regions.
        answer_writer: Sends final answers.
        forwarded_runs: Tells forwarding hosts of the progress of their requests.
        resume_check: Tells whether the known targets are from before a pause.

    Attributes:
        in_progress: Number of requests in progress.
    """

    def __init__(
        self,
        request_intake: RequestIntake,
        authenticator: Authenticator,
        search: PlacementSearch,
        resumption: ResumptionCheck,
        retry_budget: RetryBudget,
        quarantine: Quarantine,
        handover: Handover,
        sender: Sender,
        answer_writer: AnswerWriter,
        forwarded_runs: ForwardedRuns,
        resume_check: ResumeCheck,
    ) -> None:
        self._request_intake = request_intake
        self._authenticator = authenticator
        self._search = search
        self._resumption = resumption
        self._retry_budget = retry_budget
        self._quarantine = quarantine
        self._handover = handover
        self._sender = sender
        self._answer_writer = answer_writer
        self._forwarded_runs = forwarded_runs
        self._resume_check = resume_check
        self.in_progress = 0

    async def serve(self, exchange: Exchange) -> None:
        """Serve a request of a caller."""
        await self._serve(exchange, forwarded=False)

    async def serve_forwarded(self, exchange: Exchange) -> None:
        """Serve a request forwarded by an entry host of another region."""
        send = ForwardedSend.parse(exchange.request.headers.get(SEND_HEADER, ""))
        if send is not None:
            # The forwarding host may ask before the request has been read.
            self._forwarded_runs.begin_received(send, lambda: 0)
        try:
            await self._serve(exchange, forwarded=True)
        finally:
            if send is not None:
                self._forwarded_runs.end_received(send)

    async def _serve(self, exchange: Exchange, forwarded: bool) -> None:
        call = await self._request_intake.receive(exchange, forwarded)
        if call is None:
            return
        if call.send is not None:
            self._forwarded_runs.begin_received(call.send, lambda: call.sent_events)
        try:
            await self._serve_until_disconnect(call)
        finally:
            self._request_intake.refund(call)
            now = monotonic()
            if call.forwarded and call.may_still_arrive(now):
                # The forwarding host may have sent it elsewhere since.
                self._retry_budget.charge(call.service, call.deliveries, now)

    async def _serve_until_disconnect(self, call: Call) -> None:
        """Process a request until it is answered or its caller disconnects.

        Work for a caller that has disconnected would take targets' capacity from
        waiting requests, and show as targets that are busy without useful output.
        """
        self.in_progress += 1
        work = await curio.spawn(self._serve_before_deadline, call)
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
                self._answer_writer.log_outcome(call, "caller_left")
                raise Disconnected("the caller closed its connection")
            case exc:
                _log.error(
                    "answer failed",
                    request=call.head.request_id,
                    reason=repr(exc),
                    tries=call.notes,
                )
                raise exc

    async def _serve_before_deadline(self, call: Call) -> None:
        work = await curio.spawn(self._process, call)
        try:
            async with curio.ignore_after(max(0.0, call.time_left)) as limit:
                await work.wait()
            if limit.expired and call.exchange.started:
                async with curio.ignore_after(STREAM_GRACE):
                    await work.wait()
        finally:
            await work.cancel()
        if work.exception is not None and not call.exchange.ended and not limit.expired:
            raise work.exception
        if not limit.expired or call.exchange.ended or call.exchange.aborted:
            return
        await self._answer_writer.answer_late(call)

    async def _process(self, call: Call) -> None:
        refusal = await self._resumption.check(call)
        if refusal is not None:
            await self._answer_writer.reject(call, refusal)
            return
        service = call.service
        call.identify_parts()
        if not call.forwarded:
            self._retry_budget.note_request(service, monotonic())
        waited_until = monotonic() + WAIT_SHARE * call.route.objective
        while True:
            admission = await self._quarantine.admit(
                call.fingerprints, waited_until, call.has_permit
            )
            if isinstance(admission, Blocked):
                if admission.cause:
                    call.notes.append(f"held back: {admission.cause}")
                await self._answer_writer.refuse_blocked(call, admission.retry_after)
                return
            call.suspect = admission.suspect
            call.has_permit = admission.by_permit
            before = call.progress()
            try:
                if await self._try_once(call, service, waited_until):
                    return
            finally:
                if call.suspect and not admission.beside_trial:
                    end = _trial_end(call, before)
                    self._quarantine.end_trial(call.fingerprints, end)
                # A permit is valid for one try: a second one may crash another target.
                call.has_permit = False

    async def _try_once(self, call: Call, service: str, until: float) -> bool:
        """Place a request and send it there; False: place it again."""
        successor, call.successor = call.successor, None
        if successor is not None:
            return await self._send(call, successor.placement, service)
        await self._resume_check.wait(call.time_left)
        refusal = await self._resumption.check(call)
        if refusal is not None:
            await self._answer_writer.reject(call, refusal)
            return True
        placement = await self._search.find(call, until)
        if isinstance(placement, Rejected):
            call.notes.append(self._search.describe_capacity(call))
            await self._answer_writer.reject(call, placement)
            return True
        if self._resumption.is_outdated(call):
            # What was found while it was queued may have another version.
            return False
        organisation = call.organisation
        if not self._authenticator.still_admits(call):
            await self._answer_writer.reject(
                call, Rejected(RejectReason.UNAUTHENTICATED, 0)
            )
            return True
        if call.organisation != organisation:
            # The new organisation may be restricted to other regions.
            return False
        if not call.suspect and self._is_suspect(call):
            # The request became a suspect while it was queued.
            return False
        if call.arrivals:
            now = monotonic()
            if not self._retry_budget.take(service, call.deliveries, now):
                call.notes.append(
                    f"not retried: {self._retry_budget.describe(service, now)}"
                )
                await self._answer_writer.give_up(call, call.last_outcome)
                return True
            call.retries += 1
        return await self._send(call, placement, service)

    async def _send(
        self, call: Call, placement: LocalPlacement | RemotePlacement, service: str
    ) -> bool:
        """Send a request to its placement; False: place it again."""
        outcome = await self._sender.send(call, placement, service)
        call.last_outcome = outcome
        return await self._finish(call, outcome)

    def _is_suspect(self, call: Call) -> bool:
        return self._quarantine.standing(call.fingerprints) is not SuspicionLevel.CLEAR

    async def _finish(self, call: Call, outcome: TryOutcome) -> bool:
        """Answer the caller if the outcome is final; False: try again."""
        match outcome:
            case Answered(streamed=True):
                self._answer_writer.log_outcome(call, "answered")
                return True
            case Answered() if call.exchange.started:
                # The caller has received part of a stream. Only its continuation may
                # follow, not another answer.
                if call.may_repeat:
                    return False
            case Answered(status=status, headers=headers, body=body):
                if status >= 500 and call.may_repeat:
                    return False
                self._answer_writer.log_outcome(call, f"answered_{status}")
                await call.exchange.respond(status, call.answer_headers(headers), body)
                return True
            case NotRun(reason="held", retry_after=retry_after):
                await self._answer_writer.refuse_blocked(call, retry_after)
                return True
            case NotRun():
                if call.sends < MAX_SENDS:
                    return False
            case MayHaveRun():
                is_held = call.successor is not None or call.may_repeat
                if is_held or await self._goes_on_here(call):
                    return False
        await self._answer_writer.give_up(call, outcome)
        return True

    async def _goes_on_here(self, call: Call) -> bool:
        """Return whether a forwarded request can go on at another target of the region.

        The forwarding host would have to find another host of this region, or another
        region, although this host knows a target.
        """
        if not call.forwarded:
            return False
        successor = await self._handover.find(call, running=False)
        return successor is not None and self._handover.claim(call, successor)


def _trial_end(call: Call, before: Progress) -> TrialEnd:
    """Return how the trial of a suspect request ended."""
    now = call.progress()
    if not call.has_permit:
        return TrialEnd.USED
    if now.sends == before.sends:
        return TrialEnd.NOT_SENT
    # An interrupted try may have sent a part of the request, and a host that the
    # request was forwarded to may have sent it to a target.
    if call.written or now.runs > before.runs or now.hosts > before.hosts:
        return TrialEnd.USED
    if now.arrivals > before.arrivals:
        return TrialEnd.TURNED_AWAY
    return TrialEnd.NOT_SENT
