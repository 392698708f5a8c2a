"""Choice of a target in this region by expected loss."""

import math
from random import Random

from msgspec import Struct

from bronzepoint_node.policy._aged_load import AgedLoad, estimate_aged_loads
from bronzepoint_node.policy._inputs import RequestView, TargetState, TargetView
from bronzepoint_node.policy._load_estimate import estimate_loads
from bronzepoint_node.policy._outputs import TargetChoice
from bronzepoint_node.policy._rendezvous import first_ranked
from bronzepoint_node.policy._service_times import ServiceTimes
from bronzepoint_node.policy._spread_choice import EvenSequence, spread_weights
from bronzepoint_schema.generated.decisions import Candidate, ExclusionReason
from bronzepoint_schema.ids import TargetName

_AFFINITY_LOAD_FACTOR = 1.25
"""A target whose load exceeds this multiple of the mean load per slot gets no credit
for its cached prefixes."""
_AFFINITY_MIN_UTILISATION = 0.75
"""A target with less than this share of its slots in use always gets the credit."""
_PREFERRED_TARGET_DISCOUNT = 0.5
"""Share of the uncached tokens that isn't charged to the preferred target of a prefix.
With it all hosts send a new prefix to the same target without exchanging messages."""
_DUPLICATE_PREFIX_PENALTY = 0.1
"""Share of the prompt's tokens that is charged to a target other than the preferred
one, cached or not: a second copy of a prefix displaces a rare one."""
_PREFIX_KEY_BLOCK = 3
"""Index of the block whose hash selects the preferred target. Later blocks are usually
specific to one request."""
_BATCH_SLOWDOWN_SHARE = 0.25
"""Share of the hold time by which a full target is assumed to be slower than an idle
one."""
_COPY_COST_RATIO = 0.2
"""Cost of copying a cached token relative to computing it."""
_SCORE_MARGIN = 0.05
"""Scores that differ by less than this share of the hold time count as equal: the
estimates are no more precise."""
_MIN_UNKNOWN_STARTS = 0.5
"""Expected starts of other hosts, over all targets, below which the loads count as
exact."""


class TargetEstimate(Struct):
    """The components of one target's score, in seconds unless stated otherwise.

    Attributes:
        load: number of requests estimated to be in progress there.
        wait: time until a slot is free.
        first_token: time from the start to the first token, uncached tokens included.
        busy: estimated slowdown by other requests in the batch.
        reread: weighted time to compute or copy tokens that another target has cached.
        cost: cost of the slot, in the operator's unit.
        neighbours: weighted time for which reading the prompt delays all streams that
            run beside it.
        detour: seconds by which it must be better than a target nearby.
    """

    load: float
    wait: float
    first_token: float
    busy: float
    reread: float
    cost: float
    neighbours: float = 0.0
    detour: float = 0.0

    def delay(self) -> float:
        """Return the seconds until the first token."""
        return self.wait + self.first_token

    def loss(self, request: RequestView) -> float:
        """Return the loss of this request, as a share of its worth."""
        latency = request.latency_weight * (self.delay() + self.busy)
        if not request.cost_weight:
            return latency
        worth = max(request.worth, 1e-9)
        return latency + request.cost_weight * self.cost / worth

    def score(self, request: RequestView) -> float:
        """Return the loss including the cost to other requests; lower is better."""
        added = self.reread + self.neighbours + self.detour
        return self.loss(request) + request.latency_weight * added

    def detail(self) -> str:
        """Return the components as text for the decision record."""
        return (
            f"load {self.load:.1f}, wait {self.wait:.3f} s, "
            f"first token {self.first_token:.3f} s, cost {self.cost:.2f}"
        )


def target_exclusion(view: TargetView, request: RequestView) -> ExclusionReason | None:
    """Return why a target may not be used at all, or None."""
    if view.name in request.tried:
        return ExclusionReason.tried
    if view.state is TargetState.ready:
        return None
    match view.state:
        case TargetState.leaving:
            return ExclusionReason.leaving
        case TargetState.ejected:
            return ExclusionReason.ejected
        case TargetState.unknown:
            return ExclusionReason.not_ready
    return None


def has_free_capacity(
    view: TargetView, load: float, hosts: int, memory_tokens: int = 0
) -> bool:
    """Return whether one more request may start at a target.

    A host may always use its equal share of the slots. With the estimate alone, a late
    report of other hosts' requests could keep a host idle while its callers wait.
    """
    if memory_tokens > view.free_tokens:
        # The engine would reject it, or preempt requests whose prompts are then
        # computed again.
        return False
    if view.allowed is not None and view.in_flight >= view.allowed:
        return False
    own_share = view.slots // max(1, hosts)
    return load < view.slots or view.in_flight < own_share


def may_have_capacity(in_flight: int, slots: int) -> bool:
    """Return whether `has_free_capacity` can be true for any estimate of the load.

    Estimates are never below the known number of requests in progress.
    """
    return in_flight < slots


