"""Calls of entries: checked, placed, answered."""

from collections import Counter

import curio

from bronzepoint_common.http import Disconnected, Exchange, Request
from bronzepoint_common.tokens import Caller
from bronzepoint_node.entry._authentication import require_caller
from bronzepoint_node.entry._call import Call, call_of, check_route
from bronzepoint_node.entry._collaborators import Collaborators
from bronzepoint_node.entry._dispatch import (
    Dispatcher,
    refused_after,
    refused_by_policy,
    residency_refused,
)
from bronzepoint_node.entry._forward_context import (
    FORWARD_HEADER,
    ForwardContext,
    check_no_loop,
    decode_context,
)
from bronzepoint_node.entry._forwarding import Forwarding
from bronzepoint_node.entry._identity import Identity
from bronzepoint_node.entry._once import RunOnceCalls
from bronzepoint_node.entry._outcomes import Answered, Failed, Outcome
from bronzepoint_node.entry._refusals import RequestRefused, refused
from bronzepoint_node.entry._residency import allows
from bronzepoint_node.entry._route import ChatRoute, ServiceRoute
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_node.entry._trace import RequestTrace
from bronzepoint_node.entry._upstream import Upstream
from bronzepoint_node.policy import Refused, RequestView, Ticket
from bronzepoint_schema.generated.catalogue import ModelEntry, ServiceEntry
from bronzepoint_schema.generated.decisions import (
    Ran,
    RefusalKind,
    RetryReason,
    TryResult,
)
from bronzepoint_schema.ids import EntryName

RETRY_NOT_READY = 1.0
RETRY_REGION = 5.0


