"""From a caller's first byte to a request that may be served, or its refusal."""

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import BadRequest, Exchange
from bronzepoint_common.lag import Lag
from bronzepoint_node.fleet import Follower, ServedCatalogue, ServedRoute
from bronzepoint_node.placement import RejectReason
from bronzepoint_node.quarantine import RequestNames, name_request
from bronzepoint_node.quota import OverQuota, Quotas

from ._call import Call
from ._codec import CallerHead, Codec
from ._events import EventSplitter
from ._final_answers import FinalAnswers
from ._gate import Admitted, Gate, Identity
from ._host_headers import (
    FINGERPRINT_HEADER,
    MOST_RUNS_HEADER,
    PERMIT_HEADER,
    RUNS_HEADER,
)
from ._usual_deadlines import UsualDeadlines

CUT_MARGIN = 0.05
"""Seconds before the caller's own deadline at which its final answer is given."""
DEFAULT_DEADLINE = 30.0
"""Seconds for a caller that doesn't say how long it waits."""
WAIT_STEP = 0.03
"""Seconds between two looks for a catalogue."""
START_WAIT = 1.5
"""Seconds for which a request waits for a catalogue after a start,"""
START_WAIT_SHARE = 0.3
"""but no more than this part of its deadline."""
LAG_SHARE = 0.3
"""Part of a route's objective by which a host may lag to take a request: it needs some
turns of the event loop until its first answer."""


class Reception:
    """Reads requests, and turns away what may not be served.

    Args:
        follower: What is in force.
        gate: Tells who asks.
        quotas: What organisations may use.
        answers: Gives final answers.
        codec: Words of callers and targets.
        lag: Whether this host keeps up.
    """

    def __init__(
        self,
        follower: Follower,
        gate: Gate,
        quotas: Quotas,
        answers: FinalAnswers,
        codec: Codec,
        lag: Lag,
    ) -> None:
        self._follower = follower
        self._gate = gate
        self._quotas = quotas
        self._answers = answers
        self._codec = codec
        self._lag = lag
        self._leaving = False
        self._usual = UsualDeadlines()

    def refuse_new(self) -> None:
        """Turn away what comes from now on: this host ends soon."""
        self._leaving = True

    async def receive(self, exchange: Exchange, forwarded: bool) -> Call | None:
        """Return a request to be served; None: it has its final answer.

        Args:
            exchange: The connection that it came on.
            forwarded: An entry host of another region sent it.
        """
        arrived = monotonic()
        try:
            head = self._codec.read_request(exchange.request)
        except BadRequest as exc:
            await exchange.respond(400, {}, f"{exc}\n".encode())
            return None
        if await self._known_catalogue(head) is None:
            await self._answers.refuse(exchange, head, RejectReason.NO_CATALOGUE, 0.5)
            return None
        route = await self._find_route(exchange, head)
        if route is None:
            return None
        if self._lag.seconds > LAG_SHARE * route.objective:
            await self._answers.shed(exchange, head)
            return None
        catalogue = self._follower.catalogue
        identity = await self._identify(exchange, head, route, catalogue, forwarded)
        if not isinstance(identity, Admitted):
            await self._answers.turn_away(exchange, head, identity, catalogue.version)
            return None
        body = await exchange.body()
        call = self._call(exchange, head, route, body, arrived, forwarded)
        call.organisation, call.version = identity.organisation, catalogue.version
        if self._leaving:
            await self._answers.refuse(exchange, head, RejectReason.LEAVING, 0.1)
            return None
        return call if await self._charge(call) else None

    async def _find_route(
        self, exchange: Exchange, head: CallerHead
    ) -> ServedRoute | None:
        """Return the route of a request; None: it has its final answer."""
        path = exchange.request.raw_path.partition("?")[0]
        route = self._follower.catalogue.find_route(head.host, path)
        if route is not None:
            return route
        # A newer version may have added it.
        is_confirmed = await self._gate.confirm(_deadline(head))
        catalogue = self._follower.catalogue
        route = catalogue.find_route(head.host, path)
        if route is None:
            await exchange.body()
            await self._answers.say_no_route(
                exchange, head, catalogue.version, is_confirmed
            )
        return route

    def release(self, call: Call) -> None:
        """Give back what a request was charged that certainly didn't run."""
        if call.charge is not None and not call.may_have_run:
            self._quotas.give_back(call.charge)

    async def _charge(self, call: Call) -> bool:
        """Charge a request to its organisation; False: it was refused for its quota."""
        if call.forwarded:
            return True
        charge = self._quotas.take(call.organisation, call.head.tokens)
        if isinstance(charge, OverQuota):
            call.notes.append(charge.note)
            reason = RejectReason.OVER_QUOTA
            wait = charge.retry_after
            await self._answers.refuse(call.exchange, call.head, reason, wait, call)
            return False
        call.charge = charge
        return True

    async def _known_catalogue(self, head: CallerHead) -> ServedCatalogue | None:
        """Return what is in force; wait a little for it after a start.

        After a kill of the whole core it comes back within a second or two. Turned
        away at once, all callers would come back at the same moment.
        """
        until = monotonic() + min(START_WAIT, START_WAIT_SHARE * _deadline(head))
        while self._follower.catalogue is None or self._follower.targets is None:
            if monotonic() >= until or self._leaving:
                break
            await curio.sleep(WAIT_STEP)
        return self._follower.catalogue

    async def _identify(
        self,
        exchange: Exchange,
        head: CallerHead,
        route: ServedRoute,
        catalogue: ServedCatalogue,
        forwarded: bool,
    ) -> Identity:
        if forwarded:
            headers = exchange.request.headers
            return self._gate.identify_forwarded(head, route, catalogue, headers)
        return await self._gate.identify(head, route, catalogue, _deadline(head))

    def _call(
        self,
        exchange: Exchange,
        head: CallerHead,
        route: ServedRoute,
        body: bytes,
        arrived: float,
        forwarded: bool,
    ) -> Call:
        deadline = _deadline(head)
        until = arrived + min(deadline - CUT_MARGIN, route.timeout)
        events = EventSplitter(head.last_event)
        call = Call(exchange, head, route, body, arrived, until, forwarded, events)
        call.spent = self._usual.spent(route, deadline)
        call.names = _names(call)
        if forwarded:
            # The runs of both hosts count together against the route's bound.
            headers = exchange.request.headers
            call.runs = call.told_runs = _count(headers.get(RUNS_HEADER, ""))
            call.granted_runs = _count(headers.get(MOST_RUNS_HEADER, ""))
            call.has_permit = PERMIT_HEADER in headers
        return call


def _deadline(head: CallerHead) -> float:
    return head.deadline if head.deadline is not None else DEFAULT_DEADLINE


def _names(call: Call) -> RequestNames:
    request = call.exchange.request
    if call.forwarded:
        return RequestNames.parse(request.headers.get(FINGERPRINT_HEADER, ""))
    # Callers behind one address are told apart by their keys.
    caller = call.exchange.peer.rpartition(":")[0] + (call.head.key or "")
    return name_request(call.head.host, request.raw_path, caller, call.body)


def _count(text: str) -> int:
    return int(text) if text.isdigit() else 0
