"""Refusals for requests that could not be placed, or whose tries failed."""

from bronzepoint_node.entry._outcomes import Failed
from bronzepoint_node.entry._refusals import RequestRefused, refused
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_node.policy import Refused
from bronzepoint_schema.generated.decisions import (
    ExclusionReason,
    RefusalKind,
    RetryReason,
    TryResult,
)
from bronzepoint_schema.ids import RegionName

RETRY_AFTER_FAILURE = 1.0
"""Seconds after which a request may be sent again when all its tries failed."""
RETRY_REGION = 5.0
"""Seconds after which a region that can't be reached may be reachable again."""
REGION_EXCLUSIONS = {
    ExclusionReason.unreachable,
    ExclusionReason.residency,
    ExclusionReason.not_ready,
}
"""Reasons that exclude a whole region, however busy its targets are."""


def deadline_refused(request: ServedRequest) -> RequestRefused:
    """Return the refusal for a request whose deadline passed before the send."""
    return refused(
        RefusalKind.deadline_unreachable,
        f"The deadline of {request.deadline:g} s passed before the request was sent.",
        "Send it again with a longer Bronzepoint-Deadline.",
        RETRY_AFTER_FAILURE,
    )


def residency_refused(request: ServedRequest, region: RegionName) -> RequestRefused:
    """Return the refusal for a request that may not be served in a region."""
    return refused(
        RefusalKind.residency,
        f"Entry {request.entry.name!r} may not be served in region {region} for a "
        f"caller of {request.caller.home}.",
        "Ask a host of an allowed region, or leave Bronzepoint-Residency out.",
    )


def refused_by_policy(placement: Refused, last: Failed | None = None) -> RequestRefused:
    """Return the refusal that the policy decided on.

    If a try has failed and no other target is left, the refusal reports the failure
    of that try, which tells the caller more than "no target".
    """
    if last is not None and placement.kind is RefusalKind.no_target:
        return refused_after_failure(last)
    if placement.kind is RefusalKind.no_target and _no_region_reachable(placement):
        return refused(
            RefusalKind.region_unreachable,
            "No region that may serve the request can be reached from this host.",
            "Ask a host of such a region, or try again later.",
            RETRY_REGION,
        )
    return refused(
        placement.kind, placement.message, placement.remedy, placement.retry_after
    )


def _no_region_reachable(placement: Refused) -> bool:
    reasons = {candidate.excluded for candidate in placement.candidates}
    return ExclusionReason.unreachable in reasons and reasons <= REGION_EXCLUSIONS


def refused_after_failure(failed: Failed) -> RequestRefused:
    """Return the refusal for a request whose last try failed."""
    if failed.refusal is not None:
        return RequestRefused(failed.refusal)
    remedy = "Send it again if it is idempotent, else with the same key."
    match failed:
        case Failed(region=region, reason=RetryReason.connect_failed) if region:
            kind = RefusalKind.region_unreachable
        case Failed(result=TryResult.cut):
            kind = RefusalKind.answer_cut
        case Failed(result=TryResult.refused_by_target, refusal=None):
            kind = RefusalKind.overloaded
        case _:
            kind = RefusalKind.target_failed
    retry_after = failed.retry_after or RETRY_AFTER_FAILURE
    message = f"No target answered; the last one tried: {failed.detail}."
    return refused(kind, message, remedy, retry_after)
