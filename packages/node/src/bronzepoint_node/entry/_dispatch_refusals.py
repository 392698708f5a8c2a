"""Refusals of requests that were placed or tried."""

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
RETRY_REGION = 5.0
NOT_HERE = {
    ExclusionReason.unreachable,
    ExclusionReason.residency,
    ExclusionReason.not_ready,
}


def deadline_refused(request: ServedRequest) -> RequestRefused:
    """Make the refusal of a request whose deadline passed before it was sent."""
    return refused(
        RefusalKind.deadline_unreachable,
        f"The deadline of {request.deadline:g} s passed before it was sent.",
        "Send it again with a longer Bronzepoint-Deadline.",
        RETRY_AFTER_FAILURE,
    )


def residency_refused(request: ServedRequest, region: RegionName) -> RequestRefused:
    """Make the refusal of a request that may not be served in a region."""
    return refused(
        RefusalKind.residency,
        f"Entry {request.entry.name!r} may not be served in region {region} for a "
        f"caller of {request.caller.home}.",
        "Ask a host of an allowed region, or leave Bronzepoint-Residency out.",
    )


def refused_by_policy(placed: Refused, last: Failed | None = None) -> RequestRefused:
    """Make the refusal that the policy decided on.

    Where a try has failed and no other target is left, what the try met says more
    than that nothing is left.
    """
    if last is not None and placed.kind is RefusalKind.no_target:
        return refused_after(last)
    if placed.kind is RefusalKind.no_target and _is_cut_off(placed):
        return refused(
            RefusalKind.region_unreachable,
            "No region that may serve it can be reached from here.",
            "Ask a host of such a region, or come back.",
            RETRY_REGION,
        )
    return refused(placed.kind, placed.message, placed.remedy, placed.retry_after)


def _is_cut_off(placed: Refused) -> bool:
    reasons = {candidate.excluded for candidate in placed.candidates}
    return ExclusionReason.unreachable in reasons and reasons <= NOT_HERE


def refused_after(failed: Failed) -> RequestRefused:
    """Make the refusal that follows a failed last try."""
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
