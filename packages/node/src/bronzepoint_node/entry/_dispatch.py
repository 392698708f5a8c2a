"""From a decision to an answer: placement, tries, and what follows a failed one."""

from bronzepoint_node.entry._away_tries import AwayTries
from bronzepoint_node.entry._catalogue_check import CatalogueCheck
from bronzepoint_node.entry._collaborators import Collaborators
from bronzepoint_node.entry._dispatch_refusals import (
    deadline_refused,
    refused_after,
    refused_by_policy,
)
from bronzepoint_node.entry._home_tries import HomeTries
from bronzepoint_node.entry._outcomes import Answered, Failed
from bronzepoint_node.entry._region_views import region_views
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_node.policy import (
    Away,
    Home,
    Placement,
    Refused,
    RegionView,
    TargetView,
    Ticket,
)
from bronzepoint_node.run_once import ClaimToken

MAX_TRIES = 5
"""Tries of one request over all targets and regions, whatever the budget allows."""


class Dispatcher:
    """Places requests and tries targets and regions until one answers.

    Args:
        parts: The other parts of the daemon.
        check: The catalogue as it is now.
        home_tries: Tries targets of this region.
        away_tries: Tries other regions.
    """

    def __init__(
        self,
        parts: Collaborators,
        check: CatalogueCheck,
        home_tries: HomeTries,
        away_tries: AwayTries,
    ) -> None:
        self._parts = parts
        self._check = check
        self._home_tries = home_tries
        self._away_tries = away_tries

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
        last: Failed | None = None
        for _ in range(MAX_TRIES):
            self._refresh(request, last)
            placed = await self._place(request, ticket)
            # Nothing may be awaited from here until the target counts the request.
            match placed:
                case Refused():
                    raise refused_by_policy(placed, last)
                case Home():
                    tries = self._home_tries
                    outcome = await tries.try_target(request, ticket, placed, token)
                case Away():
                    tries = self._away_tries
                    outcome = await tries.try_region(request, ticket, placed, token)
            if isinstance(outcome, Answered):
                return outcome
            if not self._retries(request, ticket, placed, outcome):
                raise refused_after(outcome)
            last = outcome
        raise refused_after(outcome)

    def _refresh(self, request: ServedRequest, last: Failed | None) -> None:
        """Bring what the policy sees up to date."""
        left = request.deadline_left()
        if left <= 0:
            raise deadline_refused(request) if last is None else refused_after(last)
        view = request.view
        view.deadline_left = left
        view.allowed_regions = request.allowed_by(self._check.entry(request))

    async def _place(self, request: ServedRequest, ticket: Ticket) -> Placement:
        parts = self._parts
        entry = request.entry

        def targets() -> list[TargetView]:
            return parts.targets.views(entry.name, request.view.prefix_hashes)

        def regions() -> list[RegionView]:
            return region_views(entry, list(parts.membership.regions().values()))

        placed = await parts.policy.place(ticket, targets, regions)
        request.trace.placed(placed)
        return placed

    def _retries(
        self,
        request: ServedRequest,
        ticket: Ticket,
        placed: Home | Away,
        failed: Failed,
    ) -> bool:
        """Return whether another try may follow, and rule out where this one was."""
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
