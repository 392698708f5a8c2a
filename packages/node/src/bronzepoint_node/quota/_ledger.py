"""Use of all organisations, summed by one counter over its own and others' reports."""

from collections.abc import Iterable, Mapping

from bronzepoint_node.fleet import Quota
from bronzepoint_schema.generated.quota import (
    QuotaLevel,
    QuotaReply,
    QuotaReport,
    QuotaStanding,
    QuotaSums,
    RegionUse,
)
from bronzepoint_schema.ids import HostName, OrganisationName, RegionName

from ._account import UNREACHABLE_AFTER, Account
from ._regions import RegionShares
from ._tolerance import Tolerance

REPORT_RETENTION = 2.5
"""Seconds after the last report of a region's hosts for which the region counts as
reporting to this counter."""
REGION_RETENTION = 60.0
"""Seconds for which a share of each quota is reserved for an unreachable region, which
may be partitioned and still serve its callers. After that it is considered failed."""
WARM_UP = 2.0
"""Seconds after its start in which a counter adopts the lower levels that hosts and
other counters report."""
LOW_LEVEL = 0.5
"""Share of a burst below which the level is sent to counters that have just started."""
NEAR_QUOTA_SHARE = 0.5
"""Demand, as a share of the allowed rate, above which an organisation counts as near
its quota."""


class _CounterSums:
    """Latest sums received from one incarnation of another counter."""

    def __init__(self, started: int) -> None:
        self.started = started
        self._sums: dict[tuple[OrganisationName, RegionName], tuple[int, int]] = {}

    def update(self, use: RegionUse) -> tuple[int, int]:
        """Store newer sums; return the units added since the previous ones."""
        key = (use.organisation, use.region)
        offered, charged = self._sums.get(key, (0, 0))
        self._sums[key] = (use.offered, use.charged)
        return use.offered - offered, use.charged - charged

    def update_all(self, uses: list[RegionUse]) -> None:
        """Store sums whose units are already contained in the levels."""
        for use in uses:
            self.update(use)


