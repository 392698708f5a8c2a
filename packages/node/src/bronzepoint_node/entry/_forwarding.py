"""Forwarding of requests to hosts of other regions."""

import random
from collections.abc import Callable
from urllib.parse import quote

from bronzepoint_node.entry._answer_headers import REQUEST_ID_HEADER, gateway_headers
from bronzepoint_node.entry._call import CHAT_PATH
from bronzepoint_node.entry._dependencies import DecisionsLike, MembershipLike
from bronzepoint_node.entry._forward_context import (
    FORWARD_HEADER,
    ForwardContext,
    encode_context,
)
from bronzepoint_node.entry._host_answer_check import HostAnswerCheck
from bronzepoint_node.entry._identity import Identity
from bronzepoint_node.entry._outcomes import Failed, Outcome, result_of
from bronzepoint_node.entry._records import DecisionRecorder
from bronzepoint_node.entry._replacement import send_unless_replaced
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_node.entry._upstream import Upstream, UpstreamRequest
from bronzepoint_node.membership import HostInfo, HostState
from bronzepoint_schema.generated.catalogue import ModelEntry
from bronzepoint_schema.generated.decisions import RetryReason, TryResult
from bronzepoint_schema.ids import RegionName, Revision

MAX_HOSTS = 3
"""Hosts of one region that are tried, one after the other. Another host is tried only
if nothing can have been sent to the one before."""
SERVICES_PATH = "/v1/services/"


class Forwarding:
    """Forwards requests to hosts of other regions.

    Args:
        identity: This host.
        membership: The known hosts.
        decisions: Stores the decision record before the request is forwarded.
        upstream: Sends the request and relays the response.
        recorder: Stores the decision record again when the response has arrived.
    """

    def __init__(
        self,
        identity: Identity,
        membership: MembershipLike,
        decisions: DecisionsLike,
        upstream: Upstream,
        recorder: DecisionRecorder,
    ) -> None:
        self._identity = identity
        self._membership = membership
        self._decisions = decisions
        self._upstream = upstream
        self._recorder = recorder

    async def forward(
        self,
        request: ServedRequest,
        region: RegionName,
        revision: Revision,
        check: Callable[[], None],
        *,
        final: bool,
        claimed: bool,
        max_wait: float = 0.0,
        find_replacement: Callable[[], bool] = lambda: False,
    ) -> Outcome:
        """Forward a request to a host of a region and relay its response.

        Args:
            request: The request.
            region: The region to forward to.
            revision: Catalogue revision on which this host based its decision.
            check: Called right before each send; may raise RequestRefused.
            final: True: the other region serves or refuses the request; False: it may
                forward it once more.
            claimed: True: this host holds the claim on the idempotency key.
            max_wait: Seconds after which a response whose head hasn't arrived is
                late; 0: at the request's deadline.
            find_replacement: Holds another place for a request whose response is
                late. If it returns False, the response is awaited further.
        """
        hosts = self._hosts(region)[:MAX_HOSTS]
        outcome: Outcome = Failed(
            TryResult.not_sent,
            f"no live host of region {region} is known",
            RetryReason.connect_failed,
            certain=True,
            region=region,
        )
        context = self._context(request, revision, final, claimed)
        for host in hosts:
            outcome = await self._send(
                request, host, context, check, max_wait, find_replacement
            )
            if not isinstance(outcome, Failed):
                return outcome
            outcome.region = region
            if outcome.reason is not RetryReason.connect_failed:
                return outcome
        return outcome

    async def _send(
        self,
        request: ServedRequest,
        host: HostInfo,
        context: ForwardContext,
        check: Callable[[], None],
        max_wait: float,
        find_replacement: Callable[[], bool],
    ) -> Outcome:
        trace = request.trace
        current_try = trace.begin_try(host.name, host.region)
        # Stored before the send: if this host dies now, the record names the other
        # host, so its part of the decision can still be found by the request's id.
        await self._decisions.record(trace.record)
        context.deadline_left = request.deadline_left()
        identity = self._identity
        added_headers = gateway_headers(trace.request_id, identity.host, host.region)
        answer_check = HostAnswerCheck()
        outcome: Outcome = Failed(TryResult.cancelled, "")

        async def before_last_byte(status: int) -> None:
            trace.end_try(current_try, TryResult.answered, answer_check.served_by)
            await self._recorder.save_answered(trace, status)

        async def send() -> Outcome:
            return await self._upstream.send(
                self._upstream_request(request, host, context, check),
                request.exchange,
                trace,
                answer_check,
                added_headers,
                before_last_byte,
            )

        try:
            if max_wait:
                outcome = await send_unless_replaced(
                    send, answer_check.arrived, max_wait, find_replacement
                )
            else:
                outcome = await send()
        finally:
            detail = (
                outcome.detail
                if isinstance(outcome, Failed)
                else answer_check.served_by
            )
            trace.end_try(current_try, result_of(outcome), detail)
        return outcome

    def _context(
        self, request: ServedRequest, revision: Revision, final: bool, claimed: bool
    ) -> ForwardContext:
        return ForwardContext(
            request_id=request.trace.request_id,
            caller=request.caller,
            visited=request.visited(),
            deadline_left=request.deadline_left(),
            revision=revision,
            allowed=request.view.allowed_regions,
            final=final,
            claimed=claimed,
            digest=request.call.digest(),
        )

    def _upstream_request(
        self,
        request: ServedRequest,
        host: HostInfo,
        context: ForwardContext,
        check: Callable[[], None],
    ) -> UpstreamRequest:
        call = request.call
        headers = dict(call.headers)
        headers[FORWARD_HEADER] = encode_context(context, self._identity.key)
        if call.worth is not None:
            headers["Bronzepoint-Worth"] = repr(call.worth)
        path = f"{SERVICES_PATH}{quote(call.entry)}{call.path}"
        if isinstance(request.entry, ModelEntry):
            path = CHAT_PATH
        return UpstreamRequest(
            address=host.http,
            method=call.method,
            path=path,
            headers=headers,
            body=call.body,
            timeout=request.deadline_left(),
            echo=REQUEST_ID_HEADER.lower(),
            repeatable=call.idempotent,
            fresh=request.fresh or not call.idempotent,
            check=check,
        )

    def _hosts(self, region: RegionName) -> list[HostInfo]:
        """Return the hosts of a region in the order in which they are tried.

        Live hosts come before suspect ones. Of two live hosts drawn at random the less
        loaded one goes first. All hosts have the same load reports and would otherwise
        all choose the same least loaded host.
        """
        hosts = self._membership.hosts(region)
        live = [host for host in hosts if host.state is HostState.live]
        suspect = [host for host in hosts if host.state is HostState.suspect]
        random.shuffle(live)
        random.shuffle(suspect)
        if len(live) > 1 and live[1].load < live[0].load:
            live[0], live[1] = live[1], live[0]
        return live + suspect
