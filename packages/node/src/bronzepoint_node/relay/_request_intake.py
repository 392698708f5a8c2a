"""Reads, checks and charges new requests, and refuses those that can't be served."""

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.events import EventSplitter
from bronzepoint_common.http import BadRequest, Exchange
from bronzepoint_common.lag import Lag
from bronzepoint_node.fleet import ServedCatalogue, ServedRoute, SyncClient
from bronzepoint_node.forwarded_runs import ForwardedSend
from bronzepoint_node.placement import NO_OWN_QUEUE, RejectReason
from bronzepoint_node.quarantine import RequestFingerprints, fingerprint_request
from bronzepoint_node.quota import OverQuota, Quotas
from bronzepoint_node.stream_origins import StreamOrigin

from ._answer_writer import AnswerWriter
from ._authenticator import (
    CONFIRM_WAIT,
    CONFIRM_WAIT_SHARE,
    Authenticated,
    Authentication,
    Authenticator,
)
from ._call import Call
from ._codec import CallerHead, Codec
from ._host_headers import (
    FINGERPRINT_HEADER,
    LEASE_HEADER,
    MAX_RUNS_HEADER,
    ORIGIN_HEADER,
    PERMIT_HEADER,
    RUNS_HEADER,
    SEND_HEADER,
)
from ._resume_check import ResumeCheck
from ._usual_deadlines import UsualDeadlines

ANSWER_MARGIN = 0.05
"""Seconds before the caller's deadline at which the final answer is due."""
DEFAULT_DEADLINE = 30.0
"""Deadline in seconds of a request that specifies none."""
WAIT_STEP = 0.03
"""Seconds between two checks for a catalogue after a start."""
START_WAIT = 1.5
"""Maximum seconds that a request waits for a catalogue after a start."""
START_WAIT_SHARE = 0.3
"""Maximum part of a request's deadline that is spent on this wait."""
LAG_SHARE = 0.3
"""Maximum event loop lag at which a request is accepted, as a part of its route's
objective: a request needs several iterations of the loop until its first answer."""