def credited_cache(
    view: TargetView, load: float, mean_load: float, request: RequestView
) -> int:
    """Return the tokens of a prompt that count as cached at a target.

    A cached prefix attracts all its requests to one target. The credit ends at a bound
    above the mean load; otherwise a popular prefix would overload the target that holds
    it while others are idle.
    """
    if load > _affinity_load_limit(view, mean_load):
        return 0
    return min(view.cached_tokens, request.prompt_tokens)


def _affinity_load_limit(view: TargetView, mean_load: float) -> float:
    return (
        max(_AFFINITY_MIN_UTILISATION, _AFFINITY_LOAD_FACTOR * mean_load) * view.slots
    )


def estimate_target(
    view: TargetView,
    load: float,
    mean_load: float,
    max_cached: int,
    request: RequestView,
    times: ServiceTimes,
    is_preferred: bool,
    now: float,
) -> TargetEstimate:
    """Return the components of one target's score.

    Args:
        view: The target.
        load: Requests estimated to be in progress there.
        mean_load: Requests per slot, over all targets.
        max_cached: Largest number of the prompt's tokens that a target has cached and
            can provide.
        request: The request to place.
        times: Estimated durations of the entry's requests.
        is_preferred: Whether it is the preferred target of the prompt's prefix.
        now: Monotonic seconds.
    """
    reading, writing = view.reading_factor, view.writing_factor
    slowness = times.slowness(view.name, now) if reading is None else reading
    within_bound = load <= _affinity_load_limit(view, mean_load)
    cached = min(view.cached_tokens, request.prompt_tokens) if within_bound else 0
    fetched, fetching = 0, 0.0
    if request.copy_seconds < times.per_token:
        fetched = max(0, max_cached - cached)
        fetching = fetched * request.copy_seconds
    uncached = request.prompt_tokens - cached - fetched
    reading_time = uncached * times.per_token * slowness
    if is_preferred and within_bound:
        uncached *= 1 - _PREFERRED_TARGET_DISCOUNT
    elif not is_preferred:
        uncached += _DUPLICATE_PREFIX_PENALTY * request.prompt_tokens
    excess_load = max(0.0, load + 1 - view.slots)
    hold = times.hold * (slowness if writing is None else writing)
    reread = 0.0
    if fetched or max_cached > cached:
        reread = request.reread_weight * times.per_token
        reread *= _COPY_COST_RATIO * fetched + max(0, max_cached - cached - fetched)
    return TargetEstimate(
        load=load,
        wait=excess_load * hold / view.slots + view.backlog * slowness,
        first_token=fetching + times.first_token(uncached, slowness),
        busy=_BATCH_SLOWDOWN_SHARE * hold * load / view.slots,
        reread=reread,
        cost=view.cost * hold,
        neighbours=request.neighbour_weight * reading_time * load,
        detour=view.detour,
    )


def preferred_target(
    request: RequestView, views: list[TargetView]
) -> TargetName | None:
    """Return the preferred target of a prompt's prefix among the usable ones.

    The cache contents are known late and with gaps. If hosts relied on them alone, each
    would send a rare prefix to another target, all targets would hold the same popular
    prefixes, and no target the rare ones.
    """
    if not request.prefix_hashes:
        return None
    key = request.prefix_hashes[min(_PREFIX_KEY_BLOCK, len(request.prefix_hashes) - 1)]
    return first_ranked(key, tuple(view.name for view in views)) if views else None


