"""The HTTP request handler of a host."""

from enum import StrEnum

from bronzepoint_common.http import Disconnected, Exchange, HttpError
from bronzepoint_common.logs import get_logger
from bronzepoint_common.settings import cluster_key
from bronzepoint_node.entry._admin_endpoints import AdminEndpoints
from bronzepoint_node.entry._answer_headers import gateway_headers
from bronzepoint_node.entry._call_handler import CallHandler
from bronzepoint_node.entry._call_reader import IncomingCall
from bronzepoint_node.entry._dependencies import Dependencies
from bronzepoint_node.entry._forward_context import context_of
from bronzepoint_node.entry._http_errors import refusal_of_http_error
from bronzepoint_node.entry._identity import Identity
from bronzepoint_node.entry._info_endpoints import InfoEndpoints
from bronzepoint_node.entry._records import DecisionRecorder
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
"""Seconds after which a caller of a closed host may send to another host."""
KEY_HEADER = "idempotency-key"

_log = get_logger("entry")


class GatewayState(StrEnum):
    """State of this host with respect to new calls; see `Gateway.state`."""

    live = "live"
    draining = "draining"
    closed = "closed"


class Gateway:
    """Handles the HTTP requests of callers, operators and other hosts.

    Args:
        settings: This host's settings.
        dependencies: The other components of the daemon.

    Attributes:
        state: ``live``: calls are served; ``draining``: calls are served, and each
            connection is closed after its response; ``closed``: calls are refused.
    """

    def __init__(self, settings: Settings, dependencies: Dependencies) -> None:
        host = settings.host
        self._identity = Identity(
            host.name,
            host.region,
            cluster_key(settings),
            settings.agreement.in_force_bound,
        )
        self._dependencies = dependencies
        self._recorder = DecisionRecorder(dependencies.decisions)
        self._call_handler = CallHandler(self._identity, dependencies, self._recorder)
        self._info_endpoints = InfoEndpoints(self._identity, dependencies)
        self._admin_endpoints = AdminEndpoints(self._identity, dependencies)
        self.state = GatewayState.live

    @property
    def in_progress(self) -> int:
        """Number of calls in progress."""
        return self._call_handler.in_progress.total()

    def in_progress_of(self, entry: EntryName) -> int:
        """Return the number of calls to one entry in progress."""
        return self._call_handler.in_progress[entry]

    def drain(self) -> None:
        """Continue to serve calls, but close each connection after its response."""
        if self.state is GatewayState.live:
            self.state = GatewayState.draining

    def refuse_calls(self) -> None:
        """Refuse new calls; calls in progress are completed.

        Called at the end of a drain, when the directory no longer lists this host.
        """
        self.state = GatewayState.closed

    async def handle(self, exchange: Exchange) -> None:
        """Handle one HTTP request."""
        if self.state is not GatewayState.live:
            exchange.announce_close()
        try:
            route = route_of(exchange.request)
            match route:
                case ChatRoute() | ServiceRoute():
                    await self._serve_call(exchange, route)
                case HostsRoute() | WhyRoute() | HealthRoute():
                    await self._info_endpoints.serve(exchange, route, self.state.value)
                case AdminRoute(parts):
                    await self._admin_endpoints.serve(
                        exchange, parts, self.state.value, self.in_progress
                    )
        except RequestRefused as exc:
            await self._refuse(exchange, exc.refusal, {})

    def on_http_error(self, exc: HttpError) -> tuple[int, dict[str, str], bytes]:
        """Return the response to invalid HTTP input that never reached a handler.

        Returns:
            Status, headers and body.
        """
        refusal = refusal_of_http_error(exc)
        self._dependencies.metrics.incr(f"refusal.{refusal.kind.value}")
        _, headers, body = refusal_answer(refusal)
        return exc.status or 400, headers, body

    async def _serve_call(
        self, exchange: Exchange, route: ChatRoute | ServiceRoute
    ) -> None:
        context = context_of(exchange.request, self._identity)
        if context is None:
            request_id = self._dependencies.decisions.new_request_id()
        else:
            request_id = context.request_id
        trace = RequestTrace(request_id, self._identity.host, self._identity.region)
        try:
            if self.state is GatewayState.closed:
                raise _closed_refusal()
            await self._call_handler.serve(
                IncomingCall(exchange, route, context, trace)
            )
            self._dependencies.metrics.incr("answered")
        except RequestRefused as exc:
            await self._refuse_call(exchange, exc.refusal, trace)
        except Disconnected as exc:
            trace.cancelled(str(exc))
            self._dependencies.metrics.incr("cancelled")
            await exchange.abort()
        except HttpError as exc:
            # The body is invalid, so the connection can't be reused; the HTTP server
            # sends the response and closes it.
            trace.refused(refusal_of_http_error(exc), exc.status)
            raise
        except Exception:
            _log.exception("Request failed", request_id=trace.request_id)
            await self._refuse_call(exchange, _internal_refusal(), trace)
        finally:
            await self._recorder.save(trace)

    async def _refuse_call(
        self, exchange: Exchange, refusal: Refusal, trace: RequestTrace
    ) -> None:
        refusal.request_id = trace.request_id
        if trace.may_have_run or _may_have_run_before(exchange, trace):
            refusal.ran = Ran.unknown
        status, _, _ = refusal_answer(refusal)
        trace.refused(refusal, status)
        if exchange.started:
            # Part of the response was already sent, so a refusal can't be sent any
            # more. The connection is aborted to show that the response is incomplete.
            self._dependencies.metrics.incr(f"refusal.{refusal.kind.value}")
            await exchange.abort()
            return
        await self._recorder.save(trace)
        identity = self._identity
        added_headers = gateway_headers(
            trace.request_id, identity.host, identity.region
        )
        await self._refuse(exchange, refusal, added_headers)

    async def _refuse(
        self, exchange: Exchange, refusal: Refusal, added_headers: dict[str, str]
    ) -> None:
        self._dependencies.metrics.incr(f"refusal.{refusal.kind.value}")
        status, headers, body = refusal_answer(refusal)
        try:
            await exchange.respond(status, {**headers, **added_headers}, body)
        except Disconnected:
            return


def _may_have_run_before(exchange: Exchange, trace: RequestTrace) -> bool:
    """Return whether an earlier attempt with the same key may have run the request.

    A resend can be refused before its run-once record is read, for example by a limit.
    The earlier attempt may have run, so "not run" would be true of this attempt only.
    A caller that relies on it would send a new request, and the work would be done
    twice.
    """
    has_key = KEY_HEADER in exchange.request.headers
    return has_key and not trace.first_attempt and not trace.idempotent


def _closed_refusal() -> RequestRefused:
    return refused(
        RefusalKind.draining,
        "This host is shutting down.",
        "Use another host of GET /v1/hosts.",
        RETRY_ELSEWHERE,
    )


def _internal_refusal() -> Refusal:
    return Refusal(
        RefusalKind.internal,
        "Internal error, see the log of this host.",
        "Report the error with the request id.",
        Ran.unknown,
    )
