"""Use of one organisation over all hosts, and what it may still use."""

from collections.abc import Mapping

from bronzepoint_node.fleet import Quota
from bronzepoint_schema.generated.quota import QuotaStanding
from bronzepoint_schema.ids import OrganisationName, RegionName

from ._rate_meter import RateMeter
from ._regions import RegionShares
from ._tolerance import Tolerance

HORIZON = 1.0
"""Seconds over which the units left in the bucket are released. It must be several
times the delay of updates between hosts, or the admitted rate would oscillate about
the quota."""
UNREACHABLE_AFTER = 0.8
"""Seconds without a report about a region after which it counts as partitioned."""
SAMPLE_INTERVAL = 1.0
"""Seconds between two samples of the use of each region. The older of the last two
samples was taken before any network partition that is detected now."""
LEVEL_PERIOD = UNREACHABLE_AFTER + 0.2
"""Seconds over which the highest level is taken. The last period and the current one
cover the time since the last report of a region that is found to be unreachable."""
TOLERANCE_SHARE = 0.25
"""Share of the tolerance that may be used, so that an organisation at its quota isn't
refused because hosts receive updates late."""


class Account:
    """A token bucket that many hosts charge, each with a short delay.

    Args:
        quota: Quota of the organisation.
        shares: Which regions are reachable.
        now: Monotonic seconds.

    Attributes:
        demand: Units per second of all requests.
        used: Units per second of the admitted requests.
        by_region: Units per second of the admitted requests in each region.
        refused: Units refused since the start.
    """

    def __init__(self, quota: Quota, shares: RegionShares, now: float) -> None:
        self.quota = quota
        self.demand = RateMeter()
        self.used = RateMeter()
        self.by_region: dict[RegionName, RateMeter] = {}
        self.refused = 0
        self._level = quota.burst * (
            1.0 if shares.all_reachable else shares.share_of(shares.reachable, {})
        )
        self._withheld = quota.burst - self._level
        self._refill_rate = quota.rate
        self._unreachable = shares.unreachable
        self._highest_level = self._level
        self._previous_highest_level = self._level
        self._level_period_at = now
        self._updated_at = now
        self._sampled_at = now
        self._use_sample: dict[RegionName, float] = {}
        self._previous_use_sample: dict[RegionName, float] = {}

    def set_quota(self, quota: Quota, now: float) -> None:
        """Change the quota; the units that a larger burst adds may be used at once."""
        self.advance(now)
        self._level += max(0.0, quota.burst - self.quota.burst)
        self._level = min(self._level, quota.burst)
        self._highest_level = self._previous_highest_level = self._level
        self.quota = quota
        self._refill_rate = quota.rate

    def redistribute(
        self,
        shares: RegionShares,
        tolerance: Tolerance,
        now: float,
    ) -> None:
        """Limit this side of a network partition to its share of the quota.

        Restores the full quota if all regions are reachable.

        Args:
            shares: Which regions are reachable.
            tolerance: Tolerated use beyond the quota.
            now: Monotonic seconds.
        """
        self.advance(now)
        rate = self.quota.rate
        if shares.all_reachable:
            self._refill_rate = rate
            self._level = min(self.quota.burst, self._level + self._withheld)
            self._withheld = 0.0
            self._unreachable = frozenset()
            return
        # Both sides of a partition use the samples that all had before it began. With
        # later samples their shares could add up to more than the quota.
        used = self._previous_use_sample
        share = shares.share_of(shares.reachable, used)
        max_rate = rate + TOLERANCE_SHARE * tolerance.rate(self.quota)
        self._refill_rate = min(rate, max_rate * share)
        self._restore_withheld(shares, used)
        new_share = shares.share_of(shares.unreachable - self._unreachable, used)
        # Until now those regions used the quota without this limit. They didn't hear of
        # the units used here since, so the level that they may have used up is the one
        # from before.
        level = max(0.0, self._highest_level, self._previous_highest_level)
        withheld = new_share * (level + rate * UNREACHABLE_AFTER)
        self._level -= withheld
        self._withheld += withheld
        self._unreachable = shares.unreachable

    def _restore_withheld(
        self, shares: RegionShares, used: Mapping[RegionName, float]
    ) -> None:
        """Restore the units withheld for regions that are reachable again."""
        returning = shares.share_of(self._unreachable - shares.unreachable, used)
        remaining = shares.share_of(self._unreachable & shares.unreachable, used)
        if returning > 0:
            restored = self._withheld * returning / (returning + remaining)
            self._level += restored
            self._withheld -= restored

    def _sample_use(self, now: float) -> None:
        if self._unreachable or now - self._sampled_at < SAMPLE_INTERVAL:
            return
        self._sampled_at = now
        self._previous_use_sample = self._use_sample
        self._use_sample = {r: meter.rate(now) for r, meter in self.by_region.items()}

    def record_use(
        self, region: RegionName, offered: int, charged: int, seconds: float, now: float
    ) -> None:
        """Record the requests of a region's callers, and the admitted ones of them.

        Args:
            region: Region of the hosts that received the requests.
            offered: Units of all requests.
            charged: Units of the admitted requests.
            seconds: Seconds over which the requests arrived; 0 if they are recent.
            now: Monotonic seconds.
        """
        self.advance(now)
        self._level -= charged
        spread = max(1.0, seconds)
        self.demand.add(offered / spread, now)
        self.used.add(charged / spread, now)
        self.by_region.setdefault(region, RateMeter()).add(charged / spread, now)
        self.refused += max(0, offered - charged)
        self._sample_use(now)

    def lower_level_to(self, level: float) -> None:
        """Lower the level to that of another counter, if that is less."""
        self._level = min(self._level, level)

    def level(self, now: float) -> float:
        """Return the units that may be used at once; negative: used in advance."""
        self.advance(now)
        return self._level

    def standing(
        self, name: OrganisationName, tolerance: Tolerance, now: float
    ) -> QuotaStanding:
        """Return the state of the quota that hosts admit requests by."""
        level = self.level(now)
        tolerated = TOLERANCE_SHARE * tolerance.units(self.quota)
        if self.quota.rate > 0:
            tolerated *= self._refill_rate / self.quota.rate
        allowed = self._refill_rate + (level + tolerated) / HORIZON
        return QuotaStanding(
            name,
            round(level),
            max(0, round(allowed)),
            round(self.demand.rate(now)),
            round(self.used.rate(now)),
        )

    def _capacity(self) -> float:
        """Return the capacity of the bucket, in units."""
        if not self._unreachable:
            return self.quota.burst
        return self.quota.burst * min(1.0, self._refill_rate / self.quota.rate)

    def advance(self, now: float) -> None:
        """Add the units that have accrued since the last call."""
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = max(self._updated_at, now)
        self._level = min(self._capacity(), self._level + self._refill_rate * elapsed)
        self._withheld += (self.quota.rate - self._refill_rate) * elapsed
        self._note_level(now)

    def _note_level(self, now: float) -> None:
        if now - self._level_period_at >= LEVEL_PERIOD:
            self._level_period_at = now
            self._previous_highest_level = self._highest_level
            self._highest_level = self._level
        self._highest_level = max(self._highest_level, self._level)
