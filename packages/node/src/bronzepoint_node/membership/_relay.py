"""Reports between regions, carried by a few relay hosts of each."""

import time

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
    RegionReport,
    ReportSeen,
)
from bronzepoint_schema.ids import EntryName, HostName, RegionName

RELAYS = 2
"""Hosts of a region that report to others: one may die between two reports."""
LISTED_HOSTS = 6
"""Hosts that a region names to another one for forwarded requests."""
_SHARE_LIFETIMES = 3
_TRIP_WEIGHT = 0.3
_CALL_TIMEOUT = 1.0
_LEAST_INTERVAL = 1.0
_REGIONS_A_SECOND = 3
_SHARES_A_SECOND = 8
_SEED_TURNS = 4
"""Every so many turns a host of the settings gets the report."""


class Relay:
    """Adds up its region's load and tells the other regions, while it is a relay.

    Who is a relay follows from the live hosts by rendezvous, so a dead one is replaced
    without an agreement; while two hosts disagree on it, both report, which does no
    harm: reports are ordered by their sequence numbers.

    Args:
        peers: Links to the other hosts.
        hosts: Hosts of the region.
        regions: Reports of regions.
        clock: Time in which this process ran.
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
        self._trips: dict[RegionName, float] = {}
        self._seen: dict[HostName, int] = {}
        self._turn = 0

    def add_seed(self, record: HostRecord) -> None:
        """Add a host of another region that the settings name."""
        self._seeds.setdefault(record.region, []).append(record)

    @property
    def interval(self) -> float:
        """Seconds between two reports."""
        return report_interval(len(self.other_regions()) + 1, len(self._usable()))

    def other_regions(self) -> list[RegionName]:
        """Return the regions that are known, without this one."""
        known = {*self._seeds, *self._regions.regions()}
        return sorted(known - {self._hosts.own.region})

    def seeds(self, region: RegionName) -> list[HostRecord]:
        """Return the hosts of another region that the settings name."""
        return self._seeds.get(region, [])

    def relays(self) -> list[HostName]:
        """Return the relays of this region, as this host sees it."""
        own = self._hosts.own
        return rendezvous_order(f"relay {own.region}", self._usable())[:RELAYS]

    def put_share(self, host: HostName, share: LoadShare) -> None:
        """Keep the load that a host of the region reported."""
        self._shares.put(host, share.entries)

    async def round(self, load: LoadSummary) -> None:
        """Tell the relays this host's load; as a relay, tell the other regions."""
        self._turn += 1
        relays = self.relays()
        share = LoadShare(load.entries)
        for name in relays:
            if name == self._hosts.own.name:
                self.put_share(name, share)
            else:
                self._peers.post(name, Area.MEMBERSHIP, share)
        if self._hosts.own.name not in relays:
            return
        rank = relays.index(self._hosts.own.name)
        report = self._make_own_report()
        self._regions.merge(report)
        async with curio.TaskGroup() as group:
            for region in self.other_regions():
                await group.spawn(self._report_to, region, report, rank)

    def merge(self, report: RegionReport) -> ReportSeen:
        """Take over another region's report and say what is known of that region."""
        self._regions.merge(report)
        newest = self._regions.sequences().get(report.region, INCOMPLETE)
        return ReportSeen(newest)

    def _make_own_report(self) -> RegionReport:
        own = self._hosts.own
        known = self._regions.newest_sequence(own.region)
        # The first number is the time, so that a region whose hosts all restarted at
        # once does not begin again below what the others have seen.
        sequence = known + 1 if known else int(time.time())
        return RegionReport(
            region=own.region,
            sequence=sequence,
            live=len(self._usable()),
            hosts_sequence=NO_HOSTS,
            entries=self._sum_load(),
            interval=self.interval,
        )

    def _sum_load(self) -> dict[EntryName, EntryLoad]:
        return self._shares.sum(_SHARE_LIFETIMES * self.interval)

    async def _report_to(
        self, region: RegionName, own_report: RegionReport, rank: int
    ) -> None:
        contacts = self._contacts_of_turn(region)
        if not contacts:
            return
        contact = contacts[(self._turn + rank) % len(contacts)].name
        hosts_sequence, hosts = self._list_hosts(region, own_report.sequence)
        report = msgspec.structs.replace(
            own_report,
            hosts_sequence=hosts_sequence,
            hosts=hosts,
            trip=self._trips.get(region, 0.0),
        )
        report = trim_hosts(report, self._seen.get(contact, INCOMPLETE))
        self._metrics.incr("membership.reports")
        started = time.monotonic()
        try:
            seen = await self._peers.call(
                contact, Area.MEMBERSHIP, report, _CALL_TIMEOUT
            )
        except PeerError as exc:
            self._metrics.incr(f"membership.report_failed.{type(exc).__name__}")
            self._seen.pop(contact, None)
            return
        self._note_trip(region, time.monotonic() - started)
        if isinstance(seen, ReportSeen):
            self._seen[contact] = seen.sequence
            self._catch_up(seen.sequence)

    def _catch_up(self, sequence: int) -> None:
        """Go on above a sequence number that others have seen of this region.

        The clock may have been set back before the whole region restarted: the others
        would ignore its reports until the numbers had caught up.
        """
        own = self._regions.newest_sequence(self._hosts.own.region)
        if sequence > own:
            report = self._make_own_report()
            report.sequence = sequence + 1
            self._regions.merge(report)
            # Lists that were numbered below it would count as known over there.
            self._listed.clear()

    def _list_hosts(
        self, region: RegionName, sequence: int
    ) -> tuple[int, list[HostRecord]]:
        """Return the hosts for a region's requests, and when that list changed last.

        Each other region gets its own short list, so that forwarded requests spread
        over all hosts and no report grows with their number.
        """
        key = f"forward {self._hosts.own.region} {region}"
        names = rendezvous_order(key, self._usable())[:LISTED_HOSTS]
        hosts = self._hosts.records(names)
        former = self._listed.get(region)
        if former is None or former[1] != hosts:
            self._listed[region] = (sequence, hosts)
        return self._listed[region]

    def _contacts_of_turn(self, region: RegionName) -> list[HostRecord]:
        """Return the hosts to choose the receiver of this turn's report from.

        The hosts that a region named may all have been replaced during a long cut, on
        both sides; then neither side's reports would ever arrive. The settings are
        what an operator can mend, so they are tried now and then.
        """
        named = self._regions.hosts(region)
        seeds = self._seeds.get(region, [])
        if seeds and (not named or self._turn % _SEED_TURNS == 0):
            return seeds
        return named

    def _note_trip(self, region: RegionName, seconds: float) -> None:
        former = self._trips.get(region, seconds)
        self._trips[region] = former + _TRIP_WEIGHT * (seconds - former)

    def _usable(self) -> list[HostName]:
        return [i.name for i in self._hosts.infos() if i.state is HostState.live]


def report_interval(regions: int, hosts: int) -> float:
    """Return the seconds between two reports of a region.

    What a host hears grows with the number of regions, and what a relay adds up with
    the hosts of its own, so both make the reports rarer.
    """
    return max(_LEAST_INTERVAL, regions / _REGIONS_A_SECOND, hosts / _SHARES_A_SECOND)
