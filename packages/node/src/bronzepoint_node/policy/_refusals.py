"""Refusals shared by the policy and the baselines."""

from bronzepoint_node.policy._inputs import RequestView
from bronzepoint_node.policy._outputs import Refused
from bronzepoint_schema.generated.decisions import Candidate, RefusalKind

_RETRY_SECONDS = 2.0
"""Retry-after of a request that no target or region can serve now."""


def no_target(request: RequestView, candidates: list[Candidate]) -> Refused:
    """Return the refusal of a request that no target may serve now."""
    message = f"No target of entry {request.entry!r} can be used now."
    remedy = (
        f"Send it again after {_RETRY_SECONDS:.0f} s; an operator sees the targets' "
        "states with 'bronzepoint targets'."
    )
    return Refused(
        RefusalKind.no_target,
        message,
        remedy,
        _RETRY_SECONDS,
        candidates,
        "no target may be used",
    )


def no_region(request: RequestView, candidates: list[Candidate]) -> Refused:
    """Return the refusal of a request whose allowed regions are unreachable."""
    allowed = ", ".join(request.allowed_regions or [])
    message = f"Residency allows only {allowed or 'no region'}, out of reach now."
    remedy = (
        f"Send it again after {_RETRY_SECONDS:.0f} s, or ask an operator for the "
        f"residency of entry {request.entry!r}."
    )
    return Refused(
        RefusalKind.region_unreachable,
        message,
        remedy,
        _RETRY_SECONDS,
        candidates,
        "no allowed region can be reached",
    )


__all__ = ["no_region", "no_target"]
