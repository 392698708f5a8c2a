"""HTTP endpoints that report hosts, decision records and health."""

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
from bronzepoint_node.entry._dependencies import CatalogueLike, Dependencies
from bronzepoint_node.entry._identity import Identity
from bronzepoint_node.entry._refusals import RequestRefused, refused
from bronzepoint_node.entry._route import HealthRoute, HostsRoute, WhyRoute
from bronzepoint_schema.generated.admin import StatusAnswer
from bronzepoint_schema.generated.decisions import RefusalKind, WhyAnswer
from bronzepoint_schema.ids import RequestId

JSON_HEADERS = {"Content-Type": "application/json"}


class InfoEndpoints:
    """Serves the informational endpoints.

    Args:
        identity: This host.
        dependencies: The other components of the daemon.
    """

    def __init__(self, identity: Identity, dependencies: Dependencies) -> None:
        self._identity = identity
        self._dependencies = dependencies

    async def serve(
        self,
        exchange: Exchange,
        route: HostsRoute | WhyRoute | HealthRoute,
        state: str,
    ) -> None:
        """Answer one request.

        Args:
            exchange: The HTTP exchange.
            route: The endpoint that is requested.
            state: State of this host: live, draining or closed.

        Raises:
            RequestRefused: The sender isn't authenticated, or no record that it may
                read was found.
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
        catalogue = self._dependencies.catalogue
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
        match require_anyone(self._dependencies.tokens, exchange.request):
            case Caller(home=home):
                return self._dependencies.directory.hosts_for(home)
            case Operator():
                return self._dependencies.directory.hosts_for(self._identity.region)

    async def _why(self, exchange: Exchange, request_id: RequestId) -> WhyAnswer:
        sender = require_anyone(self._dependencies.tokens, exchange.request)
        try:
            answer = await self._dependencies.decisions.why(request_id)
        except WhyError as exc:
            raise _why_refused(exc) from exc
        if isinstance(sender, Caller) and not _may_read(answer, sender):
            # The same refusal as for a missing record, so that a caller can't find
            # out that another owner's request exists.
            raise _why_refused(RecordNotFound(request_id, "none for this caller"))
        return answer


def _may_read(answer: WhyAnswer, caller: Caller) -> bool:
    return all(record.owner in ("", caller.owner) for record in answer.records)


def is_within_bound(catalogue: CatalogueLike, identity: Identity) -> bool:
    """Return whether this host has every change that can be in effect elsewhere."""
    return catalogue.ready and catalogue.confirmed_age() <= identity.in_force_bound


def finite_age(age: float) -> float:
    """Return the age, or -1 for an infinite (unknown) one; JSON has no infinity."""
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
