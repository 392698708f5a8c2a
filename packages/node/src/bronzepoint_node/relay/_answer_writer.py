"""Sends the final answer of a request, and logs how the request ended."""

from collections.abc import Mapping
from types import MappingProxyType

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import Exchange
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.fleet import SyncClient, shown_digest
from bronzepoint_node.placement import Rejected, RejectReason

from ._authenticator import Authentication, UnknownKey
from ._call import Answered, Call, NotRun, TryOutcome
from ._codec import CallerHead
from ._host_headers import BLOCKED_HEADER, HOST_REFUSED_HEADER, RAN_HEADER

DEFAULT_RETRY_AFTER = 0.3
"""Seconds until a caller retries, unless a target asked for a longer time."""

STATUSES = {RejectReason.UNAUTHENTICATED: 401, RejectReason.OVER_QUOTA: 429}
"""HTTP status of a refusal, by reason; 503 for all others."""

FINAL_REASONS = (
    RejectReason.UNAUTHENTICATED,
    RejectReason.VERSION_GONE,
    RejectReason.ORIGIN_UNKNOWN,
)
"""Reasons that no retry of the same request changes."""

HOST_REASONS = frozenset(
    {RejectReason.LAGGING, RejectReason.LEAVING, RejectReason.NO_CATALOGUE}
)
"""Reasons that concern one host; another host of its region may take the request."""

_log = get_logger("relay")


