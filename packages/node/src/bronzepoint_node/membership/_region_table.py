"""Newest report of each region."""

import msgspec

from bronzepoint_node.membership._running_clock import RunningClock
from bronzepoint_node.membership._views import RegionSummary
from bronzepoint_schema.generated.membership import HostRecord, RegionReport
from bronzepoint_schema.ids import RegionName

_MAX_MISSED_REPORTS = 2
"""Reports that may be missed before a region's timeout starts."""
INCOMPLETE = 0
"""Sent instead of a sequence number if the list of hosts is missing."""
NO_HOSTS = 0
"""Sequence number of the list in a region's report to itself, which has no list."""


class _Stored(msgspec.Struct):
    report: RegionReport
    received_at: float
    complete: bool


class RegionTable:
    """Stores the newest report of each region and its age.

    Args:
        clock: Clock that excludes pauses of this process.
        unreachable_after: Seconds without a report, in addition to the reports that
            may be missed, after which a region counts as unreachable.
    """

    def __init__(self, clock: RunningClock, unreachable_after: float) -> None:
        self._clock = clock
        self._unreachable_after = unreachable_after
        self._stored: dict[RegionName, _Stored] = {}

    def merge(self, report: RegionReport) -> bool:
        """Merge a report that is newer or has the missing list; return if newer."""
        stored = self._stored.get(report.region)
        if stored is None:
            self._store(report, complete=_has_hosts(report))
            return True
        known = stored.report
        if report.sequence == known.sequence and report.hosts and not stored.complete:
            known.hosts = report.hosts
            known.hosts_sequence = report.hosts_sequence
            stored.complete = True
            return False
        if report.sequence <= known.sequence:
            return False
        if _has_hosts(report):
            self._store(report, complete=True)
            return True
        complete = stored.complete and report.hosts_sequence <= known.sequence
        updated = msgspec.structs.replace(report, hosts=known.hosts)
        self._store(updated, complete)
        return True

    def sequences(self) -> dict[str, int]:
        """Return the newest sequence number of each region, to send to other hosts."""
        return {
            name: stored.report.sequence if stored.complete else INCOMPLETE
            for name, stored in self._stored.items()
        }

    def newest_sequence(self, region: RegionName) -> int:
        """Return the newest known sequence number of a region; 0 before the first."""
        stored = self._stored.get(region)
        return INCOMPLETE if stored is None else stored.report.sequence

    def newer_reports(self, theirs: dict[str, int]) -> list[RegionReport]:
        """Return the reports that another host lacks, with lists only if changed."""
        reports = []
        for name, stored in self._stored.items():
            known = theirs.get(name, INCOMPLETE)
            if stored.report.sequence > known:
                reports.append(trim_hosts(stored.report, known))
        return reports

    def hosts(self, region: RegionName) -> list[HostRecord]:
        """Return the hosts that a region listed for forwarded requests."""
        stored = self._stored.get(region)
        return [] if stored is None else stored.report.hosts

    def summary(self, region: RegionName) -> RegionSummary:
        """Return the summary of a region."""
        stored = self._stored.get(region)
        if stored is None:
            return RegionSummary(region, reachable=False, live=0)
        age = self._clock.now() - stored.received_at
        missed = _MAX_MISSED_REPORTS * stored.report.interval
        return RegionSummary(
            name=region,
            reachable=age < self._unreachable_after + missed,
            live=stored.report.live,
            age=age,
            trip=stored.report.trip,
            entries=dict(stored.report.entries),
        )

    def regions(self) -> list[RegionName]:
        """Return the regions that have reported."""
        return list(self._stored)

    def _store(self, report: RegionReport, complete: bool) -> None:
        self._stored[report.region] = _Stored(report, self._clock.now(), complete)


def _has_hosts(report: RegionReport) -> bool:
    return bool(report.hosts) or report.hosts_sequence == NO_HOSTS


def trim_hosts(report: RegionReport, known: int) -> RegionReport:
    """Return a report without its list if the receiver already has that list."""
    if known >= report.hosts_sequence:
        return msgspec.structs.replace(report, hosts=[])
    return report
