"""Baseline placement algorithms that the policy is compared with.

They ignore load reports and deadlines, and leave queueing to the targets.
"""

from itertools import count
from random import Random

from bronzepoint_node.policy._choose_region import region_exclusion, residency_allows
from bronzepoint_node.policy._choose_target import target_exclusion
from bronzepoint_node.policy._inputs import RegionView, RequestView, TargetView
from bronzepoint_node.policy._outputs import LocalPlacement, Placement, RemotePlacement
from bronzepoint_node.policy._refusals import no_region, no_target
from bronzepoint_schema.generated.decisions import Candidate
from bronzepoint_schema.generated.settings import PolicyChoice
from bronzepoint_schema.ids import RegionName


class Baseline:
    """Places requests by a baseline algorithm.

    Args:
        choice: The algorithm.
        region: This host's region.
        rng: Source of the random draws.
    """

    def __init__(self, choice: PolicyChoice, region: RegionName, rng: Random) -> None:
        self._choice = choice
        self._region = region
        self._rng = rng
        self._next_index = count(rng.randrange(1000))

    def place(
        self, request: RequestView, views: list[TargetView], regions: list[RegionView]
    ) -> Placement:
        """Place a request at once, whatever the load."""
        if self._choice is PolicyChoice.random_region and not request.forwarded:
            region = self._random_region(request, regions)
            if region != self._region:
                return RemotePlacement(
                    region, [Candidate(region, region)], "drawn at random"
                )
        if not residency_allows(request, self._region):
            return no_region(request, [])
        usable = [view for view in views if target_exclusion(view, request) is None]
        candidates = [Candidate(view.name, view.region) for view in views]
        if not usable:
            return no_target(request, candidates)
        target = self._choose_target(usable)
        return LocalPlacement(target, candidates, f"by {self._choice}")

    def _choose_target(self, usable: list[TargetView]) -> TargetView:
        match self._choice:
            case PolicyChoice.round_robin:
                return usable[next(self._next_index) % len(usable)]
            case PolicyChoice.least_in_progress:
                least = min(view.in_flight for view in usable)
                return self._rng.choice([v for v in usable if v.in_flight == least])
        return self._rng.choice(usable)

    def _random_region(
        self, request: RequestView, regions: list[RegionView]
    ) -> RegionName:
        allowed = [
            view
            for view in regions
            if region_exclusion(view, request, self._region) is None
        ]
        if not allowed:
            return self._region
        return self._rng.choice(allowed).name


__all__ = ["Baseline"]
