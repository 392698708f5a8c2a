"""Tries at other regions."""

from bronzepoint_node.entry._catalogue_check import CatalogueCheck
from bronzepoint_node.entry._collaborators import Collaborators
from bronzepoint_node.entry._dispatch_permit import permit_dispatch
from bronzepoint_node.entry._forwarding import Forwarding
from bronzepoint_node.entry._outcomes import Answered, Failed, Outcome, result_of
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_node.policy import Away, Ticket
from bronzepoint_node.run_once import ClaimToken
from bronzepoint_schema.generated.decisions import TryResult


class AwayTries:
    """Forwards requests that the policy sends to another region.

    Args:
        parts: The other parts of the daemon.
        check: The catalogue as it is now.
        forwarding: Sends to hosts of other regions.
    """

    def __init__(
        self, parts: Collaborators, check: CatalogueCheck, forwarding: Forwarding
    ) -> None:
        self._parts = parts
        self._check = check
        self._forwarding = forwarding

    async def try_region(
        self,
        request: ServedRequest,
        ticket: Ticket,
        placed: Away,
        token: ClaimToken | None,
    ) -> Outcome:
        """Try the chosen region; it serves the request or refuses it.

        Args:
            request: The request.
            ticket: What it holds of its limits.
            placed: The choice.
            token: The claim on its idempotency key, for non-idempotent ones.
        """
        outcome: Outcome = Failed(TryResult.cancelled, "")
        try:
            outcome = await self._forward(request, placed, token)
        finally:
            result = result_of(outcome)
            first = outcome.first_byte if isinstance(outcome, Answered) else None
            await self._parts.policy.try_ended(ticket, placed, result, first)
        return outcome

    async def _forward(
        self, request: ServedRequest, placed: Away, token: ClaimToken | None
    ) -> Outcome:
        permit = await permit_dispatch(self._parts.run_once, token)

        def check() -> None:
            permit.check()
            self._check.region(request, placed.region)

        check()
        return await self._forwarding.forward(
            request,
            placed.region,
            self._parts.catalogue.revision,
            check,
            final=True,
            claimed=token is not None,
            patience=placed.patience if request.call.idempotent else 0.0,
        )
