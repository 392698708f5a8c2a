"""HTTP endpoints for operators under ``/v1/admin/``."""

import msgspec

from bronzepoint_common.decoding import Undecodable, decode
from bronzepoint_common.http import Exchange
from bronzepoint_common.tokens import Operator
from bronzepoint_node.agreement import (
    AgreementError,
    Conflict,
    InitialiseRefused,
    NoQuorum,
    NoRoom,
    NotLeader,
    VoterStatus,
)
from bronzepoint_node.catalogue import item_kind
from bronzepoint_node.entry._authentication import require_operator
from bronzepoint_node.entry._dependencies import Dependencies
from bronzepoint_node.entry._identity import Identity
from bronzepoint_node.entry._info_endpoints import (
    JSON_HEADERS,
    finite_age,
    is_within_bound,
)
from bronzepoint_node.entry._refusals import RequestRefused, refused
from bronzepoint_schema.generated.admin import (
    CatalogueAnswer,
    CountersAnswer,
    DrainAnswer,
    HostsAnswer,
    HostStatus,
    ItemAnswer,
    StatusAnswer,
    TargetsAnswer,
    VoterState,
)
from bronzepoint_schema.generated.agreement import Accepted, Change
from bronzepoint_schema.generated.decisions import Ran, RefusalKind
from bronzepoint_schema.ids import HostName

_change_decoder = msgspec.json.Decoder(Change)

PROPOSE_TIMEOUT = 5.0
"""Seconds to wait until a proposed change is accepted."""
RETRY_CHANGE = 1.0
"""Seconds after which an operator may send a refused change again."""


