"""Plain ways of placing requests, to measure the policy against.

They look neither at reports nor at deadlines, and let the targets do the queueing.
"""

from itertools import count
from random import Random

from bronzepoint_node.policy._choose_region import region_excluded, serves
from bronzepoint_node.policy._choose_target import usable_state
from bronzepoint_node.policy._inputs import RegionView, RequestView, TargetView
from bronzepoint_node.policy._outputs import Away, Home, Placement
from bronzepoint_node.policy._refusals import no_region, no_target
from bronzepoint_schema.generated.decisions import Candidate
from bronzepoint_schema.generated.settings import PolicyChoice
from bronzepoint_schema.ids import RegionName


class Baseline:
    """Places requests by one of the plain ways.

    Args:
        choice: Which of them.
        region: This host's region.
        rng: Source of the random draws.
    """

    def __init__(self, choice: PolicyChoice, region: RegionName, rng: Random) -> None:
        self._choice = choice
        self._region = region
        self._rng = rng
        self._turns = count(rng.randrange(1000))

    def place(
        self, request: RequestView, views: list[TargetView], regions: list[RegionView]
    ) -> Placement:
        """Place a request at once, whatever the load is."""
        if self._choice is PolicyChoice.random_region and not request.forwarded:
            region = self._random_region(request, regions)
            if region != self._region:
                return Away(region, [Candidate(region, region)], "drawn at random")
        if not serves(request, self._region):
            return no_region(request, [])
        usable = [view for view in views if usable_state(view, request) is None]
        candidates = [Candidate(view.name, view.region) for view in views]
        if not usable:
            return no_target(request, candidates)
        target = self._target(usable)
        return Home(target, candidates, f"by {self._choice}")

    def _target(self, usable: list[TargetView]) -> TargetView:
        match self._choice:
            case PolicyChoice.round_robin:
                return usable[next(self._turns) % len(usable)]
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
            if region_excluded(view, request, self._region) is None
        ]
        if not allowed:
            return self._region
        return self._rng.choice(allowed).name


__all__ = ["Baseline"]
