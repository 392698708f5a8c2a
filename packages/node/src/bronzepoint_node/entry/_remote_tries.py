"""Tries of a request in other regions."""

from bronzepoint_node.entry._catalogue_check import CatalogueCheck
from bronzepoint_node.entry._dependencies import Dependencies
from bronzepoint_node.entry._dispatch_permit import permit_dispatch
from bronzepoint_node.entry._forwarding import Forwarding
from bronzepoint_node.entry._outcomes import Answered, Failed, Outcome, result_of
from bronzepoint_node.entry._replacement import Replacement
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_node.policy import RemotePlacement, Ticket
from bronzepoint_node.run_once import ClaimToken
from bronzepoint_schema.generated.decisions import TryResult


class RemoteTries:
    """Forwards requests that the policy has placed in another region.

    Args:
        dependencies: The other components of the daemon.
        check: Checks a request against the current catalogue.
        forwarding: Sends requests to hosts of other regions.
    """

    def __init__(
        self, dependencies: Dependencies, check: CatalogueCheck, forwarding: Forwarding
    ) -> None:
        self._dependencies = dependencies
        self._check = check
        self._forwarding = forwarding

    async def try_region(
        self,
        request: ServedRequest,
        ticket: Ticket,
        placement: RemotePlacement,
        token: ClaimToken | None,
        replacement: Replacement,
    ) -> Outcome:
        """Forward the request to the chosen region, which serves or refuses it.

        Args:
            request: The request.
            ticket: Admission of the request under its limits.
            placement: The placement that the policy chose.
            token: The claim on the idempotency key; None: an idempotent request.
            replacement: Holds another place if the answer is late.
        """
        outcome: Outcome = Failed(TryResult.cancelled, "")
        try:
            outcome = await self._forward(request, placement, token, replacement)
        finally:
            result = result_of(outcome)
            first = outcome.first_byte if isinstance(outcome, Answered) else None
            await self._dependencies.policy.record_try(ticket, placement, result, first)
        return outcome

    async def _forward(
        self,
        request: ServedRequest,
        placement: RemotePlacement,
        token: ClaimToken | None,
        replacement: Replacement,
    ) -> Outcome:
        permit = await permit_dispatch(self._dependencies.run_once, token)

        def check() -> None:
            permit.check()
            self._check.region(request, placement.region)

        check()
        return await self._forwarding.forward(
            request,
            placement.region,
            self._dependencies.catalogue.revision,
            check,
            final=True,
            claimed=token is not None,
            max_wait=placement.max_wait if request.call.idempotent else 0.0,
            find_replacement=lambda: replacement.find(placement.region),
        )
