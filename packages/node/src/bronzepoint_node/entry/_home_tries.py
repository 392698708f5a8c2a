"""Tries at targets of this host's region."""

from collections.abc import Callable

from bronzepoint_node.entry._answer_headers import ECHO_HEADER, own_headers
from bronzepoint_node.entry._call import PRIORITIES
from bronzepoint_node.entry._catalogue_check import CatalogueCheck
from bronzepoint_node.entry._collaborators import Collaborators
from bronzepoint_node.entry._dispatch_permit import permit_dispatch
from bronzepoint_node.entry._identity import Identity
from bronzepoint_node.entry._outcomes import Answered, Failed, Outcome, result_of
from bronzepoint_node.entry._records import Records
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_node.entry._target_judge import TargetJudge
from bronzepoint_node.entry._upstream import Upstream, UpstreamRequest
from bronzepoint_node.policy import Home, Ticket
from bronzepoint_node.run_once import ClaimToken
from bronzepoint_schema.generated.catalogue import Target
from bronzepoint_schema.generated.decisions import RetryReason, Try, TryResult


class HomeTries:
    """Sends requests to targets, and tells everyone how that ended.

    Args:
        identity: This host.
        parts: The other parts of the daemon.
        check: The catalogue as it is now.
        upstream: Sends and relays.
        records: Keeps the decision records.
    """

    def __init__(
        self,
        identity: Identity,
        parts: Collaborators,
        check: CatalogueCheck,
        upstream: Upstream,
        records: Records,
    ) -> None:
        self._identity = identity
        self._parts = parts
        self._check = check
        self._upstream = upstream
        self._records = records

    async def try_target(
        self,
        request: ServedRequest,
        ticket: Ticket,
        placed: Home,
        token: ClaimToken | None,
    ) -> Outcome:
        """Try the chosen target; counts the request there before anything is awaited.

        Args:
            request: The request.
            ticket: What it holds of its limits.
            placed: The choice.
            token: The claim on its idempotency key, for non-idempotent ones.
        """
        name = placed.target.name
        self._parts.targets.begin(name, request.view.prefix_hashes)
        began = request.trace.begin_try(name, self._identity.region)
        outcome: Outcome = Failed(TryResult.cancelled, "")
        try:
            outcome = await self._ask(request, ticket, placed, token, began)
        finally:
            result = result_of(outcome)
            detail = outcome.detail if isinstance(outcome, Failed) else ""
            request.trace.end_try(began, result, detail)
            first = outcome.first_byte if isinstance(outcome, Answered) else None
            self._parts.targets.finish(name, result, first or 0.0)
            await self._parts.policy.try_ended(ticket, placed, result, first)
        return outcome

    async def _ask(
        self,
        request: ServedRequest,
        ticket: Ticket,
        placed: Home,
        token: ClaimToken | None,
        began: Try,
    ) -> Outcome:
        identity = self._identity
        name = placed.target.name
        target = self._check.target(request, identity.region, name)
        if target is None:
            return Failed(
                TryResult.not_sent,
                "the catalogue doesn't give this target new work any more",
                RetryReason.target_leaving,
                certain=True,
            )
        permit = await permit_dispatch(self._parts.run_once, token)

        def check() -> None:
            permit.check()
            self._check.region(request, identity.region)

        judge = TargetJudge(
            request.entry,
            request.call.idempotent,
            lambda reason: self._parts.policy.may_retry(ticket, reason),
            lambda headers: self._parts.targets.note_answer(name, headers),
        )

        async def finish(status: int) -> None:
            result = TryResult.failed if judge.error else TryResult.answered
            request.trace.end_try(began, result)
            await self._records.answered(request.trace, status)

        outcome = await self._upstream.ask(
            _message(request, target, check),
            request.exchange,
            request.trace,
            judge,
            own_headers(request.trace.request_id, identity.host, identity.region),
            finish,
        )
        if isinstance(outcome, Answered):
            outcome.failed = judge.error
        return outcome


def _message(
    request: ServedRequest, target: Target, check: Callable[[], None]
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