class AnswerWriter:
    """Sends final answers; a refusal guarantees that the request did not run.

    Args:
        sync_client: Source of the age of the target list.
        metrics: Counters.
    """

    def __init__(self, sync_client: SyncClient, metrics: Metrics) -> None:
        self._sync_client = sync_client
        self._metrics = metrics

    async def give_up(self, call: Call, outcome: TryOutcome | None) -> None:
        """Send the final answer of a request whose tries have all failed."""
        exchange = call.exchange
        if exchange.started:
            self.log_outcome(call, "stream_broken")
            await exchange.abort()
            return
        match outcome:
            case Answered(status=status, headers=headers, body=body):
                self.log_outcome(call, f"answered_{status}")
                await exchange.respond(status, call.answer_headers(headers), body)
            case NotRun(retry_after=retry_after) if not call.has_run:
                wait = retry_after or DEFAULT_RETRY_AFTER
                await self.refuse(
                    exchange,
                    call.head,
                    RejectReason.RETRIES_USED_UP,
                    wait,
                    call,
                )
            case _:
                self._metrics.incr("refusal.may_have_run")
                self.log_outcome(call, "may_have_run")
                headers = call.answer_headers({})
                await exchange.respond(502, headers, b"no whole answer\n")

    async def reject(self, call: Call, rejected: Rejected) -> None:
        """Refuse a request that could not be placed, or end one that has begun."""
        if call.has_run or call.exchange.started:
            await self.give_up(call, call.last_outcome)
            return
        await self.refuse(
            call.exchange, call.head, rejected.reason, rejected.retry_after, call
        )

    async def refuse_blocked(self, call: Call, retry_after: float) -> None:
        """Refuse a blocked request, whose targets have crashed while running it.

        The answer names the seconds until it may be tried again, so that the caller
        doesn't retry at once.
        """
        self._metrics.incr("refusal.held")
        if call.exchange.started:
            await self.give_up(call, call.last_outcome)
            return
        headers = {"Retry-After": f"{retry_after:.2f}", BLOCKED_HEADER: "yes"}
        if call.has_run:
            self.log_outcome(call, "may_have_run")
            headers = call.answer_headers(headers)
            text = b"its target crashed; it is held back\n"
            await call.exchange.respond(502, headers, text)
            return
        self.log_outcome(call, f"refused_{RejectReason.HELD}")
        headers |= {RAN_HEADER: "no", **call.refusal_headers}
        text = b"held back: the targets that ran it have crashed\n"
        await call.exchange.respond(503, headers, text)

    async def refuse(
        self,
        exchange: Exchange,
        head: CallerHead,
        reason: RejectReason,
        retry_after: float,
        call: Call | None = None,
    ) -> None:
        """Answer that the request did not run and will not run."""
        self._metrics.incr(f"refusal.{reason}")
        if call is None:
            _log.info("refused", request=head.request_id, reason=reason)
            await _send_refusal(exchange, reason, retry_after)
            return
        self.log_outcome(call, f"refused_{reason}")
        await _send_refusal(exchange, reason, retry_after, call.refusal_headers)

    async def shed(self, exchange: Exchange, head: CallerHead) -> None:
        """Refuse a request without reading its body, as this host lags.

        Another host would answer it sooner. Closes the connection, so that the caller
        retries there.
        """
        exchange.announce_close()
        await self.refuse(exchange, head, RejectReason.LAGGING, DEFAULT_RETRY_AFTER)

    async def refuse_unauthenticated(
        self,
        exchange: Exchange,
        head: CallerHead,
        authentication: Authentication,
        version: int,
    ) -> None:
        """Refuse an unauthenticated request before its body is read.

        Args:
            exchange: Connection to the caller; closed after the answer.
            head: The request.
            authentication: Whether the key is unknown, or could not be confirmed as
                unknown.
            version: Version of the catalogue that the key was looked up in.
        """
        reason = RejectReason.KEY_UNCONFIRMED
        if isinstance(authentication, UnknownKey):
            reason = RejectReason.UNAUTHENTICATED
        self._metrics.incr(f"refusal.{reason}")
        _log.info(
            "refused",
            request=head.request_id,
            reason=reason,
            key=shown_digest(head.key),
            version=version,
        )
        exchange.announce_close()
        await _send_refusal(exchange, reason, DEFAULT_RETRY_AFTER)

    async def answer_late(self, call: Call) -> None:
        """Answer that the deadline has passed.

        The route's timeout is often shorter than the caller's own deadline. If the
        request certainly did not run, for example because no target accepted a
        connection, the answer says so: the caller of a non-idempotent request can then
        retry in the time it has left.
        """
        self._metrics.incr("refusal.deadline")
        self.log_outcome(call, "deadline")
        if call.exchange.started:
            await call.exchange.abort()
        elif call.may_have_run:
            headers = call.answer_headers({})
            await call.exchange.respond(504, headers, b"no answer in time\n")
        else:
            headers = _refusal_headers(DEFAULT_RETRY_AFTER) | call.refusal_headers
            await call.exchange.respond(503, headers, b"no room in time\n")

    async def answer_no_route(
        self, exchange: Exchange, head: CallerHead, version: int, is_confirmed: bool
    ) -> None:
        """Answer that no route of the catalogue matches the request.

        Args:
            exchange: Connection to the caller.
            head: The request.
            version: Version of the catalogue that was searched.
            is_confirmed: True if that version is confirmed as current; False: there
                may be a newer one.
        """
        if not is_confirmed:
            reason = RejectReason.ROUTE_UNCONFIRMED
            await self.refuse(exchange, head, reason, DEFAULT_RETRY_AFTER)
            return
        self._metrics.incr("refusal.no_route")
        _log.info("no route", request=head.request_id, version=version)
        await exchange.respond(404, {}, b"no such route\n")

    def log_outcome(self, call: Call, outcome: str) -> None:
        """Log the outcome of a request, one line for each request on this host."""
        self._metrics.incr(f"outcome.{outcome}")
        now = monotonic()
        first = call.first_event_at - call.received_at if call.first_event_at else None
        _log.info(
            "request",
            request=call.head.request_id,
            fingerprint=call.fingerprints.exact,
            route=call.route.name,
            organisation=call.organisation.name if call.organisation else None,
            key=shown_digest(call.head.key),
            version=call.version,
            outcome=outcome,
            forwarded=call.forwarded,
            lease=call.lease if call.lease > 0 else None,
            resumes=call.head.resumes,
            origin=str(call.origin) if call.origin is not None else None,
            after_event=call.head.last_event,
            looks=call.placement_requests,
            sends=call.sends,
            arrivals=call.arrivals,
            retries=call.retries,
            tries=call.notes,
            sent_s=[round(at - call.received_at, 3) for at in call.sent_at],
            known_ms=call.staleness_ms,
            forecast=_rounded(call.forecast),
            share=_rounded(call.share),
            seconds=round(now - call.received_at, 3),
            first_event=round(first, 3) if first is not None else None,
            gap=round(call.longest_gap, 3),
            objective=call.route.objective,
            max_gap=call.route.max_gap,
            rank=call.priority,
            left=round(call.time_left, 3),
            list_age=round(now - self._sync_client.targets_read_at, 2),
        )


def _rounded(value: float | None) -> float | None:
    return round(value, 3) if value is not None else None


def _refusal_headers(retry_after: float) -> dict[str, str]:
    return {"Retry-After": f"{retry_after:.2f}", RAN_HEADER: "no"}


async def _send_refusal(
    exchange: Exchange,
    reason: RejectReason,
    retry_after: float,
    more_headers: Mapping[str, str] = MappingProxyType({}),
) -> None:
    headers = {**_refusal_headers(retry_after), **more_headers}
    if reason in HOST_REASONS:
        headers[HOST_REFUSED_HEADER] = "yes"
    if reason in FINAL_REASONS:
        # Retrying the same request would be refused again.
        del headers["Retry-After"]
    status = STATUSES.get(reason, 503)
    await exchange.respond(status, headers, f"{reason}\n".encode())
