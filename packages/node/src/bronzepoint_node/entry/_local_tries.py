"""Tries of a request at targets of this host's region."""

from collections.abc import Callable

from bronzepoint_node.entry._answer_headers import ECHO_HEADER, gateway_headers
from bronzepoint_node.entry._call import PRIORITIES
from bronzepoint_node.entry._catalogue_check import CatalogueCheck
from bronzepoint_node.entry._dependencies import Dependencies
from bronzepoint_node.entry._dispatch_permit import permit_dispatch
from bronzepoint_node.entry._identity import Identity
from bronzepoint_node.entry._outcomes import Answered, Failed, Outcome, result_of
from bronzepoint_node.entry._records import DecisionRecorder
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_node.entry._target_answer_check import TargetAnswerCheck
from bronzepoint_node.entry._upstream import Upstream, UpstreamRequest
from bronzepoint_node.policy import LocalPlacement, Ticket
from bronzepoint_node.run_once import ClaimToken
from bronzepoint_schema.generated.catalogue import Target
from bronzepoint_schema.generated.decisions import RetryReason, Try, TryResult


class LocalTries:
    """Sends requests to targets and reports the result to policy, targets and trace.

    Args:
        identity: This host.
        dependencies: The other components of the daemon.
        check: Checks a request against the current catalogue.
        upstream: Sends the request and relays the response.
        recorder: Stores the decision records.
    """

    def __init__(
        self,
        identity: Identity,
        dependencies: Dependencies,
        check: CatalogueCheck,
        upstream: Upstream,
        recorder: DecisionRecorder,
    ) -> None:
        self._identity = identity
        self._dependencies = dependencies
        self._check = check
        self._upstream = upstream
        self._recorder = recorder

    async def try_target(
        self,
        request: ServedRequest,
        ticket: Ticket,
        placement: LocalPlacement,
        token: ClaimToken | None,
    ) -> Outcome:
        """Send the request to the chosen target.

        The caller has counted the request as in progress at the target.

        Args:
            request: The request.
            ticket: Admission of the request under its limits.
            placement: The placement that the policy chose.
            token: The claim on the idempotency key; None: an idempotent request.
        """
        name = placement.target.name
        current_try = request.trace.begin_try(name, self._identity.region)
        outcome: Outcome = Failed(TryResult.cancelled, "")
        try:
            outcome = await self._send(request, ticket, placement, token, current_try)
        finally:
            result = result_of(outcome)
            detail = outcome.detail if isinstance(outcome, Failed) else ""
            request.trace.end_try(current_try, result, detail)
            first = outcome.first_byte if isinstance(outcome, Answered) else None
            self._dependencies.targets.finish(name, result, first or 0.0)
            await self._dependencies.policy.record_try(ticket, placement, result, first)
        return outcome

    async def _send(
        self,
        request: ServedRequest,
        ticket: Ticket,
        placement: LocalPlacement,
        token: ClaimToken | None,
        current_try: Try,
    ) -> Outcome:
        identity = self._identity
        name = placement.target.name
        target = self._check.target(request, identity.region, name)
        if target is None:
            return Failed(
                TryResult.not_sent,
                "the catalogue no longer allows new requests for this target",
                RetryReason.target_leaving,
                certain=True,
            )
        permit = await permit_dispatch(self._dependencies.run_once, token)

        def check() -> None:
            permit.check()
            self._check.region(request, identity.region)

        answer_check = TargetAnswerCheck(
            request.entry,
            request.call.idempotent,
            lambda reason: self._dependencies.policy.may_retry(ticket, reason),
            lambda headers, rest: self._dependencies.targets.record_answer(
                name, headers, rest
            ),
        )

        async def before_last_byte(status: int) -> None:
            result = TryResult.failed if answer_check.error else TryResult.answered
            request.trace.end_try(current_try, result)
            await self._recorder.save_answered(request.trace, status)

        outcome = await self._upstream.send(
            _upstream_request(request, target, check),
            request.exchange,
            request.trace,
            answer_check,
            gateway_headers(request.trace.request_id, identity.host, identity.region),
            before_last_byte,
        )
        if isinstance(outcome, Answered):
            outcome.failed = answer_check.error
        return outcome


def _upstream_request(
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
        fresh=request.fresh or not call.idempotent,
        check=check,
    )
