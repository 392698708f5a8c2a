"""Evaluation of other regions by their summaries and by forwarded requests."""

from random import Random

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.policy._backoff import RegionBackoff
from bronzepoint_node.policy._choose_region import (
    RegionEstimate,
    region_exclusion,
    remote_estimate,
)
from bronzepoint_node.policy._inputs import RegionView, RequestView
from bronzepoint_node.policy._recent_forwards import RecentForwards
from bronzepoint_node.policy._service_times import ServiceTimes
from bronzepoint_node.policy._warm_prefixes import WarmPrefixes
from bronzepoint_schema.generated.decisions import (
    Candidate,
    ExclusionReason,
    TryResult,
)
from bronzepoint_schema.ids import EntryName, RegionName

_TIMEOUT_PAUSE_SECONDS = 2.0
"""Shortest pause of a region after a forwarded request got no answer in time."""


class OtherRegions:
    """Evaluates other regions by their summaries and by earlier forwarded requests.

    Args:
        own_region: This host's region.
        rng: Source of the random lengths of pauses.
        metrics: Counts regions that refused or didn't answer.
    """

    def __init__(self, own_region: RegionName, rng: Random, metrics: Metrics) -> None:
        self._own_region = own_region
        self._rng = rng
        self._metrics = metrics
        self._backoffs: dict[tuple[EntryName, RegionName], RegionBackoff] = {}
        self._forwarded = RecentForwards()
        self._warm = WarmPrefixes()

    def evaluate(
        self,
        request: RequestView,
        views: list[RegionView],
        times: ServiceTimes,
        hosts: int,
        now: float,
    ) -> tuple[list[RegionEstimate], list[Candidate]]:
        """Return estimates for the regions that may serve a request, and the others.

        Args:
            request: The request to place.
            views: Summaries of all regions.
            times: Estimated durations of the entry's requests.
            hosts: Number of live hosts of this region; each is assumed to have
                forwarded as many requests as this one.
            now: Monotonic seconds.

        Returns:
            Estimates for the allowed regions, and the excluded ones as candidates.
        """
        estimates: list[RegionEstimate] = []
        excluded_regions: list[Candidate] = []
        for view in views:
            if view.name == self._own_region:
                continue
            excluded = region_exclusion(view, request, self._own_region)
            if excluded is not None:
                excluded_regions.append(Candidate(view.name, view.name, 0, excluded))
                continue
            backoff = self._backoffs.get((request.entry, view.name))
            if backoff is not None and backoff.is_paused(now):
                full = ExclusionReason.full
                detail = "recently refused a request or did not answer"
                excluded_regions.append(
                    Candidate(view.name, view.name, 0, full, detail)
                )
                continue
            forwards = self._forwarded.count_since(
                request.entry, view.name, now - view.age
            )
            warm = self._warm.warm_share(view.name, request.prefix_hashes, now)
            estimates.append(
                remote_estimate(view, request, times, forwards * hosts, warm)
            )
        return estimates, excluded_regions

    def record_sent(self, entry: EntryName, region: RegionName, now: float) -> None:
        """Record that a request was forwarded."""
        self._forwarded.add(entry, region, now)
        backoff = self._backoffs.get((entry, region))
        if backoff is not None:
            backoff.record_sent(now)

    def record_end(
        self, request: RequestView, region: RegionName, result: TryResult, now: float
    ) -> None:
        """Record the result of a forwarded request."""
        backoff = self._backoffs.setdefault((request.entry, region), RegionBackoff())
        match result:
            case TryResult.answered:
                backoff.record_answer()
                self._warm.add(region, request.prefix_hashes, now)
            case TryResult.cancelled:
                return
            case TryResult.timeout:
                backoff.record_refusal(now, self._rng, _TIMEOUT_PAUSE_SECONDS)
                self._metrics.incr("away.silent")
            case _:
                backoff.record_refusal(now, self._rng)
                self._metrics.incr("away.refused")


__all__ = ["OtherRegions"]
