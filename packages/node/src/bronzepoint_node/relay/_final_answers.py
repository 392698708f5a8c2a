"""The last word to a caller, and the line that tells how it came to it."""

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import Exchange
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.fleet import Follower, shown_digest
from bronzepoint_node.placement import Rejected, RejectReason

from ._call import Answered, Call, NotRun, TryOutcome
from ._codec import CallerHead
from ._gate import Identity, Unknown
from ._host_headers import HELD_HEADER, RAN_HEADER

DEFAULT_RETRY_AFTER = 0.3
"""Seconds until a caller comes back where no target has said more."""

STATUSES = {RejectReason.UNAUTHENTICATED: 401, RejectReason.OVER_QUOTA: 429}
"""Statuses of refusals; 503 for all others."""

_log = get_logger("relay")


class FinalAnswers:
    """Gives final answers; a refusal among them is a promise that nothing ran.

    Args:
        follower: Tells how old the list of targets is.
        metrics: Counters.
    """

    def __init__(self, follower: Follower, metrics: Metrics) -> None:
        self._follower = follower
        self._metrics = metrics

    async def give_up(self, call: Call, outcome: TryOutcome | None) -> None:
        """Give the final answer where no try brought one."""
        exchange = call.exchange
        if exchange.started:
            self.note(call, "stream_broken")
            await exchange.abort()
            return
        match outcome:
            case Answered(status=status, headers=headers, body=body):
                self.note(call, f"answered_{status}")
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
                self.note(call, "may_have_run")
                headers = call.answer_headers({})
                await exchange.respond(502, headers, b"no whole answer\n")

    async def reject(self, call: Call, rejected: Rejected) -> None:
        """Turn a request away that found no place, or end what it began."""
        if call.has_run or call.exchange.started:
            await self.give_up(call, call.last_outcome)
            return
        await self.refuse(
            call.exchange, call.head, rejected.reason, rejected.retry_after, call
        )

    async def hold(self, call: Call, retry_after: float) -> None:
        """Turn a request away that may reach no target: each that ran it crashed.

        Its caller is told the time after which it may be tried again, so that it
        doesn't come back in a moment.
        """
        self._metrics.incr("refusal.held")
        if call.exchange.started:
            await self.give_up(call, call.last_outcome)
            return
        headers = {"Retry-After": f"{retry_after:.2f}", HELD_HEADER: "yes"}
        if call.has_run:
            self.note(call, "may_have_run")
            headers = call.answer_headers(headers)
            text = b"its target crashed; it is held back\n"
            await call.exchange.respond(502, headers, text)
            return
        self.note(call, f"refused_{RejectReason.HELD}")
        headers[RAN_HEADER] = "no"
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
        """Answer that the request did not run and never will."""
        self._metrics.incr(f"refusal.{reason}")
        if call is not None:
            self.note(call, f"refused_{reason}")
        else:
            _log.info("refused", request=head.request_id, reason=reason)
        await _refuse(exchange, reason, retry_after)

    async def shed(self, exchange: Exchange, head: CallerHead) -> None:
        """Turn a request away that another host answers sooner, its body unread.

        The connection closes, by which its caller comes again at another host.
        """
        exchange.say_last()
        await self.refuse(exchange, head, RejectReason.LAGGING, DEFAULT_RETRY_AFTER)

    async def turn_away(
        self, exchange: Exchange, head: CallerHead, identity: Identity, version: int
    ) -> None:
        """Answer a caller that isn't known, before its body is read.

        Args:
            exchange: Its connection, which closes then.
            head: Its request.
            identity: Whether it is unknown, or whether this host can't be sure of it.
            version: Catalogue that its key was looked up in.
        """
        reason = RejectReason.KEY_UNCONFIRMED
        if isinstance(identity, Unknown):
            reason = RejectReason.UNAUTHENTICATED
        self._metrics.incr(f"refusal.{reason}")
        _log.info(
            "refused",
            request=head.request_id,
            reason=reason,
            key=shown_digest(head.key),
            version=version,
        )
        exchange.say_last()
        await _refuse(exchange, reason, DEFAULT_RETRY_AFTER)

    async def say_late(self, call: Call) -> None:
        """Answer that the time is over.

        The route's timeout is often shorter than the caller's own deadline. Told that
        the request did not run, as where its target took no connection, the caller of
        a request that may not run twice has the time to come back.
        """
        self._metrics.incr("refusal.deadline")
        self.note(call, "deadline")
        if call.exchange.started:
            await call.exchange.abort()
        elif call.may_have_run:
            headers = call.answer_headers({})
            await call.exchange.respond(504, headers, b"no answer in time\n")
        else:
            headers = _refusal_headers(DEFAULT_RETRY_AFTER)
            await call.exchange.respond(503, headers, b"no room in time\n")

    async def say_no_route(
        self, exchange: Exchange, head: CallerHead, version: int, is_confirmed: bool
    ) -> None:
        """Answer that the catalogue has no such route.

        Args:
            exchange: The caller's connection.
            head: Its request.
            version: Catalogue that was looked in.
            is_confirmed: That one is in force; False: there may be a newer one.
        """
        if not is_confirmed:
            reason = RejectReason.ROUTE_UNCONFIRMED
            await self.refuse(exchange, head, reason, DEFAULT_RETRY_AFTER)
            return
        self._metrics.incr("refusal.no_route")
        _log.info("no route", request=head.request_id, version=version)
        await exchange.respond(404, {}, b"no such route\n")

    def note(self, call: Call, outcome: str) -> None:
        """Write the one line that tells a request's story on this host."""
        self._metrics.incr(f"outcome.{outcome}")
        now = monotonic()
        first = call.first_event_at - call.arrived if call.first_event_at else None
        _log.info(
            "request",
            request=call.head.request_id,
            fingerprint=call.names.exact,
            route=call.route.name,
            organisation=call.organisation.name if call.organisation else None,
            key=shown_digest(call.head.key),
            version=call.version,
            outcome=outcome,
            forwarded=call.forwarded,
            looks=call.looks,
            sends=call.sends,
            tries=call.notes,
            known_ms=call.known_ms,
            seconds=round(now - call.arrived, 3),
            first_event=round(first, 3) if first is not None else None,
            gap=round(call.longest_gap, 3),
            objective=call.route.objective,
            max_gap=call.route.max_gap,
            rank=call.priority,
            left=round(call.left, 3),
            list_age=round(now - self._follower.targets_read_at, 2),
        )


def _refusal_headers(retry_after: float) -> dict[str, str]:
    return {"Retry-After": f"{retry_after:.2f}", RAN_HEADER: "no"}


async def _refuse(exchange: Exchange, reason: RejectReason, retry_after: float) -> None:
    headers = _refusal_headers(retry_after)
    if reason is RejectReason.UNAUTHENTICATED:
        # It is refused whenever it comes again.
        del headers["Retry-After"]
    status = STATUSES.get(reason, 503)
    await exchange.respond(status, headers, f"{reason}\n".encode())
