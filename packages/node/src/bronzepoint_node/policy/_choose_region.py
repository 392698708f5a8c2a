"""Choice of a region by the expected delay and cost relative to the answer's worth."""

from random import Random

from msgspec import Struct

from bronzepoint_node.policy._inputs import RegionView, RequestView
from bronzepoint_node.policy._outputs import RegionChoice
from bronzepoint_node.policy._ramp import ForwardRamp
from bronzepoint_node.policy._service_times import ServiceTimes
from bronzepoint_schema.generated.decisions import Candidate, ExclusionReason
from bronzepoint_schema.ids import RegionName

_STALE_SECONDS = 10.0
"""Age from which the summary of another region is ignored."""
_MAX_RETURN_LOSS = 0.2
"""Additional loss, as a share of the worth, up to which requests are still forwarded
while the forwarded share falls, so that the load returns to this region slowly."""


class RegionEstimate(Struct):
    """Expected delay and cost of serving a request in one region.

    Attributes:
        view: summary of the region.
        delay: seconds until the first token.
        cost: cost of the slot, in the operator's unit.
        sent_since: estimated requests forwarded there since the summary was made, by
            all hosts of this region.
        warm_share: share of the prompt believed to be cached there.
    """

    view: RegionView
    delay: float
    cost: float
    sent_since: float = 0.0
    warm_share: float = 0.0

    def loss(self, request: RequestView) -> float:
        """Return the loss as a share of the worth; lower is better."""
        worth = max(request.worth, 1e-9)
        latency = request.latency_weight * self.delay
        return latency + request.cost_weight * self.cost / worth

    def detail(self) -> str:
        """Return the estimate as text for the decision record."""
        return (
            f"delay {self.delay:.3f} s, cost {self.cost:.2f}, "
            f"warm {self.warm_share:.0%}, sent since {self.sent_since:.0f}"
        )


def remote_estimate(
    view: RegionView,
    request: RequestView,
    times: ServiceTimes,
    sent_since: float,
    warm_share: float,
) -> RegionEstimate:
    """Return the estimate for another region.

    Summaries are late, so the requests forwarded since are added: this host's own as
    counted, and those of the other hosts as if they had forwarded as many.
    """
    uncached = request.prompt_tokens * (1 - warm_share)
    load = view.in_progress + sent_since
    excess_load = max(0.0, load + 1 - view.slots)
    wait = max(view.expected_wait, excess_load * times.hold / max(1, view.slots))
    delay = view.trip + wait + times.first_token(uncached)
    cost = view.cost * times.hold
    return RegionEstimate(view, delay, cost, sent_since, warm_share)


def residency_allows(request: RequestView, region: RegionName) -> bool:
    """Return whether residency allows a region to serve a request."""
    allowed = request.allowed_regions
    return allowed is None or region in allowed


def region_exclusion(
    view: RegionView, request: RequestView, own_region: RegionName
) -> ExclusionReason | None:
    """Return why a region may not be used at all, or None; residency comes first."""
    if not residency_allows(request, view.name):
        return ExclusionReason.residency
    if view.name in request.tried_regions:
        return ExclusionReason.tried
    if view.slots <= 0:
        return ExclusionReason.not_ready
    if view.name == own_region:
        return None
    if not view.reachable or view.hosts <= 0 or view.age > _STALE_SECONDS:
        return ExclusionReason.unreachable
    return None


def draw_region(
    estimates: list[RegionEstimate], request: RequestView, rng: Random
) -> RegionEstimate:
    """Draw one of the regions that are nearly as good as the best.

    The draw is weighted by free slots: hosts that see the same summaries spread their
    requests over the regions in proportion to their free capacity.
    """
    best = min(item.loss(request) for item in estimates)
    near = [item for item in estimates if item.loss(request) <= best + 0.02]
    free = [
        max(0.5, item.view.slots - item.view.in_progress - item.sent_since)
        for item in near
    ]
    return rng.choices(near, weights=free)[0]


def choose_region(
    request: RequestView,
    time_left: float,
    local: RegionEstimate | None,
    remote: list[RegionEstimate],
    ramp: ForwardRamp,
    hysteresis: float,
    rng: Random,
    now: float,
) -> RegionChoice:
    """Choose between this region and the allowed other regions.

    Args:
        request: The request to place.
        time_left: Seconds left until its deadline.
        local: Estimate for this region; None where it can't serve the request.
        remote: Estimates for the other regions that may serve it.
        ramp: The entry's share of forwarded requests.
        hysteresis: Advantage of another region, as a share of the worth, up to which
            requests are served in this region.
        rng: Source of the random draws.
        now: Monotonic seconds.
    """
    in_time = [item for item in remote if item.delay <= time_left]
    if not in_time:
        if local is not None:
            return _make_choice(
                request, local, "no other region is better", local, remote
            )
        if remote:
            last = min(remote, key=lambda item: item.loss(request))
            return _make_choice(
                request, last, "only other regions serve it", local, remote
            )
        return RegionChoice(None, [], "no allowed region can serve the entry")
    other = draw_region(in_time, request, rng)
    if local is None:
        return _make_choice(request, other, "home can't serve it", local, remote)
    if local.delay > time_left:
        # This region would have to refuse it, so the ramp doesn't apply; the other
        # region refuses what it can't serve.
        ramp.update(True, now)
        return _make_choice(request, other, "home misses the deadline", local, remote)
    advantage = local.loss(request) - other.loss(request)
    prefers_remote = advantage > hysteresis
    share = ramp.update(prefers_remote, now)
    if prefers_remote and rng.random() < share:
        reason = f"less loss than at home, forwarded share {share:.0%}"
        return _make_choice(request, other, reason, local, remote)
    if prefers_remote:
        reason = (
            f"served at home although the forwarding share is rising from {share:.0%}"
        )
        return _make_choice(request, local, reason, local, remote)
    if -advantage < _MAX_RETURN_LOSS and rng.random() < share:
        reason = f"forwarded although the forwarding share is falling from {share:.0%}"
        return _make_choice(request, other, reason, local, remote)
    return _make_choice(request, local, "least expected loss at home", local, remote)


def _make_choice(
    request: RequestView,
    chosen: RegionEstimate,
    reason: str,
    local: RegionEstimate | None,
    remote: list[RegionEstimate],
) -> RegionChoice:
    candidates = []
    for item in [*([local] if local else []), *remote]:
        excluded = None if item is chosen else ExclusionReason.worse
        score = round(item.loss(request), 4)
        name = item.view.name
        candidates.append(Candidate(name, name, score, excluded, item.detail()))
    return RegionChoice(chosen.view.name, candidates, reason, chosen.delay)


__all__ = [
    "RegionEstimate",
    "remote_estimate",
    "choose_region",
    "draw_region",
    "region_exclusion",
    "residency_allows",
]