class Calls:
    """Serves calls of models and plain services.

    Args:
        identity: This host.
        parts: The other parts of the daemon.

    Attributes:
        in_progress: Calls in progress by entry.
    """

    def __init__(self, identity: Identity, parts: Collaborators) -> None:
        self._identity = identity
        self._parts = parts
        upstream = Upstream(parts.client)
        self._forwarding = Forwarding(
            identity, parts.membership, parts.decisions, upstream
        )
        self._dispatcher = Dispatcher(identity, parts, upstream, self._forwarding)
        self._once = RunOnceCalls(identity, parts, self._dispatcher)
        self.in_progress: Counter[EntryName] = Counter()

    async def serve(
        self,
        exchange: Exchange,
        route: ChatRoute | ServiceRoute,
        context: ForwardContext | None,
        trace: RequestTrace,
    ) -> None:
        """Serve one call.

        Raises:
            RequestRefused: It was not answered.
            Disconnected: The caller left.
        """
        request = await self._read(exchange, route, context, trace)
        self.in_progress[request.entry.name] += 1
        try:
            await self._serve(request)
        finally:
            self.in_progress[request.entry.name] -= 1

    def context_of(self, request: Request) -> ForwardContext | None:
        """Return what the forwarding host says; None: it comes from its caller.

        Raises:
            RequestRefused: No host of the system made it, or it has been here before.
        """
        text = request.headers.get(FORWARD_HEADER.lower())
        if text is None:
            return None
        context = decode_context(text, self._identity.key)
        check_no_loop(context, self._identity.host, self._identity.region)
        return context

    async def _read(
        self,
        exchange: Exchange,
        route: ChatRoute | ServiceRoute,
        context: ForwardContext | None,
        trace: RequestTrace,
    ) -> ServedRequest:
        if context is not None:
            caller = context.caller
            trace.record.forwarded_from = context.visited[-1].host
            trace.first_attempt = context.claimed
        else:
            caller = require_caller(self._parts.tokens, exchange.request)
        record = trace.record
        record.caller, record.owner, record.home = (
            caller.name,
            caller.owner,
            caller.home,
        )
        call = call_of(route, exchange.request, await exchange.body())
        if context is not None and context.digest != call.digest():
            raise refused(
                RefusalKind.unauthenticated,
                f"Header {FORWARD_HEADER} belongs to another request.",
                "Leave it out as a caller.",
            )
        return self._check(exchange, call, caller, route, context, trace)

    def _check(
        self,
        exchange: Exchange,
        call: Call,
        caller: Caller,
        route: ChatRoute | ServiceRoute,
        context: ForwardContext | None,
        trace: RequestTrace,
    ) -> ServedRequest:
        record = trace.record
        record.entry = call.entry
        record.revision = self._parts.catalogue.revision
        entry = self._entry(call, route, context)
        check_route(call, entry)
        record.idempotent = trace.idempotent = call.idempotent
        if entry.owners_allowed and caller.owner not in entry.owners_allowed:
            raise refused(
                RefusalKind.forbidden,
                f"Entry {entry.name!r} is not open to owner {caller.owner!r}.",
                "Ask the entry's owner to add it to owners_allowed.",
            )
        if not call.idempotent and not call.key:
            trace.first_attempt = True
            raise refused(
                RefusalKind.key_missing,
                f"{call.method} {call.path[:200]} is not idempotent.",
                "Send an Idempotency-Key header with a new UUIDv7 for each new "
                "request, and the same one for a resend.",
            )
        deadline = call.deadline or entry.deadline
        if context is not None:
            deadline = context.deadline_left
        view = self._view(call, caller, entry, context, trace)
        request = ServedRequest(
            exchange, call, caller, entry, view, trace, deadline, context
        )
        view.allowed_regions = request.allowed_by(entry)
        view.deadline_left = deadline
        region = self._identity.region
        if view.allowed_regions == [] or (
            view.forwarded and not allows(view.allowed_regions, region)
        ):
            raise residency_refused(request, region)
        return request

    def _entry(
        self,
        call: Call,
        route: ChatRoute | ServiceRoute,
        context: ForwardContext | None,
    ) -> ModelEntry | ServiceEntry:
        catalogue = self._parts.catalogue
        if not catalogue.ready:
            raise refused(
                RefusalKind.not_ready,
                "This host has not learned the catalogue yet.",
                "Use another host of GET /v1/hosts, or come back.",
                RETRY_NOT_READY,
            )
        entry = catalogue.entry(call.entry)
        wanted = ModelEntry if isinstance(route, ChatRoute) else ServiceEntry
        if isinstance(entry, wanted):
            return entry
        if context is not None and context.revision > catalogue.revision:
            raise refused(
                RefusalKind.not_ready,
                f"This host has not learned revision {context.revision} yet.",
                "Come back in a moment.",
                RETRY_NOT_READY,
            )
        raise refused(
            RefusalKind.unknown_entry,
            f"There is no {wanted.__struct_config__.tag} entry {call.entry[:100]!r}.",
            "Use a name that the catalogue has; operators see them with "
            "'bronzepoint catalogue list'.",
        )

    def _view(
        self,
        call: Call,
        caller: Caller,
        entry: ModelEntry | ServiceEntry,
        context: ForwardContext | None,
        trace: RequestTrace,
    ) -> RequestView:
        owner = self._parts.catalogue.owner(caller.owner)
        visited = [] if context is None else context.visited
        return RequestView(
            request_id=trace.request_id,
            entry=entry.name,
            owner=caller.owner,
            home=caller.home,
            entry_class=entry.entry_class,
            share=1.0 if owner is None else owner.share,
            worth=entry.worth if call.worth is None else call.worth,
            latency_weight=entry.weights.latency,
            cost_weight=entry.weights.cost,
            prompt_tokens=call.prompt_tokens,
            max_tokens=call.max_tokens,
            prefix_hashes=call.prefix_hashes,
            idempotent=call.idempotent,
            forwarded=context is not None and context.final,
            tried_regions=[visit.region for visit in visited],
        )

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
        match working.result:
            case Answered(status):
                request.trace.answered(status)
            case Exception() as exc:
                raise exc

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
        request.trace.answered(answered.status)
        await request.exchange.respond(answered.status, answered.headers, answered.body)


def _no_check() -> None:
    return
