"""Passing a request on to a host of another region."""

import random
from collections.abc import Callable
from urllib.parse import quote

from bronzepoint_node.entry._answer_headers import REQUEST_ID_HEADER, own_headers
from bronzepoint_node.entry._call import CHAT_PATH
from bronzepoint_node.entry._collaborators import DecisionsLike, MembershipLike
from bronzepoint_node.entry._forward_context import (
    FORWARD_HEADER,
    ForwardContext,
    encode_context,
)
from bronzepoint_node.entry._host_judge import HostJudge
from bronzepoint_node.entry._identity import Identity
from bronzepoint_node.entry._outcomes import Failed, Outcome, result_of
from bronzepoint_node.entry._records import Records
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_node.entry._upstream import Upstream, UpstreamRequest
from bronzepoint_node.membership import HostInfo, HostState
from bronzepoint_schema.generated.catalogue import ModelEntry
from bronzepoint_schema.generated.decisions import RetryReason, TryResult
from bronzepoint_schema.ids import RegionName, Revision

MAX_HOSTS = 3
"""Hosts of one region that are tried; only where nothing can have been sent."""
SERVICES_PATH = "/v1/services/"


class Forwarding:
    """Sends requests to hosts of other regions.

    Args:
        identity: This host.
        membership: Which hosts there are.
        decisions: Keeps the record before the request leaves this host.
        upstream: Sends and relays.
        records: Keeps it again when the answer is there.
    """

    def __init__(
        self,
        identity: Identity,
        membership: MembershipLike,
        decisions: DecisionsLike,
        upstream: Upstream,
        records: Records,
    ) -> None:
        self._identity = identity
        self._membership = membership
        self._decisions = decisions
        self._upstream = upstream
        self._records = records

    async def forward(
        self,
        request: ServedRequest,
        region: RegionName,
        revision: Revision,
        check: Callable[[], None],
        *,
        final: bool,
        claimed: bool,
        patience: float = 0.0,
    ) -> Outcome:
        """Send a request to some host of a region and bring its answer back.

        Args:
            request: The request.
            region: Where it goes.
            revision: Catalogue revision that this host decided on.
            check: Called right before each send; may raise RequestRefused.
            final: True: it is served there or refused.
            claimed: True: this host holds the claim on its idempotency key.
            patience: Seconds to wait for the head of the answer; 0: until the
                request's deadline.
        """
        hosts = self._hosts(region)[:MAX_HOSTS]
        outcome: Outcome = Failed(
            TryResult.not_sent,
            f"no host of region {region} is known to live",
            RetryReason.connect_failed,
            certain=True,
            region=region,
        )
        context = self._context(request, revision, final, claimed)
        for host in hosts:
            timeout = request.deadline_left()
            if patience:
                timeout = min(timeout, patience)
            outcome = await self._ask(request, host, context, check, timeout)
            if not isinstance(outcome, Failed):
                return outcome
            outcome.region = region
            if outcome.reason is not RetryReason.connect_failed:
                return outcome
        return outcome

    async def _ask(
        self,
        request: ServedRequest,
        host: HostInfo,
        context: ForwardContext,
        check: Callable[[], None],
        timeout: float,
    ) -> Outcome:
        trace = request.trace
        began = trace.begin_try(host.name, host.region)
        # Kept before it leaves: should this host die now, the other region's part
        # of the decision is still found from the request's id.
        await self._decisions.record(trace.record)
        context.deadline_left = request.deadline_left()
        identity = self._identity
        own = own_headers(trace.request_id, identity.host, host.region)
        judge = HostJudge()
        outcome: Outcome = Failed(TryResult.cancelled, "")

        async def finish(status: int) -> None:
            trace.end_try(began, TryResult.answered, judge.served_by)
            await self._records.answered(trace, status)

        try:
            outcome = await self._upstream.ask(
                self._message(request, host, context, check, timeout),
                request.exchange,
                trace,
                judge,
                own,
                finish,
            )
        finally:
            detail = outcome.detail if isinstance(outcome, Failed) else judge.served_by
            trace.end_try(began, result_of(outcome), detail)
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

    def _message(
        self,
        request: ServedRequest,
        host: HostInfo,
        context: ForwardContext,
        check: Callable[[], None],
        timeout: float,
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
            timeout=timeout,
            echo=REQUEST_ID_HEADER.lower(),
            repeatable=call.idempotent,
            check=check,
        )

    def _hosts(self, region: RegionName) -> list[HostInfo]:
        """Return hosts of a region to try, live ones first, less loaded ones sooner.

        Two are drawn and the less loaded one goes first: all hosts hold the same
        reports, and would otherwise all send to the one that looked idlest.
        """
        hosts = self._membership.hosts(region)
        live = [host for host in hosts if host.state is HostState.live]
        suspect = [host for host in hosts if host.state is HostState.suspect]
        random.shuffle(live)
        random.shuffle(suspect)
        if len(live) > 1 and live[1].load < live[0].load:
            live[0], live[1] = live[1], live[0]
        return live + suspect
