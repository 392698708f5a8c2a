"""Reports between regions, sent by a few reporter hosts of each region."""

import time
from collections import Counter

import curio
import msgspec

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_node.membership._host_table import HostTable
from bronzepoint_node.membership._load_shares import LoadShares
from bronzepoint_node.membership._region_table import (
    INCOMPLETE,
    NO_HOSTS,
    RegionTable,
    trim_hosts,
)
from bronzepoint_node.membership._running_clock import RunningClock
from bronzepoint_node.membership._views import HostState, LoadSummary
from bronzepoint_schema.generated.membership import (
    EntryLoad,
    HostRecord,
    LoadShare,
    RegionHosts,
    RegionHostsRequest,
    RegionReport,
    ReportSeen,
)
from bronzepoint_schema.ids import EntryName, HostName, RegionName

REPORTERS_PER_REGION = 2
"""Hosts of a region that report; two, since one may fail between two reports."""
LISTED_HOSTS = 6
"""Number of hosts that a region lists to another one for forwarded requests."""
_SHARE_LIFETIMES = 3
"""Report intervals after which a host's share of the load expires."""
_ROUND_TRIP_WEIGHT = 0.3
"""Weight of a new sample in the moving average of the round-trip time."""
_CALL_TIMEOUT = 1.0
"""Seconds to wait for the reply to a report."""
_MIN_INTERVAL = 1.0
"""Minimum seconds between two reports."""
_REGIONS_PER_SECOND = 3
"""Maximum reports of regions per second that a host should receive."""
_SHARES_PER_SECOND = 8
"""Maximum load shares per second that a reporter should receive."""
_SEED_ROUNDS = 4
"""Rounds between two reports to hosts from the settings."""
_LOST_ROUNDS = 4
"""Rounds in a row without an answer of a region after which other regions are asked for
its hosts. All those known here may have been replaced."""


