"""Calls of entries: read, placed, answered."""

from collections import Counter

import curio

from bronzepoint_common.http import Disconnected
from bronzepoint_node.entry._away_tries import AwayTries
from bronzepoint_node.entry._catalogue_check import CatalogueCheck
from bronzepoint_node.entry._collaborators import Collaborators
from bronzepoint_node.entry._dispatch import Dispatcher
from bronzepoint_node.entry._dispatch_refusals import (
    RETRY_REGION,
    refused_after,
    refused_by_policy,
)
from bronzepoint_node.entry._forwarding import Forwarding
from bronzepoint_node.entry._home_tries import HomeTries
from bronzepoint_node.entry._identity import Identity
from bronzepoint_node.entry._once import RunOnceCalls
from bronzepoint_node.entry._outcomes import Answered, Failed, Outcome
from bronzepoint_node.entry._reading import CallReader, Incoming
from bronzepoint_node.entry._records import Records
from bronzepoint_node.entry._refusals import RequestRefused, refused
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


class Calls:
    """Serves calls of models and plain services.

    Args:
        identity: This host.
        parts: The other parts of the daemon.
        records: Keeps the decision records.

    Attributes:
        in_progress: Calls in progress by entry.
    """

    def __init__(
        self, identity: Identity, parts: Collaborators, records: Records
    ) -> None:
        self._identity = identity
        self._parts = parts
        self._records = records
        self._reader = CallReader(identity, parts.catalogue, parts.tokens)
        check = CatalogueCheck(parts.catalogue)
        upstream = Upstream(parts.client)
        self._forwarding = Forwarding(
            identity, parts.membership, parts.decisions, upstream, records
        )
        self._dispatcher = Dispatcher(
            parts,
            check,
            HomeTries(identity, parts, check, upstream, records),
            AwayTries(parts, check, self._forwarding),
        )
        self._once = RunOnceCalls(identity, parts, self._dispatcher)
        self.in_progress: Counter[EntryName] = Counter()

    async def serve(self, incoming: Incoming) -> None:
        """Serve one call.

        Raises:
            RequestRefused: It was not answered.
            Disconnected: The caller left.
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
            await self._serve_watched(request)
        elif request.context is not None and request.context.claimed:
            await self._respond(request, await self._limited(request, None))
        elif request.caller.home != self._identity.region:
            await self._respond(request, await self._at_home(request))
        else:
            await self._respond(request, await self._limited(request, self._once))

    async def _serve_watched(self, request: ServedRequest) -> None:
        """Serve an idempotent call, and stop working on it once its caller leaves.

        A caller that leaves while nothing is written to it isn't noticed by a write.
        The target would work on to the end, and hold a slot that others wait for.
        """

        async def work() -> Answered | Exception:
            # Returned, not raised: curio logs each task that ends by an exception.
            try:
                return await self._limited(request, None)
            except Exception as exc:
                return exc

        async with curio.TaskGroup(wait=any) as group:
            working = await group.spawn(work)
            await group.spawn(request.exchange.wait_disconnect)
        if group.completed is not working:
            raise Disconnected("it closed the connection before its answer was whole")
        if isinstance(working.result, Exception):
            raise working.result

    async def _limited(
        self, request: ServedRequest, once: RunOnceCalls | None
    ) -> Answered:
        """Serve a call within its limits."""
        entered = await self._parts.policy.enter(request.view)
        match entered:
            case Refused():
                request.trace.placed(entered)
                raise refused_by_policy(entered)
            case Ticket():
                return await self._with_ticket(request, entered, once)

    async def _with_ticket(
        self, request: ServedRequest, ticket: Ticket, once: RunOnceCalls | None
    ) -> Answered:
        answered: Answered | None = None
        try:
            if once is None:
                answered = await self._dispatcher.run(request, ticket, None)
            else:
                answered = await once.serve(request, ticket)
            return answered
        finally:
            tokens = 0 if answered is None else answered.tokens
            await self._parts.policy.leave(ticket, answered is not None, tokens)

    async def _at_home(self, request: ServedRequest) -> Answered:
        """Send a non-idempotent call to its caller's home region, for its record.

        The record of a key is kept by hosts of one region, so that it works without
        the others; two regions that each kept one could run the same key twice.
        """
        home = request.caller.home
        visited = [] if request.context is None else request.context.visited
        outcome: Outcome = Failed(
            TryResult.not_sent, f"region {home} has handled it already"
        )
        if all(visit.region != home for visit in visited):
            outcome = await self._forwarding.forward(
                request,
                home,
                self._parts.catalogue.revision,
                _no_check,
                final=False,
                claimed=False,
            )
        if isinstance(outcome, Answered):
            return outcome
        if outcome.refusal is not None:
            # The home region knows of earlier attempts; what it says of them stands.
            request.trace.first_attempt = True
            request.trace.may_have_run = outcome.refusal.ran is not Ran.no
            raise RequestRefused(outcome.refusal)
        if outcome.reason is not RetryReason.connect_failed:
            raise refused_after(outcome)
        raise refused(
            RefusalKind.region_unreachable,
            f"Region {home}, which keeps this caller's records, can't be reached: "
            f"{outcome.detail}.",
            f"Send it with the same key to a host of {home}, or here again later.",
            RETRY_REGION,
        )

    async def _respond(self, request: ServedRequest, answered: Answered) -> None:
        """Send an answer that was held until it was whole."""
        await self._records.answered(request.trace, answered.status)
        await request.exchange.respond(answered.status, answered.headers, answered.body)


def _no_check() -> None:
    return