class AdminEndpoints:
    """Serves the endpoints for operators.

    Args:
        identity: This host.
        dependencies: The other components of the daemon.
    """

    def __init__(self, identity: Identity, dependencies: Dependencies) -> None:
        self._identity = identity
        self._dependencies = dependencies

    async def serve(
        self, exchange: Exchange, parts: tuple[str, ...], state: str, in_progress: int
    ) -> None:
        """Answer one request of an operator.

        Args:
            exchange: The HTTP exchange.
            parts: The method, followed by the path segments after ``/v1/admin/``.
            state: State of this host: live, draining or closed.
            in_progress: Number of calls that this host is serving.

        Raises:
            RequestRefused: The operator isn't authenticated, the path doesn't exist
                or the operation failed.
        """
        operator = require_operator(self._dependencies.tokens, exchange.request)
        match parts:
            case "GET", "catalogue":
                answer = self._catalogue()
            case "GET", "catalogue", kind, name:
                answer = self._item(kind, name)
            case "POST", "changes":
                answer = await self._change(operator, await exchange.body())
            case "GET", "hosts":
                answer = self._hosts()
            case "GET", "targets":
                statuses = self._dependencies.targets.statuses()
                answer = TargetsAnswer(self._identity.host, statuses)
            case "POST", "drain", host:
                answer = self._drain(HostName(host), in_progress)
            case "POST", "init":
                await self._initialise()
                answer = self._status(state, in_progress)
            case "GET", "orders":
                answer = self._dependencies.orders.status()
            case "GET", "status":
                answer = self._status(state, in_progress)
            case "GET", "counters":
                answer = self._counters()
            case _:
                raise refused(
                    RefusalKind.not_found,
                    f"There is no admin path {'/'.join(parts[1:])[:200]!r} for "
                    f"{parts[0]}.",
                    "Use one of the paths in docs/INTERFACE.md.",
                )
        await exchange.respond(200, JSON_HEADERS, msgspec.json.encode(answer))

    def _catalogue(self) -> CatalogueAnswer:
        catalogue = self._dependencies.catalogue
        return CatalogueAnswer(
            host=self._identity.host,
            revision=catalogue.revision,
            confirmed_age=finite_age(catalogue.confirmed_age()),
            items=catalogue.items(),
        )

    def _item(self, kind: str, name: str) -> ItemAnswer:
        catalogue = self._dependencies.catalogue
        for item in catalogue.items():
            if item.name == name and item_kind(item).value == kind:
                return ItemAnswer(self._identity.host, catalogue.revision, item)
        raise refused(
            RefusalKind.not_found,
            f"The catalogue has no {kind[:20]} {name[:100]!r} at revision "
            f"{catalogue.revision}.",
            "List the items with 'bronzepoint catalogue list'.",
        )

    async def _change(self, operator: Operator, body: bytes) -> Accepted:
        try:
            change = decode(_change_decoder, body)
            # Integers of more than 64 bits can't be stored.
            msgspec.msgpack.encode(change)
        except (Undecodable, OverflowError) as exc:
            raise refused(
                RefusalKind.bad_request,
                f"The body is not a valid catalogue change: {exc}.",
                "Send it with 'bronzepoint catalogue apply'.",
            ) from exc
        change.operator = operator.name
        try:
            return await self._dependencies.agreement.propose(change, PROPOSE_TIMEOUT)
        except AgreementError as exc:
            raise _change_refused(exc) from exc

    def _hosts(self) -> HostsAnswer:
        statuses = [
            HostStatus(
                name=host.name,
                region=host.region,
                data_center=host.data_center,
                http=host.http,
                state=host.state.value,
                load=host.load,
                revision=host.revision,
                run_once_ready=host.run_once_ready,
            )
            for host in self._dependencies.membership.hosts()
        ]
        return HostsAnswer(self._identity.host, statuses)

    def _drain(self, host: HostName, in_progress: int) -> DrainAnswer:
        if host == self._identity.host:
            self._dependencies.drain()
            return DrainAnswer(host, in_progress)
        known = self._dependencies.membership.host(host)
        if known is None:
            raise refused(
                RefusalKind.not_found,
                f"Host {host[:100]!r} is not known to this host.",
                "List the hosts with 'bronzepoint hosts'.",
            )
        raise refused(
            RefusalKind.not_found,
            f"This is host {self._identity.host}, not {host}.",
            f"Send it to {known.http}.",
        )

    async def _initialise(self) -> None:
        try:
            await self._dependencies.agreement.initialise()
        except AgreementError as exc:
            raise _change_refused(exc) from exc

    def _status(self, state: str, in_progress: int) -> StatusAnswer:
        catalogue = self._dependencies.catalogue
        agreement = self._dependencies.agreement.status()
        return StatusAnswer(
            host=self._identity.host,
            region=self._identity.region,
            state=state,
            ready=catalogue.ready,
            revision=catalogue.revision,
            confirmed_age=finite_age(catalogue.confirmed_age()),
            role=agreement.role.value,
            term=agreement.term,
            leader=agreement.leader,
            voters=[voter.host for voter in agreement.voters],
            in_progress=in_progress,
            within_bound=is_within_bound(catalogue, self._identity),
            fencing_number=self._dependencies.agreement.lease() or 0,
            failure=agreement.failure,
            voter_states=[_voter_state(voter) for voter in agreement.voters],
        )

    def _counters(self) -> CountersAnswer:
        metrics = self._dependencies.metrics
        return CountersAnswer(self._identity.host, metrics.counters(), metrics.gauges())


def _voter_state(voter: VoterStatus) -> VoterState:
    return VoterState(
        host=voter.host,
        storage=voter.storage,
        found=voter.found,
        index=voter.index,
        silent=voter.silent,
    )


def _change_refused(exc: AgreementError) -> RequestRefused:
    message, _, remedy = str(exc).partition(" Remedy: ")
    remedy = remedy or "Correct the change and send it again."
    match exc:
        case Conflict():
            return refused(RefusalKind.conflict, message, remedy)
        case NotLeader():
            return refused(RefusalKind.not_leader, message, remedy, RETRY_CHANGE)
        case NoQuorum():
            return refused(
                RefusalKind.not_leader, message, remedy, RETRY_CHANGE, Ran.unknown
            )
        case NoRoom(retry_after=retry_after) if retry_after:
            return refused(RefusalKind.overloaded, message, remedy, retry_after)
        case NoRoom():
            return refused(RefusalKind.body_too_large, message, remedy)
        case InitialiseRefused():
            return refused(RefusalKind.not_ready, message, remedy, RETRY_CHANGE)
    ran = Ran.unknown if exc.outcome_unknown else Ran.no
    return refused(RefusalKind.bad_request, message, remedy, ran=ran)
