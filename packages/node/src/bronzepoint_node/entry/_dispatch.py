"""Dispatch of admitted requests: placement, tries and retries."""

from bronzepoint_node.entry._catalogue_check import CatalogueCheck
from bronzepoint_node.entry._dependencies import Dependencies
from bronzepoint_node.entry._dispatch_refusals import (
    deadline_refused,
    refused_after_failure,
    refused_by_policy,
)
from bronzepoint_node.entry._local_tries import LocalTries
from bronzepoint_node.entry._outcomes import Answered, Failed
from bronzepoint_node.entry._region_views import region_views
from bronzepoint_node.entry._remote_tries import RemoteTries
from bronzepoint_node.entry._replacement import Replacement
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_node.policy import (
    LocalPlacement,
    Placement,
    Refused,
    RegionView,
    RemotePlacement,
    TargetView,
    Ticket,
)
from bronzepoint_node.run_once import ClaimToken
from bronzepoint_schema.generated.decisions import RetryReason

MAX_TRIES = 5
"""Tries of one request over all targets and regions, even if the retry budget allows
more."""


class Dispatcher:
    """Places a request and tries targets and regions until one of them answers.

    Args:
        dependencies: The other components of the daemon.
        check: Checks a request against the current catalogue.
        local_tries: Sends to targets of this region.
        remote_tries: Sends to other regions.
    """

    def __init__(
        self,
        dependencies: Dependencies,
        check: CatalogueCheck,
        local_tries: LocalTries,
        remote_tries: RemoteTries,
    ) -> None:
        self._dependencies = dependencies
        self._check = check
        self._local_tries = local_tries
        self._remote_tries = remote_tries

    async def run(
        self, request: ServedRequest, ticket: Ticket, token: ClaimToken | None
    ) -> Answered:
        """Send a request until it is answered or may not be retried.

        Args:
            request: The request.
            ticket: Admission of the request under its limits.
            token: The claim on the idempotency key; None: an idempotent request.

        Raises:
            RequestRefused: No target or region has answered the request.
            Disconnected: The caller closed the connection.
        """
        replacement = Replacement(self._dependencies, self._check, request, ticket)
        try:
            return await self._run(request, ticket, token, replacement)
        finally:
            replacement.release()

    async def _run(
        self,
        request: ServedRequest,
        ticket: Ticket,
        token: ClaimToken | None,
        replacement: Replacement,
    ) -> Answered:
        last: Failed | None = None
        for tries_left in reversed(range(MAX_TRIES)):
            placement = replacement.take()
            if placement is None:
                self._refresh_view(request, last)
                placement = await self._place(request, ticket)
            else:
                request.trace.record_placement(placement)
            replacement.is_allowed = tries_left > 0
            match placement:
                case Refused():
                    raise refused_by_policy(placement, last)
                case LocalPlacement():
                    tries = self._local_tries
                    outcome = await tries.try_target(request, ticket, placement, token)
                case RemotePlacement():
                    tries = self._remote_tries
                    outcome = await tries.try_region(
                        request, ticket, placement, token, replacement
                    )
            if isinstance(outcome, Answered):
                return outcome
            if not self._prepare_retry(request, ticket, placement, outcome):
                raise refused_after_failure(outcome)
            last = outcome
        raise refused_after_failure(outcome)

    def _refresh_view(self, request: ServedRequest, last: Failed | None) -> None:
        """Update the policy's view of a request before the next placement."""
        left = request.deadline_left()
        if left <= 0:
            raise (
                deadline_refused(request)
                if last is None
                else refused_after_failure(last)
            )
        view = request.view
        view.deadline_left = left
        view.allowed_regions = request.allowed_by(self._check.entry(request))

    async def _place(self, request: ServedRequest, ticket: Ticket) -> Placement:
        dependencies = self._dependencies
        entry = request.entry

        def targets() -> list[TargetView]:
            return dependencies.targets.views(entry.name, request.view.prefix_hashes)

        def regions() -> list[RegionView]:
            return region_views(entry, list(dependencies.membership.regions().values()))

        placement = await dependencies.policy.place(ticket, targets, regions)
        # Nothing may be awaited between the placement and the moment at which the
        # target counts the request as in progress.
        if isinstance(placement, LocalPlacement):
            name = placement.target.name
            dependencies.targets.begin(name, request.view.prefix_hashes)
        request.trace.record_placement(placement)
        return placement

    def _prepare_retry(
        self,
        request: ServedRequest,
        ticket: Ticket,
        placement: LocalPlacement | RemotePlacement,
        failed: Failed,
    ) -> bool:
        """Return whether to retry; if so, exclude the failed target or region."""
        if failed.started or failed.reason is None:
            return False
        if not failed.certain and not request.call.idempotent:
            return False
        if request.deadline_left() <= 0:
            return False
        region = placement.region if isinstance(placement, RemotePlacement) else None
        if not failed.granted and not self._dependencies.policy.may_retry(
            ticket, failed.reason, region
        ):
            return False
        request.trace.retried(failed.reason)
        if failed.reason is RetryReason.stale_connection and not request.fresh:
            # That a kept connection is closed says nothing about the other side.
            request.fresh = True
            return True
        match placement:
            case LocalPlacement(target):
                request.view.tried.append(target.name)
            case RemotePlacement(region):
                request.view.tried_regions.append(region)
        return True
