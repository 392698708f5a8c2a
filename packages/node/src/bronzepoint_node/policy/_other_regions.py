"""What this host has learned of other regions by sending requests there."""

from random import Random

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.policy._backoff import RegionBackoff
from bronzepoint_node.policy._choose_region import (
    RegionTerms,
    away_terms,
    region_excluded,
)
from bronzepoint_node.policy._inputs import RegionView, RequestView
from bronzepoint_node.policy._sent_away import SentAway
from bronzepoint_node.policy._service_times import ServiceTimes
from bronzepoint_node.policy._warm_prefixes import WarmPrefixes
from bronzepoint_schema.generated.decisions import (
    Candidate,
    ExclusionReason,
    TryResult,
)
from bronzepoint_schema.ids import EntryName, RegionName

_SILENCE_PAUSE = 2.0
"""Least pause, in seconds, after a forwarded request was given up without an answer."""


class OtherRegions:
    """Weighs other regions by their summaries and by what became of earlier requests.

    Args:
        home: This host's region.
        rng: Source of the random lengths of pauses.
        metrics: Counts regions that refused or didn't answer.
    """

    def __init__(self, home: RegionName, rng: Random, metrics: Metrics) -> None:
        self._home = home
        self._rng = rng
        self._metrics = metrics
        self._backoffs: dict[tuple[EntryName, RegionName], RegionBackoff] = {}
        self._sent = SentAway()
        self._warm = WarmPrefixes()

    def weigh(
        self,
        request: RequestView,
        views: list[RegionView],
        times: ServiceTimes,
        hosts: int,
        now: float,
    ) -> tuple[list[RegionTerms], list[Candidate]]:
        """Return the terms of the regions that may serve it, and those ruled out.

        Args:
            request: What is to be placed.
            views: Summaries of all regions.
            times: What is known of the entry's durations.
            hosts: Live hosts of the home region: each is taken to have sent as much
                to another region as this one.
            now: Monotonic seconds.
        """
        terms: list[RegionTerms] = []
        ruled_out: list[Candidate] = []
        for view in views:
            if view.name == self._home:
                continue
            excluded = region_excluded(view, request, self._home)
            if excluded is not None:
                ruled_out.append(Candidate(view.name, view.name, 0, excluded))
                continue
            backoff = self._backoffs.get((request.entry, view.name))
            if backoff is not None and backoff.paused(now):
                full = ExclusionReason.full
                detail = "refused a request, or did not answer, a moment ago"
                ruled_out.append(Candidate(view.name, view.name, 0, full, detail))
                continue
            sent = self._sent.since(request.entry, view.name, now - view.age)
            warm = self._warm.warm_share(view.name, request.prefix_hashes, now)
            terms.append(away_terms(view, request, times, sent * hosts, warm))
        return terms, ruled_out

    def sent(self, entry: EntryName, region: RegionName, now: float) -> None:
        """Note that a request was forwarded."""
        self._sent.add(entry, region, now)
        backoff = self._backoffs.get((entry, region))
        if backoff is not None:
            backoff.sent(now)

    def ended(
        self, request: RequestView, region: RegionName, result: TryResult, now: float
    ) -> None:
        """Learn from the end of a forwarded request."""
        backoff = self._backoffs.setdefault((request.entry, region), RegionBackoff())
        match result:
            case TryResult.answered:
                backoff.answered()
                self._warm.add(region, request.prefix_hashes, now)
            case TryResult.cancelled:
                return
            case TryResult.timeout:
                backoff.refused(now, self._rng, _SILENCE_PAUSE)
                self._metrics.incr("away.silent")
            case _:
                backoff.refused(now, self._rng)
                self._metrics.incr("away.refused")


__all__ = ["OtherRegions"]