def choose_target(
    request: RequestView,
    views: list[TargetView],
    times: ServiceTimes,
    hosts: int,
    report_memory: float,
    rng: Random,
    now: float,
    explain: bool = True,
    choosers: int = 1,
    sequence: EvenSequence | None = None,
) -> TargetChoice:
    """Choose the target with free capacity that has the least expected loss.

    Among nearly equal targets, one is drawn at random. Hosts that decide on the same
    late reports would otherwise all choose the same one. If several hosts choose, the
    draw is the more even the more requests of other hosts have started since the
    reports.

    Args:
        request: The request to place.
        views: The entry's targets in this region.
        times: Estimated durations of the entry's requests.
        hosts: Number of live hosts of this region, this one included.
        report_memory: Seconds after which a report's weight has decayed to 1/e.
        rng: Source of the random draws.
        now: Monotonic seconds.
        explain: Include the score of each candidate, for a decision record.
        choosers: Number of hosts that choose among these targets, this one included.
            1: no other host's requests can have started since the reports, or the draw
            is not to depend on their age.
        sequence: This host's sequence for the service; None: each draw is independent.
    """
    aged: list[AgedLoad] = []
    if choosers > 1:
        holds = [times.hold * times.slowness(view.name, now) for view in views]
        aged = estimate_aged_loads(views, holds, choosers)
        loads = [item.load for item in aged]
    else:
        loads = estimate_loads(views, report_memory)
    mean_load = sum(loads) / max(1, sum(view.slots for view in views))
    candidates: list[Candidate] = []
    usable: list[_ScoredTarget] = []
    for number, (view, load) in enumerate(zip(views, loads, strict=True)):
        excluded = target_exclusion(view, request)
        candidate = None
        if explain:
            candidate = Candidate(view.name, view.region, excluded=excluded)
            candidates.append(candidate)
        if excluded is None:
            scored = _ScoredTarget(view, load, candidate)
            scored.aged = aged[number] if aged else None
            usable.append(scored)
    with_capacity, least_full_loss = _score_targets(
        usable, mean_load, request, times, hosts, now
    )
    if not with_capacity:
        reason = "no target has free capacity" if usable else "no target may be used"
        return TargetChoice(None, candidates, reason, len(usable))
    margin = _SCORE_MARGIN * request.latency_weight * times.hold
    least_loss = min(scored.loss for scored in with_capacity)
    if least_full_loss + margin < least_loss:
        # Free capacity exists only at a slow target: waiting for a slot elsewhere is
        # faster. The cache of a full target isn't counted here: requests would wait
        # for that target, and be refused, while others are idle.
        reason = "waiting for a full target is faster"
        return TargetChoice(None, candidates, reason, len(usable))
    if sum(item.starts for item in aged) >= _MIN_UNKNOWN_STARTS:
        chosen, near = _draw_spread(
            with_capacity, request, sequence or EvenSequence(rng)
        )
        reason = f"spread by the age of the reports over {near} targets"
    else:
        best = min(scored.score for scored in with_capacity)
        near = [scored for scored in with_capacity if scored.score <= best + margin]
        chosen = rng.choice(near)
        reason = f"least expected loss; {len(near)} within the margin, drawn at random"
    for scored in with_capacity:
        if scored.candidate is not None and scored is not chosen:
            scored.candidate.excluded = ExclusionReason.worse
    delay, wait = chosen.estimate.delay(), chosen.estimate.wait
    return TargetChoice(chosen.view, candidates, reason, len(usable), delay, wait)


class _ScoredTarget(Struct):
    """A usable target with its score."""

    view: TargetView
    load: float
    candidate: Candidate | None
    score: float = math.inf
    loss: float = math.inf
    estimate: TargetEstimate | None = None
    aged: AgedLoad | None = None

    @property
    def occupied(self) -> float:
        """Return the number of requests that may make the target full."""
        return self.load if self.aged is None else self.aged.occupied


def _draw_spread(
    scored_targets: list[_ScoredTarget],
    request: RequestView,
    sequence: EvenSequence,
) -> tuple[_ScoredTarget, int]:
    """Draw a target by the age of the reports; return it and how many were possible."""
    aged = [scored.aged for scored in scored_targets]
    per_slot = request.latency_weight * _BATCH_SLOWDOWN_SHARE
    slopes, room = [], []
    for scored in scored_targets:
        slots = scored.view.slots
        slopes.append(per_slot * scored.aged.hold / slots)
        room.append(slots - scored.aged.certain)
    scores = [scored.score for scored in scored_targets]
    weights = spread_weights(scores, slopes, aged, room)
    chosen = scored_targets[sequence.draw(weights)]
    return chosen, sum(weight > 0 for weight in weights)


def _any_free(usable: list[_ScoredTarget], request: RequestView, hosts: int) -> bool:
    return any(
        has_free_capacity(scored.view, scored.occupied, hosts, request.memory_tokens)
        for scored in usable
    )


def _score_targets(
    usable: list[_ScoredTarget],
    mean_load: float,
    request: RequestView,
    times: ServiceTimes,
    hosts: int,
    now: float,
) -> tuple[list[_ScoredTarget], float]:
    """Return the targets with free capacity, and the least loss of a full one."""
    if usable and usable[0].candidate is None and not _any_free(usable, request, hosts):
        # Without a free target the scores decide nothing.
        return [], math.inf
    preferred = preferred_target(request, [scored.view for scored in usable])
    max_cached = 0
    for scored in usable:
        if scored.view.cached_tokens > max_cached:
            cached = credited_cache(scored.view, scored.load, mean_load, request)
            max_cached = max(max_cached, cached)
    with_capacity: list[_ScoredTarget] = []
    least_full_loss = math.inf
    for scored in usable:
        view, load = scored.view, scored.load
        estimate = estimate_target(
            view,
            load,
            mean_load,
            max_cached,
            request,
            times,
            view.name == preferred,
            now,
        )
        scored.estimate = estimate
        scored.loss = estimate.loss(request)
        added = estimate.reread + estimate.neighbours + estimate.detour
        scored.score = scored.loss + request.latency_weight * added
        if scored.candidate is not None:
            scored.candidate.score = round(scored.score, 4)
            scored.candidate.detail = estimate.detail()
        if has_free_capacity(view, scored.occupied, hosts, request.memory_tokens):
            with_capacity.append(scored)
            continue
        if scored.candidate is not None:
            scored.candidate.excluded = ExclusionReason.full
        least_full_loss = min(least_full_loss, scored.loss)
    return with_capacity, least_full_loss


__all__ = [
    "TargetEstimate",
    "choose_target",
    "credited_cache",
    "estimate_target",
    "has_free_capacity",
    "may_have_capacity",
    "preferred_target",
    "target_exclusion",
]
