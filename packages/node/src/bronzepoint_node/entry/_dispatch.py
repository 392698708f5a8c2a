"""From a decision to an answer: placement, tries, and what follows a failed one."""

from collections.abc import Callable

from bronzepoint_node.entry._answer_headers import ECHO_HEADER, own_headers
from bronzepoint_node.entry._call import PRIORITIES, check_route
from bronzepoint_node.entry._collaborators import Collaborators
from bronzepoint_node.entry._dispatch_permit import DispatchPermit, claim_lost
from bronzepoint_node.entry._forwarding import Forwarding
from bronzepoint_node.entry._identity import Identity
from bronzepoint_node.entry._outcomes import Answered, Failed, Outcome, result_of
from bronzepoint_node.entry._refusals import RequestRefused, refused
from bronzepoint_node.entry._region_views import region_views
from bronzepoint_node.entry._residency import allows
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_node.entry._target_judge import TargetJudge
from bronzepoint_node.entry._upstream import Upstream, UpstreamRequest
from bronzepoint_node.policy import (
    Away,
    Home,
    Placement,
    Refused,
    TargetView,
    Ticket,
)
from bronzepoint_node.run_once import ClaimToken
from bronzepoint_schema.generated.catalogue import ModelEntry, ServiceEntry, Target
from bronzepoint_schema.generated.decisions import (
    RefusalKind,
    RetryReason,
    TryResult,
)
from bronzepoint_schema.ids import RegionName, TargetName

MAX_TRIES = 5
"""Tries of one request over all targets and regions, whatever the budget allows."""
RETRY_AFTER_FAILURE = 1.0


