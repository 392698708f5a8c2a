"""Serves calls to catalogue entries, from parsing to the response."""

from collections import Counter

import curio

from bronzepoint_common.http import Disconnected
from bronzepoint_node.entry._call_reader import CallReader, IncomingCall
from bronzepoint_node.entry._catalogue_check import CatalogueCheck
from bronzepoint_node.entry._dependencies import Dependencies
from bronzepoint_node.entry._dispatch import Dispatcher
from bronzepoint_node.entry._dispatch_refusals import (
    RETRY_REGION,
    refused_after_failure,
    refused_by_policy,
)
from bronzepoint_node.entry._forwarding import Forwarding
from bronzepoint_node.entry._identity import Identity
from bronzepoint_node.entry._local_tries import LocalTries
from bronzepoint_node.entry._outcomes import Answered, Failed, Outcome
from bronzepoint_node.entry._records import DecisionRecorder
from bronzepoint_node.entry._refusals import RequestRefused, refused
from bronzepoint_node.entry._remote_tries import RemoteTries
from bronzepoint_node.entry._run_once_calls import RunOnceCalls
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_node.entry._upstream import Upstream
from bronzepoint_node.policy import Refused, Ticket
from bronzepoint_schema.generated.decisions import (
    Ran,
    RefusalKind,
    RetryReason,
    TryResult,
)
from bronzepoint_schema.ids import EntryName


class CallHandler:
    """Serves calls to models and plain services.

    Args:
        identity: This host.
        dependencies: The other components of the daemon.
        recorder: Stores the decision records.

    Attributes:
        in_progress: Number of calls in progress for each entry.
    """

    def __init__(
        self,
        identity: Identity,
        dependencies: Dependencies,
        recorder: DecisionRecorder,
    ) -> None:
        self._identity = identity
        self._dependencies = dependencies
        self._recorder = recorder
        self._reader = CallReader(identity, dependencies.catalogue, dependencies.tokens)
        check = CatalogueCheck(dependencies.catalogue)
        upstream = Upstream(dependencies.client)
        self._forwarding = Forwarding(
            identity,
            dependencies.membership,
            dependencies.decisions,
            upstream,
            recorder,
        )
        self._dispatcher = Dispatcher(
            dependencies,
            check,
            LocalTries(identity, dependencies, check, upstream, recorder),
            RemoteTries(dependencies, check, self._forwarding),
        )
        self._run_once_calls = RunOnceCalls(identity, dependencies, self._dispatcher)
        self.in_progress: Counter[EntryName] = Counter()

    async def serve(self, incoming: IncomingCall) -> None:
        """Serve one call.

        Raises:
            RequestRefused: The call was refused.
            Disconnected: The caller closed the connection.
        """
        request = await self._reader.read(incoming)
        self.in_progress[request.entry.name] += 1
        try:
            await self._serve(request)
        finally:
            self.in_progress[request.entry.name] -= 1

    async def _serve(self, request: ServedRequest) -> None:
        call = request.call
        if call.idempotent:
            await self._serve_until_disconnect(request)
        elif request.context is not None and request.context.claimed:
            await self._respond(request, await self._serve_within_limits(request, None))
        elif request.caller.home != self._identity.region:
            await self._respond(request, await self._forward_to_home_region(request))
        else:
            await self._respond(
                request, await self._serve_within_limits(request, self._run_once_calls)
            )

    async def _serve_until_disconnect(self, request: ServedRequest) -> None:
        """Serve an idempotent call, and cancel it once the caller disconnects.

        A disconnect isn't detected by a failing write while nothing is written to the
        caller. The target would run the request to its end and hold a slot that other
        requests are waiting for.
        """

        async def work() -> Answered | Exception:
            # The exception is returned, since curio logs every task that raises one.
            try:
                return await self._serve_within_limits(request, None)
            except Exception as exc:
                return exc

        async with curio.TaskGroup(wait=any) as group:
            working = await group.spawn(work)
            await group.spawn(request.exchange.wait_disconnect)
        if group.completed is not working:
            raise Disconnected("the caller disconnected before the answer was complete")
        if isinstance(working.result, Exception):
            raise working.result

    async def _serve_within_limits(
        self, request: ServedRequest, run_once_calls: RunOnceCalls | None
    ) -> Answered:
        """Serve a call if its limits admit it."""
        admission = await self._dependencies.policy.enter(request.view)
        match admission:
            case Refused():
                request.trace.record_placement(admission)
                raise refused_by_policy(admission)
            case Ticket():
                return await self._run_with_ticket(request, admission, run_once_calls)

    async def _run_with_ticket(
        self,
        request: ServedRequest,
        ticket: Ticket,
        run_once_calls: RunOnceCalls | None,
    ) -> Answered:
        answered: Answered | None = None
        try:
            if run_once_calls is None:
                answered = await self._dispatcher.run(request, ticket, None)
            else:
                answered = await run_once_calls.serve(request, ticket)
            return answered
        finally:
            tokens = 0 if answered is None else answered.tokens
            await self._dependencies.policy.leave(ticket, answered is not None, tokens)

    async def _forward_to_home_region(self, request: ServedRequest) -> Answered:
        """Forward a non-idempotent call to the caller's home region.

        The run-once record of a key is stored by hosts of one region only, so that it
        doesn't depend on other regions. If two regions each stored one, the same key
        could run twice.
        """
        home = request.caller.home
        visited = [] if request.context is None else request.context.visited
        outcome: Outcome = Failed(
            TryResult.not_sent, f"region {home} has already handled the request"
        )
        if all(visit.region != home for visit in visited):
            outcome = await self._forwarding.forward(
                request,
                home,
                self._dependencies.catalogue.revision,
                _no_check,
                final=False,
                claimed=False,
            )
        if isinstance(outcome, Answered):
            return outcome
        if outcome.refusal is not None:
            # The home region knows about earlier attempts, so its refusal decides
            # whether the request may have run.
            request.trace.first_attempt = True
            request.trace.may_have_run = outcome.refusal.ran is not Ran.no
            raise RequestRefused(outcome.refusal)
        if outcome.reason is not RetryReason.connect_failed:
            raise refused_after_failure(outcome)
        raise refused(
            RefusalKind.region_unreachable,
            f"Region {home}, which keeps this caller's records, can't be reached: "
            f"{outcome.detail}.",
            f"Send it with the same key to a host of {home}, or here again later.",
            RETRY_REGION,
        )

    async def _respond(self, request: ServedRequest, answered: Answered) -> None:
        """Send a response that was buffered until it was complete."""
        await self._recorder.save_answered(request.trace, answered.status)
        await request.exchange.respond(answered.status, answered.headers, answered.body)


def _no_check() -> None:
    return
