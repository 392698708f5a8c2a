"""Home or another region: the worth of the answer against its delay and its cost."""

from random import Random

from msgspec import Struct

from bronzepoint_node.policy._inputs import RegionView, RequestView
from bronzepoint_node.policy._outputs import RegionChoice
from bronzepoint_node.policy._ramp import AwayRamp
from bronzepoint_node.policy._service_times import ServiceTimes
from bronzepoint_schema.generated.decisions import Candidate, ExclusionReason
from bronzepoint_schema.ids import RegionName

_STALE_AFTER = 10.0
"""Seconds after which a summary of another region is not acted on."""
_RETURN_TOLERANCE = 0.2
"""Loss, as a share of the worth, that is accepted to bring work home slowly."""


class RegionTerms(Struct):
    """What serving in one region is expected to bring.

    Attributes:
        delay: seconds until the first token.
        cost: of the slot, in the operator's unit.
        sent_since: own requests sent there since the summary was made.
        warm_share: part of the prompt believed cached there.
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
        """Return the terms for the decision record."""
        return (
            f"delay {self.delay:.3f} s, cost {self.cost:.2f}, "
            f"warm {self.warm_share:.0%}, sent since {self.sent_since:.0f}"
        )


def away_terms(
    view: RegionView,
    request: RequestView,
    times: ServiceTimes,
    sent_since: float,
    warm_share: float,
) -> RegionTerms:
    """Return the terms of another region.

    Summaries are late, so what was sent there since is added: own requests as
    counted, and those of the other hosts as if they had sent as many.
    """
    uncached = request.prompt_tokens * (1 - warm_share)
    load = view.in_progress + sent_since
    over = max(0.0, load + 1 - view.slots)
    wait = max(view.expected_wait, over * times.hold / max(1, view.slots))
    delay = view.trip + wait + times.first_token(uncached)
    cost = view.cost * times.hold
    return RegionTerms(view, delay, cost, sent_since, warm_share)


def serves(request: RequestView, region: RegionName) -> bool:
    """Return whether residency lets a region serve a request."""
    allowed = request.allowed_regions
    return allowed is None or region in allowed


def region_excluded(
    view: RegionView, request: RequestView, home: RegionName
) -> ExclusionReason | None:
    """Return why a region may not be used at all, or None. Residency goes first."""
    if not serves(request, view.name):
        return ExclusionReason.residency
    if view.name in request.tried_regions:
        return ExclusionReason.tried
    if view.slots <= 0:
        return ExclusionReason.not_ready
    if view.name == home:
        return None
    if not view.reachable or view.hosts <= 0 or view.age > _STALE_AFTER:
        return ExclusionReason.unreachable
    return None


def draw_region(
    terms: list[RegionTerms], request: RequestView, rng: Random
) -> RegionTerms:
    """Return one of the regions that are nearly as good as the best.

    The draw is weighted by free slots: hosts that see the same summaries spread over
    the regions in proportion to what these can take.
    """
    best = min(item.loss(request) for item in terms)
    near = [item for item in terms if item.loss(request) <= best + 0.02]
    free = [
        max(0.5, item.view.slots - item.view.in_progress - item.sent_since)
        for item in near
    ]
    return rng.choices(near, weights=free)[0]


def choose_region(
    request: RequestView,
    left: float,
    here: RegionTerms | None,
    away: list[RegionTerms],
    ramp: AwayRamp,
    hysteresis: float,
    rng: Random,
    now: float,
) -> RegionChoice:
    """Choose between home and the allowed other regions.

    Args:
        request: What is to be placed.
        left: Seconds left until its deadline.
        here: Terms of the home region; None where it can't serve the request.
        away: Terms of the other regions that may serve it.
        ramp: The entry's share sent away.
        hysteresis: Advantage of another region below which requests stay.
        rng: Source of the random draws.
        now: Monotonic seconds.
    """
    in_time = [item for item in away if item.delay <= left]
    if not in_time:
        if here is not None:
            return _chosen(request, here, "no other region is better", here, away)
        if away:
            last = min(away, key=lambda item: item.loss(request))
            return _chosen(request, last, "only other regions serve it", here, away)
        return RegionChoice(None, [], "no allowed region can serve the entry")
    other = draw_region(in_time, request, rng)
    if here is None:
        return _chosen(request, other, "home can't serve it", here, away)
    if here.delay > left:
        # Refusing is the alternative, so the ramp doesn't hold this one back; the
        # other region refuses what it can't take.
        ramp.update(True, now)
        return _chosen(request, other, "home misses the deadline", here, away)
    advantage = here.loss(request) - other.loss(request)
    wants_away = advantage > hysteresis
    share = ramp.update(wants_away, now)
    if wants_away and rng.random() < share:
        reason = f"less loss than at home, share away {share:.0%}"
        return _chosen(request, other, reason, here, away)
    if wants_away:
        reason = f"stays while the share away rises from {share:.0%}"
        return _chosen(request, here, reason, here, away)
    if -advantage < _RETURN_TOLERANCE and rng.random() < share:
        reason = f"goes while the share away falls from {share:.0%}"
        return _chosen(request, other, reason, here, away)
    return _chosen(request, here, "least expected loss at home", here, away)


def _chosen(
    request: RequestView,
    chosen: RegionTerms,
    reason: str,
    here: RegionTerms | None,
    away: list[RegionTerms],
) -> RegionChoice:
    candidates = []
    for item in [*([here] if here else []), *away]:
        excluded = None if item is chosen else ExclusionReason.worse
        score = round(item.loss(request), 4)
        name = item.view.name
        candidates.append(Candidate(name, name, score, excluded, item.detail()))
    return RegionChoice(chosen.view.name, candidates, reason, chosen.delay)


__all__ = [
    "RegionTerms",
    "away_terms",
    "choose_region",
    "draw_region",
    "region_excluded",
    "serves",
]