class Dispatcher:
    """Places requests and tries targets and regions until one answers.

    Args:
        identity: This host.
        parts: The other parts of the daemon.
        upstream: Sends and relays.
        forwarding: Sends to hosts of other regions.
    """

    def __init__(
        self,
        identity: Identity,
        parts: Collaborators,
        upstream: Upstream,
        forwarding: Forwarding,
    ) -> None:
        self._identity = identity
        self._parts = parts
        self._upstream = upstream
        self._forwarding = forwarding

    async def run(
        self, request: ServedRequest, ticket: Ticket, token: ClaimToken | None
    ) -> Answered:
        """Bring a request to its answer.

        Args:
            request: The request.
            ticket: What it holds of its limits.
            token: The claim on its idempotency key, for non-idempotent ones.

        Raises:
            RequestRefused: It was not answered.
            Disconnected: The caller left.
        """
        for _ in range(MAX_TRIES):
            request.view.deadline_left = request.deadline_left()
            entry = self._entry_now(request)
            request.view.allowed_regions = request.allowed_by(entry)
            placed = await self._place(request, ticket)
            # Nothing may be awaited from here until the target counts the request.
            match placed:
                case Refused():
                    raise refused_by_policy(placed)
                case Home():
                    outcome = await self._home(request, ticket, placed, token)
                case Away():
                    outcome = await self._away(request, ticket, placed, token)
            if isinstance(outcome, Answered):
                return outcome
            if not self._retries(request, ticket, placed, outcome):
                raise refused_after(outcome)
        raise refused_after(outcome)

    async def _place(self, request: ServedRequest, ticket: Ticket) -> Placement:
        parts = self._parts
        entry = request.entry

        def targets() -> list[TargetView]:
            return parts.targets.views(entry.name, request.view.prefix_hashes)

        placed = await parts.policy.place(
            ticket,
            targets,
            lambda: region_views(entry, list(parts.membership.regions().values())),
        )
        request.trace.placed(placed)
        return placed

    async def _home(
        self,
        request: ServedRequest,
        ticket: Ticket,
        placed: Home,
        token: ClaimToken | None,
    ) -> Outcome:
        name = placed.target.name
        self._parts.targets.begin(name, request.view.prefix_hashes)
        began = request.trace.begin_try(name, self._identity.region)
        outcome: Outcome = Failed(TryResult.cancelled, "")
        try:
            outcome = await self._ask_target(request, ticket, name, token)
        finally:
            result = result_of(outcome)
            detail = outcome.detail if isinstance(outcome, Failed) else ""
            request.trace.end_try(began, result, detail)
            first = outcome.first_byte if isinstance(outcome, Answered) else None
            self._parts.targets.finish(name, result, first or 0.0)
            await self._parts.policy.try_ended(ticket, placed, result, first)
        return outcome

    async def _ask_target(
        self,
        request: ServedRequest,
        ticket: Ticket,
        name: TargetName,
        token: ClaimToken | None,
    ) -> Outcome:
        target = self._target_now(request, name)
        if target is None:
            return Failed(
                TryResult.not_sent,
                "the catalogue doesn't give this target new work any more",
                RetryReason.target_leaving,
                certain=True,
            )
        permit = await self._permit(token)

        def check() -> None:
            permit.check()
            self._check_here(request)

        judge = TargetJudge(
            request.entry,
            request.call.idempotent,
            lambda reason: self._parts.policy.may_retry(ticket, reason),
            lambda headers: self._parts.targets.note_answer(name, headers),
        )
        own = own_headers(
            request.trace.request_id, self._identity.host, self._identity.region
        )
        message = self._message(request, target, check)
        outcome = await self._upstream.ask(
            message, request.exchange, request.trace, judge, own
        )
        if isinstance(outcome, Answered):
            outcome.failed = judge.error
        return outcome

    def _target_now(self, request: ServedRequest, name: TargetName) -> Target | None:
        """Return the target as the catalogue has it now; None: no new work for it."""
        entry = self._check_here(request)
        for target in entry.targets:
            usable = target.region == self._identity.region and not target.leaving
            if target.name == name and usable:
                return target
        return None

    def _check_here(self, request: ServedRequest) -> ModelEntry | ServiceEntry:
        """Check the entry and its residency as the catalogue has them now.

        Between the decision and the send the request may have waited in a line, and
        this host may have learned of a change. Decided on the view of its arrival,
        a request could be served where its residency forbids it by now.
        """
        entry = self._entry_now(request)
        if not allows(request.allowed_by(entry), self._identity.region):
            raise residency_refused(request, self._identity.region)
        return entry

    def _entry_now(self, request: ServedRequest) -> ModelEntry | ServiceEntry:
        entry = self._parts.catalogue.entry(request.entry.name)
        if entry is None:
            raise refused(
                RefusalKind.unknown_entry,
                f"Entry {request.entry.name!r} was removed meanwhile.",
                "Use an entry that the catalogue has.",
            )
        check_route(request.call, entry)
        return entry

    async def _permit(self, token: ClaimToken | None) -> DispatchPermit:
        if token is None:
            return DispatchPermit(bounded=False)
        if await self._parts.run_once.confirm(token):
            return DispatchPermit(bounded=True)
        raise claim_lost()

    def _message(
        self, request: ServedRequest, target: Target, check: Callable[[], None]
    ) -> UpstreamRequest:
        call = request.call
        headers = dict(call.headers)
        headers[ECHO_HEADER] = request.trace.request_id
        headers["X-Priority"] = PRIORITIES[request.entry.entry_class]
        return UpstreamRequest(
            address=target.address,
            method=call.method,
            path=call.path,
            headers=headers,
            body=call.body,
            timeout=request.deadline_left(),
            echo=ECHO_HEADER.lower(),
            repeatable=call.idempotent,
            check=check,
        )

    async def _away(
        self,
        request: ServedRequest,
        ticket: Ticket,
        placed: Away,
        token: ClaimToken | None,
    ) -> Outcome:
        outcome: Outcome = Failed(TryResult.cancelled, "")
        try:
            permit = await self._permit(token)

            def check() -> None:
                permit.check()
                self._check_away(request, placed.region)

            check()
            outcome = await self._forwarding.forward(
                request,
                placed.region,
                self._parts.catalogue.revision,
                check,
                final=True,
                claimed=token is not None,
            )
        finally:
            first = outcome.first_byte if isinstance(outcome, Answered) else None
            await self._parts.policy.try_ended(
                ticket, placed, result_of(outcome), first
            )
        return outcome

    def _check_away(self, request: ServedRequest, region: RegionName) -> None:
        if not allows(request.allowed_by(self._entry_now(request)), region):
            raise residency_refused(request, region)

    def _retries(
        self,
        request: ServedRequest,
        ticket: Ticket,
        placed: Home | Away,
        failed: Failed,
    ) -> bool:
        if failed.started or failed.reason is None:
            return False
        if not failed.certain and not request.call.idempotent:
            return False
        if request.deadline_left() <= 0:
            return False
        region = placed.region if isinstance(placed, Away) else None
        if not failed.granted and not self._parts.policy.may_retry(
            ticket, failed.reason, region
        ):
            return False
        request.trace.retried(failed.reason)
        match placed:
            case Home(target):
                request.view.tried.append(target.name)
            case Away(region):
                request.view.tried_regions.append(region)
        return True


def residency_refused(request: ServedRequest, region: RegionName) -> RequestRefused:
    """Make the refusal of a request that may not be served in a region."""
    return refused(
        RefusalKind.residency,
        f"Entry {request.entry.name!r} may not be served in region {region} for a "
        f"caller of {request.caller.home}.",
        "Ask a host of an allowed region, or leave Bronzepoint-Residency out.",
    )


def refused_by_policy(placed: Refused) -> RequestRefused:
    """Make the refusal that the policy decided on."""
    return refused(placed.kind, placed.message, placed.remedy, placed.retry_after)


def refused_after(failed: Failed) -> RequestRefused:
    """Make the refusal that follows a failed last try."""
    if failed.refusal is not None:
        return RequestRefused(failed.refusal)
    remedy = "Send it again if it is idempotent, else with the same key."
    match failed:
        case Failed(result=TryResult.cut):
            kind = RefusalKind.answer_cut
        case Failed(result=TryResult.refused_by_target, refusal=None):
            kind = RefusalKind.overloaded
        case _:
            kind = RefusalKind.target_failed
    retry_after = failed.retry_after or RETRY_AFTER_FAILURE
    message = f"No target answered; the last one tried: {failed.detail}."
    return refused(kind, message, remedy, retry_after)