class RegionReporter:
    """Sums up its region's load and reports it to other regions, if it is a reporter.

    Reporters are selected from the live hosts by rendezvous hashing, so a dead one is
    replaced without consensus. If hosts disagree on the selection, more of them
    report, which is harmless because reports are ordered by sequence number.

    Args:
        peers: Connections to the other hosts.
        hosts: Hosts of the region.
        regions: Reports of regions.
        clock: Clock that excludes pauses of this process.
        metrics: Counts reports.
    """

    def __init__(
        self,
        peers: Peers,
        hosts: HostTable,
        regions: RegionTable,
        clock: RunningClock,
        metrics: Metrics,
    ) -> None:
        self._peers = peers
        self._hosts = hosts
        self._regions = regions
        self._metrics = metrics
        self._shares = LoadShares(clock)
        self._seeds: dict[RegionName, list[HostRecord]] = {}
        self._listed: dict[RegionName, tuple[int, list[HostRecord]]] = {}
        self._round_trips: dict[RegionName, float] = {}
        self._acknowledged: dict[HostName, int] = {}
        self._failed_rounds: Counter[RegionName] = Counter()
        self._told_hosts: dict[RegionName, list[HostRecord]] = {}
        self._round = 0

    def add_seed(self, record: HostRecord) -> None:
        """Add or replace a host of another region from the settings."""
        seeds = self._seeds.get(record.region, [])
        others = [seed for seed in seeds if seed.name != record.name]
        self._seeds[record.region] = [*others, record]

    @property
    def interval(self) -> float:
        """Seconds between two reports."""
        return report_interval(len(self.other_regions()) + 1, len(self._live_hosts()))

    def other_regions(self) -> list[RegionName]:
        """Return the known regions without this host's own."""
        known = {*self._seeds, *self._regions.regions()}
        return sorted(known - {self._hosts.own.region})

    def seeds(self, region: RegionName) -> list[HostRecord]:
        """Return the hosts of another region from the settings."""
        return self._seeds.get(region, [])

    def reporters(self) -> list[HostName]:
        """Return the reporters of this region according to this host's view."""
        own = self._hosts.own
        return rendezvous_order(f"relay {own.region}", self._live_hosts())[
            :REPORTERS_PER_REGION
        ]

    def put_share(self, host: HostName, share: LoadShare) -> None:
        """Store the load that a host of the region reported."""
        self._shares.put(host, share.entries)

    async def round(self, load: LoadSummary) -> None:
        """Send this host's load to the reporters; as a reporter, send the report."""
        self._round += 1
        reporters = self.reporters()
        share = LoadShare(load.entries)
        for name in reporters:
            if name == self._hosts.own.name:
                self.put_share(name, share)
            else:
                self._peers.post(name, Area.MEMBERSHIP, share)
        if self._hosts.own.name not in reporters:
            return
        rank = reporters.index(self._hosts.own.name)
        report = self._make_own_report()
        self._regions.merge(report)
        async with curio.TaskGroup() as group:
            for region in self.other_regions():
                await group.spawn(self._report_to, region, report, rank)

    def merge(self, report: RegionReport) -> ReportSeen:
        """Merge another region's report; return the newest sequence number known."""
        self._regions.merge(report)
        newest = self._regions.sequences().get(report.region, INCOMPLETE)
        return ReportSeen(newest)

    def _make_own_report(self) -> RegionReport:
        own = self._hosts.own
        known = self._regions.newest_sequence(own.region)
        # The first number is the time, so that after a restart of all hosts the
        # numbers are not below those that other regions have received.
        sequence = known + 1 if known else int(time.time())
        return RegionReport(
            region=own.region,
            sequence=sequence,
            live=len(self._live_hosts()),
            hosts_sequence=NO_HOSTS,
            entries=self._sum_load(),
            interval=self.interval,
        )

    def _sum_load(self) -> dict[EntryName, EntryLoad]:
        return self._shares.sum(_SHARE_LIFETIMES * self.interval)

    async def _report_to(
        self, region: RegionName, own_report: RegionReport, rank: int
    ) -> None:
        contacts = self._contacts_for_round(region)
        if not contacts:
            return
        contact = contacts[(self._round + rank) % len(contacts)].name
        hosts_sequence, hosts = self._list_hosts(region, own_report.sequence)
        report = msgspec.structs.replace(
            own_report,
            hosts_sequence=hosts_sequence,
            hosts=hosts,
            trip=self._round_trips.get(region, 0.0),
        )
        report = trim_hosts(report, self._acknowledged.get(contact, INCOMPLETE))
        self._metrics.incr("membership.reports")
        started = time.monotonic()
        try:
            seen = await self._peers.call(
                contact, Area.MEMBERSHIP, report, _CALL_TIMEOUT
            )
        except PeerError as exc:
            self._metrics.incr(f"membership.report_failed.{type(exc).__name__}")
            self._acknowledged.pop(contact, None)
            self._failed_rounds[region] += 1
            if self._failed_rounds[region] >= _LOST_ROUNDS:
                await self._ask_other_regions(region)
            return
        self._failed_rounds.pop(region, None)
        self._told_hosts.pop(region, None)
        self._record_round_trip(region, time.monotonic() - started)
        if isinstance(seen, ReportSeen):
            self._acknowledged[contact] = seen.sequence
            self._advance_sequence(seen.sequence)

    def hosts_of(self, region: RegionName) -> RegionHosts:
        """Return the hosts that a region has listed to this one."""
        return RegionHosts(self._regions.hosts(region))

    async def _ask_other_regions(self, lost: RegionName) -> None:
        """Ask a host of another region for hosts of a region that can't be reached."""
        regions = [name for name in self.other_regions() if name != lost]
        hosts = [host for name in regions for host in self._contacts_for_round(name)]
        if not hosts:
            return
        asked = hosts[self._round % len(hosts)].name
        self._metrics.incr("membership.region_hosts_asked")
        request = RegionHostsRequest(lost)
        try:
            answer = await self._peers.call(
                asked, Area.MEMBERSHIP, request, _CALL_TIMEOUT
            )
        except PeerError as exc:
            self._metrics.incr(f"membership.report_failed.{type(exc).__name__}")
            return
        if isinstance(answer, RegionHosts) and answer.hosts:
            for record in answer.hosts:
                self._peers.set_address(record.name, record.peer)
            self._told_hosts[lost] = answer.hosts

    def _advance_sequence(self, sequence: int) -> None:
        """Continue above a sequence number that others have received of this region.

        If the clock was set back before the whole region restarted, other regions
        would ignore its reports until the numbers exceed those of before.
        """
        own = self._regions.newest_sequence(self._hosts.own.region)
        if sequence > own:
            report = self._make_own_report()
            report.sequence = sequence + 1
            self._regions.merge(report)
            # Other regions would treat lists with lower numbers as already received.
            self._listed.clear()

    def _list_hosts(
        self, region: RegionName, sequence: int
    ) -> tuple[int, list[HostRecord]]:
        """Return the hosts for a region's requests, and the list's sequence number.

        Each other region gets a different short list, so that forwarded requests are
        spread over all hosts and the size of a report does not grow with their number.
        """
        key = f"forward {self._hosts.own.region} {region}"
        names = rendezvous_order(key, self._live_hosts())[:LISTED_HOSTS]
        hosts = self._hosts.records(names)
        former = self._listed.get(region)
        if former is None or former[1] != hosts:
            self._listed[region] = (sequence, hosts)
        return self._listed[region]

    def _contacts_for_round(self, region: RegionName) -> list[HostRecord]:
        """Return the candidate receivers of this round's report.

        During a long partition both regions may have replaced all hosts that they
        listed; then no report would ever arrive. The settings can be corrected by an
        operator, so their hosts are used every `_SEED_ROUNDS` rounds. Hosts that
        another region has named are used every other round.
        """
        told = self._told_hosts.get(region)
        if told and self._round % 2:
            return told
        named = self._regions.hosts(region)
        seeds = self._seeds.get(region, [])
        if seeds and (not named or self._round % _SEED_ROUNDS == 0):
            return seeds
        return named

    def _record_round_trip(self, region: RegionName, seconds: float) -> None:
        former = self._round_trips.get(region, seconds)
        self._round_trips[region] = former + _ROUND_TRIP_WEIGHT * (seconds - former)

    def _live_hosts(self) -> list[HostName]:
        return [i.name for i in self._hosts.infos() if i.state is HostState.live]


def report_interval(regions: int, hosts: int) -> float:
    """Return the seconds between two reports of a region.

    A host receives reports of all regions, and a reporter receives load shares of all
    hosts of its region. So the interval grows with both numbers.
    """
    return max(_MIN_INTERVAL, regions / _REGIONS_PER_SECOND, hosts / _SHARES_PER_SECOND)