class Ledger:
    """Sums the reports of hosts, and merges the sums of other counters.

    Each counter sends cumulative sums since its start, so that messages may be lost,
    delayed or duplicated without harm.

    Args:
        tolerance: Tolerated use beyond quotas.
        regions: All configured regions, including those without any report so far.
        now: Monotonic seconds.

    Attributes:
        full_sums_due: True if a counter that appeared recently has not yet been sent
            all sums.
    """

    def __init__(
        self, tolerance: Tolerance, regions: Iterable[RegionName], now: float
    ) -> None:
        self._tolerance = tolerance
        self._started = now
        self._accounts: dict[OrganisationName, Account] = {}
        self._own_sums: dict[tuple[OrganisationName, RegionName], tuple[int, int]] = {}
        self._unsent: set[tuple[OrganisationName, RegionName]] = set()
        self._counter_sums: dict[HostName, _CounterSums] = {}
        self._last_reports: dict[HostName, tuple[int, int]] = {}
        self._last_report_at: dict[RegionName, float] = {}
        self._last_contact_at: dict[RegionName, float] = {}
        self._unseen = frozenset(regions)
        self._shares = RegionShares(frozenset(), self._unseen)
        self._near_quota: set[OrganisationName] = set()
        self.full_sums_due = True

    def set_quotas(self, quotas: Mapping[OrganisationName, Quota], now: float) -> None:
        """Apply the quotas that are in effect."""
        for name in self._accounts.keys() - quotas.keys():
            del self._accounts[name]
        for name, quota in quotas.items():
            account = self._accounts.get(name)
            if account is None:
                account = self._accounts[name] = Account(quota, self._shares, now)
            elif account.quota == quota:
                continue
            account.set_quota(quota, now)
            account.redistribute(self._shares, self._tolerance, now)

    def answer(self, host: HostName, report: QuotaReport, now: float) -> QuotaReply:
        """Record a host's report, and return the standings of its organisations."""
        number = (report.started, report.number)
        # A host repeats a report if the reply was lost.
        if self._last_reports.get(host) != number:
            self._last_reports[host] = number
            self._record_report(report, now)
        self._last_report_at[report.region] = now
        self._record_contact(report.region, now)
        wanted = {use.organisation for use in report.uses}
        return QuotaReply(self.standings(wanted, now))

    def _record_report(self, report: QuotaReport, now: float) -> None:
        for use in report.uses:
            key = (use.organisation, report.region)
            offered, charged = self._own_sums.get(key, (0, 0))
            self._own_sums[key] = (offered + use.offered, charged + use.charged)
            self._unsent.add(key)
            self._adopt_level(use.organisation, use.level, now)
            self._record_use(*key, use.offered, use.charged, 0.0, now)

    def merge_sums(self, counter: HostName, sums: QuotaSums, now: float) -> None:
        """Merge the sums of another counter."""
        since_contact = {
            region: now - self._last_contact_at.get(region, now)
            for region in sums.regions
        }
        for region in sums.regions:
            self._record_contact(region, now)
        counter_sums = self._counter_sums.get(counter)
        if counter_sums is None or counter_sums.started != sums.started:
            # It may have just started, and then it lacks the sums of this counter.
            self.full_sums_due = True
            if not sums.whole:
                return
            # The levels that it sends contain everything counted before this message.
            counter_sums = self._counter_sums[counter] = _CounterSums(sums.started)
            counter_sums.update_all(sums.uses)
        for use in sums.uses:
            offered, charged = counter_sums.update(use)
            self._record_use(
                use.organisation,
                use.region,
                offered,
                charged,
                since_contact.get(use.region, 0.0),
                now,
            )
            self._update_standing(use.organisation, now)
        for quota_level in sums.levels:
            self._adopt_level(quota_level.organisation, quota_level.level, now)

    def _adopt_level(self, name: OrganisationName, level: int, now: float) -> None:
        """Adopt a level from before the start of this counter."""
        account = self._accounts.get(name)
        if account is not None and now - self._started < WARM_UP:
            account.lower_level_to(level)

    def update_reachability(self, now: float) -> None:
        """Detect regions that have become unreachable, or reachable again."""
        # Idle hosts report rarely. Their region counts as reachable as long as it is
        # among those reporting here, which the other counters are sent too.
        self._last_contact_at.update(dict.fromkeys(self._reporting_regions(now), now))
        known_regions = {
            r for r, at in self._last_contact_at.items() if now - at <= REGION_RETENTION
        }
        unreachable = {
            r
            for r in known_regions
            if now - self._last_contact_at[r] > UNREACHABLE_AFTER
        }
        if now - self._started <= REGION_RETENTION:
            unreachable |= self._unseen
        shares = RegionShares(
            frozenset(known_regions - unreachable), frozenset(unreachable)
        )
        if shares == self._shares:
            return
        self._shares = shares
        for account in self._accounts.values():
            account.redistribute(shares, self._tolerance, now)

    def sums(self, started: int, whole: bool, now: float) -> QuotaSums:
        """Return the sums not yet sent to the other counters, or all sums.

        Args:
            started: Identifies this start of the counter.
            whole: Return all sums, also those that have been sent.
            now: Monotonic seconds.
        """
        keys = self._own_sums if whole else self._unsent
        uses = [RegionUse(*key, *self._own_sums[key]) for key in keys]
        self._unsent = set()
        if whole:
            self.full_sums_due = False
        regions = self._reporting_regions(now)
        levels = self._low_levels(now) if whole else []
        return QuotaSums(started, whole, sorted(regions), uses, levels)

    def _reporting_regions(self, now: float) -> list[RegionName]:
        return [
            r for r, at in self._last_report_at.items() if now - at <= REPORT_RETENTION
        ]

    def _low_levels(self, now: float) -> list[QuotaLevel]:
        levels = {name: a.level(now) for name, a in self._accounts.items()}
        return [
            QuotaLevel(name, round(level))
            for name, level in levels.items()
            if level < LOW_LEVEL * self._accounts[name].quota.burst
        ]

    def standings(
        self, wanted: set[OrganisationName], now: float
    ) -> list[QuotaStanding]:
        """Return the standings of ``wanted`` and all organisations near their quota."""
        return [
            standing
            for name in [*wanted, *(self._near_quota - wanted)]
            if (standing := self._update_standing(name, now)) is not None
            and (name in wanted or name in self._near_quota)
        ]

    def _update_standing(
        self, name: OrganisationName, now: float
    ) -> QuotaStanding | None:
        """Return an organisation's standing, and record whether it is near its quota.

        Called whenever use is recorded, so that the organisations near their quota are
        known without a scan over all of them.
        """
        account = self._accounts.get(name)
        if account is None:
            self._near_quota.discard(name)
            return None
        standing = account.standing(name, self._tolerance, now)
        if standing.demand > NEAR_QUOTA_SHARE * standing.allowed:
            self._near_quota.add(name)
        else:
            self._near_quota.discard(name)
        return standing

    def refused(self, name: OrganisationName) -> int:
        """Return the units of an organisation refused since this counter started."""
        account = self._accounts.get(name)
        return account.refused if account is not None else 0

    @property
    def shares(self) -> RegionShares:
        """Which regions are reachable."""
        return self._shares

    def _record_contact(self, region: RegionName, now: float) -> None:
        self._last_contact_at[region] = now
        self._unseen -= {region}
        if region in self._shares.unreachable or region not in self._shares.reachable:
            # The units withheld for it are restored before its own use is recorded.
            self.update_reachability(now)

    def _record_use(
        self,
        name: OrganisationName,
        region: RegionName,
        offered: int,
        charged: int,
        seconds: float,
        now: float,
    ) -> None:
        account = self._accounts.get(name)
        if account is not None:
            account.record_use(region, offered, charged, seconds, now)
