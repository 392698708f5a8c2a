"""Parsing of calls, with authentication and authorisation of their callers."""

from msgspec import Struct

from bronzepoint_common.http import Exchange
from bronzepoint_common.tokens import Caller, Tokens
from bronzepoint_node.entry._authentication import require_caller
from bronzepoint_node.entry._call import Call, call_of, check_route
from bronzepoint_node.entry._dependencies import CatalogueLike
from bronzepoint_node.entry._dispatch_refusals import residency_refused
from bronzepoint_node.entry._forward_context import FORWARD_HEADER, ForwardContext
from bronzepoint_node.entry._identity import Identity
from bronzepoint_node.entry._refusals import refused
from bronzepoint_node.entry._residency import allows
from bronzepoint_node.entry._route import ChatRoute, ServiceRoute
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_node.entry._trace import RequestTrace
from bronzepoint_node.policy import RequestView
from bronzepoint_schema.generated.catalogue import ModelEntry, ServiceEntry
from bronzepoint_schema.generated.decisions import RefusalKind

RETRY_NOT_READY = 1.0
"""Seconds after which a host that lacks the catalogue, or the newest revision of it,
may be ready."""


class IncomingCall(Struct):
    """A received call that has not been validated yet.

    Attributes:
        context: Context of a forwarded call; None: it comes from its caller.
    """

    exchange: Exchange
    route: ChatRoute | ServiceRoute
    context: ForwardContext | None
    trace: RequestTrace


class CallReader:
    """Parses and validates calls.

    Args:
        identity: This host.
        catalogue: This host's view of the catalogue.
        tokens: Tokens of the callers.
    """

    def __init__(
        self, identity: Identity, catalogue: CatalogueLike, tokens: Tokens
    ) -> None:
        self._identity = identity
        self._catalogue = catalogue
        self._tokens = tokens

    async def read(self, incoming: IncomingCall) -> ServedRequest:
        """Parse a call and make all checks that need no other host.

        Raises:
            RequestRefused: The call is invalid, or may not be served.
            HttpError: The body can't be read.
        """
        caller = self._identify_caller(incoming)
        exchange = incoming.exchange
        call = call_of(incoming.route, exchange.request, await exchange.body())
        _check_digest(incoming.context, call)
        entry = self._check_entry(incoming, call, caller)
        _check_key(incoming.trace, call)
        return self._build_request(incoming, call, caller, entry)

    def _identify_caller(self, incoming: IncomingCall) -> Caller:
        record, context = incoming.trace.record, incoming.context
        if context is None:
            caller = require_caller(self._tokens, incoming.exchange.request)
        else:
            caller = context.caller
            record.forwarded_from = context.visited[-1].host
            incoming.trace.first_attempt = context.claimed
        record.caller = caller.name
        record.owner = caller.owner
        record.home = caller.home
        return caller

    def _check_entry(
        self, incoming: IncomingCall, call: Call, caller: Caller
    ) -> ModelEntry | ServiceEntry:
        trace = incoming.trace
        trace.record.entry = call.entry
        trace.record.revision = self._catalogue.revision
        entry = self._find_entry(incoming, call)
        check_route(call, entry)
        trace.record.idempotent = trace.idempotent = call.idempotent
        if entry.owners_allowed and caller.owner not in entry.owners_allowed:
            raise refused(
                RefusalKind.forbidden,
                f"Entry {entry.name!r} is not open to owner {caller.owner!r}.",
                "Ask the entry's owner to add it to owners_allowed.",
            )
        return entry

    def _find_entry(
        self, incoming: IncomingCall, call: Call
    ) -> ModelEntry | ServiceEntry:
        catalogue, context = self._catalogue, incoming.context
        if not catalogue.ready:
            raise refused(
                RefusalKind.not_ready,
                "This host has not learned the catalogue yet.",
                "Use another host of GET /v1/hosts, or come back.",
                RETRY_NOT_READY,
            )
        entry = catalogue.entry(call.entry)
        is_chat = isinstance(incoming.route, ChatRoute)
        if isinstance(entry, ModelEntry if is_chat else ServiceEntry):
            return entry
        if context is not None and context.revision > catalogue.revision:
            raise refused(
                RefusalKind.not_ready,
                f"This host has not learned revision {context.revision} yet.",
                "Come back in a moment.",
                RETRY_NOT_READY,
            )
        kind = "model" if is_chat else "service"
        raise refused(
            RefusalKind.unknown_entry,
            f"There is no {kind} entry {call.entry[:100]!r}.",
            "Use a name that the catalogue has; operators see them with "
            "'bronzepoint catalogue list'.",
        )

    def _build_request(
        self,
        incoming: IncomingCall,
        call: Call,
        caller: Caller,
        entry: ModelEntry | ServiceEntry,
    ) -> ServedRequest:
        context, region = incoming.context, self._identity.region
        deadline = call.deadline or entry.deadline
        if context is not None:
            deadline = context.deadline_left
        view = self._request_view(incoming, call, caller, entry)
        request = ServedRequest(
            incoming.exchange,
            call,
            caller,
            entry,
            view,
            incoming.trace,
            deadline,
            context,
        )
        allowed = request.allowed_by(entry)
        if allowed == [] or (view.forwarded and not allows(allowed, region)):
            raise residency_refused(request, region)
        view.allowed_regions = allowed
        view.deadline_left = deadline
        return request

    def _request_view(
        self,
        incoming: IncomingCall,
        call: Call,
        caller: Caller,
        entry: ModelEntry | ServiceEntry,
    ) -> RequestView:
        context = incoming.context
        owner = self._catalogue.owner(caller.owner)
        visited = [] if context is None else context.visited
        return RequestView(
            request_id=incoming.trace.request_id,
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


def _check_digest(context: ForwardContext | None, call: Call) -> None:
    if context is not None and context.digest != call.digest():
        raise refused(
            RefusalKind.unauthenticated,
            f"Header {FORWARD_HEADER} belongs to another request.",
            "Leave it out as a caller.",
        )


def _check_key(trace: RequestTrace, call: Call) -> None:
    if call.idempotent or call.key:
        return
    trace.first_attempt = True
    raise refused(
        RefusalKind.key_missing,
        f"{call.method} {call.path[:200]} is not idempotent.",
        "Send an Idempotency-Key header with a new UUIDv7 for each new request, and "
        "the same one for a resend.",
    )