class RequestIntake:
    """Reads new requests, and refuses those that can't be served.

    Args:
        sync_client: Source of the current catalogue.
        authenticator: Authenticates callers.
        quotas: Quotas of the organisations.
        answer_writer: Sends final answers.
        codec: Parses request headers.
        lag: Measured lag of this host's event loop.
        resume_check: Tells whether the catalogue is from before a pause.
    """

    def __init__(
        self,
        sync_client: SyncClient,
        authenticator: Authenticator,
        quotas: Quotas,
        answer_writer: AnswerWriter,
        codec: Codec,
        lag: Lag,
        resume_check: ResumeCheck,
    ) -> None:
        self._sync_client = sync_client
        self._authenticator = authenticator
        self._quotas = quotas
        self._answer_writer = answer_writer
        self._codec = codec
        self._lag = lag
        self._resume_check = resume_check
        self._leaving = False
        self._usual = UsualDeadlines()

    def stop_accepting(self) -> None:
        """Refuse all new requests from now on, as this host is shutting down."""
        self._leaving = True

    async def receive(self, exchange: Exchange, forwarded: bool) -> Call | None:
        """Return a request to serve; None: it has been refused.

        Args:
            exchange: Connection that the request arrived on.
            forwarded: True if an entry host of another region forwarded the request.
        """
        received_at = monotonic()
        try:
            head = self._codec.read_request(exchange.request)
        except BadRequest as exc:
            await exchange.respond(400, {}, f"{exc}\n".encode())
            return None
        if await self._wait_for_catalogue(head) is None:
            await self._answer_writer.refuse(
                exchange, head, RejectReason.NO_CATALOGUE, 0.5
            )
            return None
        route = await self._find_route(exchange, head)
        if route is None:
            return None
        if self._lag.seconds > LAG_SHARE * route.objective:
            await self._answer_writer.shed(exchange, head)
            return None
        if self._resume_check.is_outdated():
            max_wait = CONFIRM_WAIT_SHARE * _deadline(head)
            if not await self._resume_check.wait(max_wait):
                await self._answer_writer.refuse(
                    exchange, head, RejectReason.NO_CATALOGUE, CONFIRM_WAIT
                )
                return None
            # The route may have changed, or gone.
            route = await self._find_route(exchange, head)
            if route is None:
                return None
        catalogue = self._sync_client.catalogue
        authentication = await self._authenticate(
            exchange, head, route, catalogue, forwarded
        )
        if not isinstance(authentication, Authenticated):
            await self._answer_writer.refuse_unauthenticated(
                exchange, head, authentication, catalogue.version
            )
            return None
        body = await exchange.body()
        call = self._new_call(exchange, head, route, body, received_at, forwarded)
        call.organisation, call.version = authentication.organisation, catalogue.version
        call.ranks = catalogue.ranks
        if self._leaving:
            await self._answer_writer.refuse(exchange, head, RejectReason.LEAVING, 0.1)
            return None
        return call if await self._charge(call) else None

    async def _find_route(
        self, exchange: Exchange, head: CallerHead
    ) -> ServedRoute | None:
        """Return the route of a request; None: it has been refused."""
        path = exchange.request.raw_path.partition("?")[0]
        route = self._sync_client.catalogue.find_route(head.host, path)
        if route is not None:
            return route
        # A newer version may have added it.
        is_confirmed = await self._authenticator.wait_until_confirmed(_deadline(head))
        catalogue = self._sync_client.catalogue
        route = catalogue.find_route(head.host, path)
        if route is None:
            await exchange.body()
            await self._answer_writer.answer_no_route(
                exchange, head, catalogue.version, is_confirmed
            )
        return route

    def refund(self, call: Call) -> None:
        """Refund the quota charge of a request that certainly did not run."""
        if call.charge is not None and not call.may_have_run:
            self._quotas.refund(call.charge)

    async def _charge(self, call: Call) -> bool:
        """Charge a request to its organisation; False: refused as over quota."""
        if call.forwarded:
            return True
        charge = self._quotas.take(call.organisation, call.head.tokens)
        if isinstance(charge, OverQuota):
            call.notes.append(charge.note)
            reason = RejectReason.OVER_QUOTA
            wait = charge.retry_after
            await self._answer_writer.refuse(
                call.exchange, call.head, reason, wait, call
            )
            return False
        call.charge = charge
        return True

    async def _wait_for_catalogue(self, head: CallerHead) -> ServedCatalogue | None:
        """Return the current catalogue, waiting briefly for it after a start.

        After a crash of the whole core, the catalogue is available again within one or
        two seconds. If requests were refused at once instead, all callers would retry
        at the same moment.
        """
        until = monotonic() + min(START_WAIT, START_WAIT_SHARE * _deadline(head))
        while self._sync_client.catalogue is None or self._sync_client.targets is None:
            if monotonic() >= until or self._leaving:
                break
            await curio.sleep(WAIT_STEP)
        return self._sync_client.catalogue

    async def _authenticate(
        self,
        exchange: Exchange,
        head: CallerHead,
        route: ServedRoute,
        catalogue: ServedCatalogue,
        forwarded: bool,
    ) -> Authentication:
        if forwarded:
            headers = exchange.request.headers
            return self._authenticator.authenticate_forwarded(
                head, route, catalogue, headers
            )
        return await self._authenticator.authenticate(
            head, route, catalogue, _deadline(head)
        )

    def _new_call(
        self,
        exchange: Exchange,
        head: CallerHead,
        route: ServedRoute,
        body: bytes,
        received_at: float,
        forwarded: bool,
    ) -> Call:
        deadline = _deadline(head)
        deadline_at = received_at + min(deadline - ANSWER_MARGIN, route.timeout)
        events = EventSplitter(head.last_event)
        call = Call(
            exchange, head, route, body, received_at, deadline_at, forwarded, events
        )
        call.prior_wait = self._usual.prior_wait(route, deadline)
        call.fingerprints = _fingerprints(call)
        if forwarded:
            # The route's limit applies to the runs of both hosts together.
            headers = exchange.request.headers
            call.runs = call.reported_runs = _parse_count(headers.get(RUNS_HEADER, ""))
            call.granted_runs = _parse_count(headers.get(MAX_RUNS_HEADER, ""))
            call.has_permit = PERMIT_HEADER in headers
            call.lease = _parse_lease(headers.get(LEASE_HEADER, ""))
            call.origin = StreamOrigin.parse(headers.get(ORIGIN_HEADER, ""))
            call.send = ForwardedSend.parse(headers.get(SEND_HEADER, ""))
        return call


def _deadline(head: CallerHead) -> float:
    return head.deadline if head.deadline is not None else DEFAULT_DEADLINE


def _fingerprints(call: Call) -> RequestFingerprints:
    request = call.exchange.request
    if call.forwarded:
        return RequestFingerprints.parse(request.headers.get(FINGERPRINT_HEADER, ""))
    # The key distinguishes callers that share an address.
    caller = call.exchange.peer.rpartition(":")[0] + (call.head.key or "")
    return fingerprint_request(call.head.host, request.raw_path, caller, call.body)


def _parse_lease(text: str) -> int:
    if text == str(NO_OWN_QUEUE):
        return NO_OWN_QUEUE
    return _parse_count(text)


def _parse_count(text: str) -> int:
    return int(text) if text.isdigit() else 0
