"""The request path of one host: from a caller's exchange to its one answer."""

from enum import StrEnum

from bronzepoint_common.http import Disconnected, Exchange, HttpError
from bronzepoint_common.logs import get_logger
from bronzepoint_common.settings import cluster_key
from bronzepoint_node.entry._admin import Admin
from bronzepoint_node.entry._answer_headers import own_headers
from bronzepoint_node.entry._calls import Calls
from bronzepoint_node.entry._collaborators import Collaborators
from bronzepoint_node.entry._forward_context import context_of
from bronzepoint_node.entry._http_errors import refusal_of_http_error
from bronzepoint_node.entry._identity import Identity
from bronzepoint_node.entry._information import Information
from bronzepoint_node.entry._reading import Incoming
from bronzepoint_node.entry._records import Records
from bronzepoint_node.entry._refusals import (
    RequestRefused,
    refusal_answer,
    refused,
)
from bronzepoint_node.entry._route import (
    AdminRoute,
    ChatRoute,
    HealthRoute,
    HostsRoute,
    ServiceRoute,
    WhyRoute,
    route_of,
)
from bronzepoint_node.entry._trace import RequestTrace
from bronzepoint_schema.generated.decisions import Ran, Refusal, RefusalKind
from bronzepoint_schema.generated.settings import Settings
from bronzepoint_schema.ids import EntryName

RETRY_ELSEWHERE = 0.1
KEY_HEADER = "idempotency-key"

_log = get_logger("entry")


class EntryState(StrEnum):
    """Whether this host takes calls."""

    live = "live"
    draining = "draining"
    closed = "closed"


class Gateway:
    """Answers everything that callers, operators and other hosts ask over HTTP.

    Args:
        settings: This host's settings.
        parts: The other parts of the daemon.

    Attributes:
        state: ``draining``: calls are still served, on connections that close after
            them; ``closed``: calls are refused.
    """

    def __init__(self, settings: Settings, parts: Collaborators) -> None:
        host = settings.host
        self._identity = Identity(
            host.name,
            host.region,
            cluster_key(settings),
            settings.agreement.in_force_bound,
        )
        self._parts = parts
        self._records = Records(parts.decisions)
        self._calls = Calls(self._identity, parts, self._records)
        self._information = Information(self._identity, parts)
        self._admin = Admin(self._identity, parts)
        self.state = EntryState.live

    @property
    def in_progress(self) -> int:
        """Calls in progress."""
        return self._calls.in_progress.total()

    def in_progress_of(self, entry: EntryName) -> int:
        """Return the calls of one entry in progress."""
        return self._calls.in_progress[entry]

    def drain(self) -> None:
        """Serve on, but let each answer close its connection."""
        if self.state is EntryState.live:
            self.state = EntryState.draining

    def refuse_calls(self) -> None:
        """Refuse new calls; those in progress go on.

        For the end of a drain, when the directory names this host no more.
        """
        self.state = EntryState.closed

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if self.state is not EntryState.live:
            exchange.say_last()
        try:
            route = route_of(exchange.request)
            match route:
                case ChatRoute() | ServiceRoute():
                    await self._call(exchange, route)
                case HostsRoute() | WhyRoute() | HealthRoute():
                    await self._information.serve(exchange, route, self.state.value)
                case AdminRoute(parts):
                    await self._admin.serve(
                        exchange, parts, self.state.value, self.in_progress
                    )
        except RequestRefused as exc:
            await self._refuse(exchange, exc.refusal, {})

    def on_http_error(self, exc: HttpError) -> tuple[int, dict[str, str], bytes]:
        """Return the answer to bad input that no handler has seen."""
        refusal = refusal_of_http_error(exc)
        self._parts.metrics.incr(f"refusal.{refusal.kind.value}")
        _, headers, body = refusal_answer(refusal)
        return exc.status or 400, headers, body

    async def _call(self, exchange: Exchange, route: ChatRoute | ServiceRoute) -> None:
        context = context_of(exchange.request, self._identity)
        if context is None:
            request_id = self._parts.decisions.new_request_id()
        else:
            request_id = context.request_id
        trace = RequestTrace(request_id, self._identity.host, self._identity.region)
        try:
            if self.state is EntryState.closed:
                raise _closed()
            await self._calls.serve(Incoming(exchange, route, context, trace))
            self._parts.metrics.incr("answered")
        except RequestRefused as exc:
            await self._refuse_call(exchange, exc.refusal, trace)
        except Disconnected as exc:
            trace.cancelled(str(exc))
            self._parts.metrics.incr("cancelled")
            await exchange.abort()
        except HttpError as exc:
            # Bad input in the body: the connection can't be used any further, and
            # answering it is up to the server.
            trace.refused(refusal_of_http_error(exc), exc.status)
            raise
        except Exception:
            _log.exception("Request failed", request_id=trace.request_id)
            await self._refuse_call(exchange, _internal(), trace)
        finally:
            await self._records.keep(trace)

    async def _refuse_call(
        self, exchange: Exchange, refusal: Refusal, trace: RequestTrace
    ) -> None:
        refusal.request_id = trace.request_id
        if trace.may_have_run or _may_have_run_before(exchange, trace):
            refusal.ran = Ran.unknown
        status, _, _ = refusal_answer(refusal)
        trace.refused(refusal, status)
        if exchange.started:
            # A part has gone out: a refusal can't follow it. The caller must see
            # that the answer isn't whole.
            self._parts.metrics.incr(f"refusal.{refusal.kind.value}")
            await exchange.abort()
            return
        await self._records.keep(trace)
        identity = self._identity
        own = own_headers(trace.request_id, identity.host, identity.region)
        await self._refuse(exchange, refusal, own)

    async def _refuse(
        self, exchange: Exchange, refusal: Refusal, own: dict[str, str]
    ) -> None:
        self._parts.metrics.incr(f"refusal.{refusal.kind.value}")
        status, headers, body = refusal_answer(refusal)
        try:
            await exchange.respond(status, {**headers, **own}, body)
        except Disconnected:
            return


def _may_have_run_before(exchange: Exchange, trace: RequestTrace) -> bool:
    """Return whether an earlier attempt may have run what is refused now.

    A resend is refused before its record is read, say by a limit. The attempt before
    it may have run, so "not run" would be true of this attempt only, and a caller who
    took it at its word would send a new request: the work would be done twice.
    """
    keyed = KEY_HEADER in exchange.request.headers
    return keyed and not trace.first_attempt and not trace.idempotent


def _closed() -> RequestRefused:
    return refused(
        RefusalKind.draining,
        "This host is shutting down.",
        "Use another host of GET /v1/hosts.",
        RETRY_ELSEWHERE,
    )


def _internal() -> Refusal:
    return Refusal(
        RefusalKind.internal,
        "Internal fault, see the log of this host.",
        "Report it with the request id.",
        Ran.unknown,
    )
