"""What callers may ask besides their calls: hosts, reasons, health."""

import msgspec

from bronzepoint_common.http import Exchange
from bronzepoint_common.tokens import Caller, Operator
from bronzepoint_node.decisions import (
    BadRequestId,
    RecordNotFound,
    RecordUnreachable,
    WhyError,
)
from bronzepoint_node.entry._authentication import require_anyone
from bronzepoint_node.entry._collaborators import CatalogueLike, Collaborators
from bronzepoint_node.entry._identity import Identity
from bronzepoint_node.entry._refusals import RequestRefused, refused
from bronzepoint_node.entry._route import HealthRoute, HostsRoute, WhyRoute
from bronzepoint_schema.generated.admin import StatusAnswer
from bronzepoint_schema.generated.decisions import RefusalKind, WhyAnswer
from bronzepoint_schema.ids import RequestId

JSON_HEADERS = {"Content-Type": "application/json"}


class Information:
    """Answers what is asked about the system.

    Args:
        identity: This host.
        parts: The other parts of the daemon.
    """

    def __init__(self, identity: Identity, parts: Collaborators) -> None:
        self._identity = identity
        self._parts = parts

    async def serve(
        self,
        exchange: Exchange,
        route: HostsRoute | WhyRoute | HealthRoute,
        state: str,
    ) -> None:
        """Answer one question.

        Args:
            exchange: The exchange.
            route: What is asked.
            state: Whether this host serves or drains.
        """
        match route:
            case HealthRoute():
                answer = self._health(state)
            case HostsRoute():
                answer = self._hosts(exchange)
            case WhyRoute(request_id):
                answer = await self._why(exchange, request_id)
        await exchange.respond(200, JSON_HEADERS, msgspec.json.encode(answer))

    def _health(self, state: str) -> StatusAnswer:
        catalogue = self._parts.catalogue
        return StatusAnswer(
            host=self._identity.host,
            region=self._identity.region,
            state=state,
            ready=catalogue.ready,
            revision=catalogue.revision,
            confirmed_age=finite_age(catalogue.confirmed_age()),
            within_bound=is_within_bound(catalogue, self._identity),
        )

    def _hosts(self, exchange: Exchange) -> msgspec.Struct:
        match require_anyone(self._parts.tokens, exchange.request):
            case Caller(home=home):
                return self._parts.directory.hosts_for(home)
            case Operator():
                return self._parts.directory.hosts_for(self._identity.region)

    async def _why(self, exchange: Exchange, request_id: RequestId) -> WhyAnswer:
        holder = require_anyone(self._parts.tokens, exchange.request)
        try:
            answer = await self._parts.decisions.why(request_id)
        except WhyError as exc:
            raise _why_refused(exc) from exc
        if isinstance(holder, Caller) and not _is_open_to(answer, holder):
            # As if there were none: who may not read it shouldn't learn of it.
            raise _why_refused(RecordNotFound(request_id, "none of this caller's"))
        return answer


def _is_open_to(answer: WhyAnswer, caller: Caller) -> bool:
    return all(record.owner in ("", caller.owner) for record in answer.records)


def is_within_bound(catalogue: CatalogueLike, identity: Identity) -> bool:
    """Return whether no change can be in force elsewhere that this host lacks."""
    return catalogue.ready and catalogue.confirmed_age() <= identity.in_force_bound


def finite_age(age: float) -> float:
    """Return an age, -1 where it isn't known; JSON has no infinity."""
    return age if age < float("inf") else -1.0


def _why_refused(exc: WhyError) -> RequestRefused:
    match exc:
        case BadRequestId():
            kind = RefusalKind.bad_request
        case RecordUnreachable():
            kind = RefusalKind.region_unreachable
        case _:
            kind = RefusalKind.not_found
    return refused(kind, exc.message, exc.remedy, exc.retry_after)
