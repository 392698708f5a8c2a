"""Membership of hosts and regions, as known to this host."""

import time
from collections.abc import Callable
from typing import Any

import curio

from bronzepoint_common.background import keep_running
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers
from bronzepoint_node.membership._draining import Draining
from bronzepoint_node.membership._gossip import Gossip
from bronzepoint_node.membership._heartbeat import HeartbeatFlag
from bronzepoint_node.membership._host_table import HostTable
from bronzepoint_node.membership._host_views import HostViews
from bronzepoint_node.membership._notice_table import NoticeTable
from bronzepoint_node.membership._region_reporter import RegionReporter
from bronzepoint_node.membership._region_table import RegionTable
from bronzepoint_node.membership._running_clock import RunningClock
from bronzepoint_node.membership._seeds import make_own_record, make_seed_records
from bronzepoint_node.membership._state_report import StateReport
from bronzepoint_node.membership._views import (
    HostInfo,
    HostState,
    LoadSummary,
    RegionSummary,
)
from bronzepoint_schema.generated.membership import (
    Exchange,
    LoadShare,
    MembershipMessage,
    RegionHostsRequest,
    RegionReport,
    TargetNotice,
)
from bronzepoint_schema.generated.settings import Settings
from bronzepoint_schema.ids import HostName, RegionName

_STOPPED_ROUNDS = 3
"""Number of rounds. If the clock advances further between two readings, this process
was stopped."""
_REMOVE_AFTER_LIFETIMES = 2
"""Lifetimes of run-once records after which a dead host is removed.

It is more than one, so that a host stays listed until its records have expired."""
_LEAVE_TIMEOUT = 0.5
"""Seconds to wait for the other hosts' replies when this host closes."""
_log = get_logger("membership")


class Membership:
    """Tracks the hosts of its own region by gossip, and other regions by reports.

    Args:
        settings: This host, its peers and the timeouts of failure detection.
        peers: Connections to the other hosts.
        metrics: Counters of exchanges and gauges of host states.
        monotonic: Underlying monotonic clock (s).
    """

    def __init__(
        self,
        settings: Settings,
        peers: Peers,
        metrics: Metrics,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        cfg = settings.membership
        self._settings = settings
        self._peers = peers
        self._metrics = metrics
        self._interval = cfg.interval
        self._clock = RunningClock(_STOPPED_ROUNDS * cfg.interval, monotonic)
        self._hosts = HostTable(
            make_own_record(settings),
            self._clock,
            cfg.interval,
            cfg.suspect_after,
            cfg.dead_after,
            _REMOVE_AFTER_LIFETIMES * settings.run_once.lifetime,
        )
        self._regions = RegionTable(self._clock, cfg.dead_after)
        self._notices = NoticeTable()
        self._gossip = Gossip(
            peers, self._hosts, self._regions, self._notices, self._clock, metrics
        )
        self._region_reporter = RegionReporter(
            peers, self._hosts, self._regions, self._clock, metrics
        )
        self._state_report = StateReport(metrics)
        self._load = LoadSummary()
        self._flags = HeartbeatFlag.NONE
        self._draining = Draining(self._gossip, cfg.interval)
        self._views = HostViews(self._hosts, self._regions, settings.peers, self._clock)
        self._tasks = curio.TaskGroup()
        self._add_seeds()

    async def start(self) -> None:
        """Start answering other hosts and start gossip."""
        self._peers.register(Area.MEMBERSHIP, MembershipMessage, self._handle)
        await self._tasks.spawn(keep_running, self._run_gossip)
        await self._tasks.spawn(keep_running, self._run_reporter)
        await self._tasks.spawn(keep_running, self._run_clock)

    async def close(self) -> None:
        """Announce to the region that this host has left, and stop."""
        await self._tasks.cancel_remaining()
        self._flags |= HeartbeatFlag.LEFT
        self._update_heartbeat()
        await self._gossip.exchange_with(self._gossip.reachable(), _LEAVE_TIMEOUT)

    def hosts(self, region: RegionName | None = None) -> list[HostInfo]:
        """Return the known hosts of one region, or of all regions.

        For another region, these are the hosts that it listed for forwarded requests
        and those of its hosts that are in the settings.
        """
        if region is None:
            names = [self.region, *self._region_reporter.other_regions()]
            return [info for name in names for info in self.hosts(name)]
        if region == self.region:
            return self.region_hosts()
        return self._views.other_region(region, self._region_reporter.seeds(region))

    def host(self, name: HostName) -> HostInfo | None:
        """Return a host, or None if it is not known."""
        return next((info for info in self.hosts() if info.name == name), None)

    def region_count(self) -> int:
        """Return the number of regions of the settings and of all reports."""
        return 1 + len(self._region_reporter.other_regions())

    def region_hosts(self) -> list[HostInfo]:
        """Return all known hosts of this host's region, live or not, and itself."""
        return self._views.own_region(self._load.revision)

    def live(self, region: RegionName | None = None) -> list[HostInfo]:
        """Return the live hosts of one region, by default of this host's own."""
        wanted = self.region if region is None else region
        return [i for i in self.hosts(wanted) if i.state is HostState.live]

    def regions(self) -> dict[RegionName, RegionSummary]:
        """Return a summary of each known region, this host's own included."""
        names = [self.region, *self._region_reporter.other_regions()]
        summaries = {name: self._regions.summary(name) for name in names}
        own = summaries[self.region]
        own.reachable = True
        own.live = len(self.live())
        return summaries

    @property
    def name(self) -> HostName:
        """Name of this host."""
        return self._settings.host.name

    @property
    def region(self) -> RegionName:
        """Region of this host."""
        return self._settings.host.region

    @property
    def draining(self) -> bool:
        """Whether this host accepts no new callers."""
        return HeartbeatFlag.DRAINING in self._flags

    def publish(self, load: LoadSummary) -> None:
        """Set the load of this host, which the next rounds send to the others."""
        self._load = load

    def set_draining(self) -> None:
        """Start draining: the next rounds make other hosts stop listing this one."""
        self._flags |= HeartbeatFlag.DRAINING
        self._update_heartbeat()

    async def wait_drain_acknowledged(self, timeout: float) -> bool:
        """Start draining and wait until no directory of the region lists this host.

        Args:
            timeout: Maximum seconds to wait.

        Returns:
            Whether every host that isn't dead has replied since.
        """
        self.set_draining()
        async with curio.ignore_after(timeout):
            while not await self._draining.announce():
                pass
            return True
        return False

    def on_drain_acknowledged(self, callback: Callable[[], None]) -> None:
        """Register a callback, called once when no directory lists this host."""
        self._draining.on_drain_acknowledged(callback)

    def report_notice(self, notice: TargetNotice) -> None:
        """Send a notice of a target to the hosts of the region."""
        self._gossip.merge_notices([notice])

    def notices(self) -> list[TargetNotice]:
        """Return all notices of targets that are in effect."""
        return self._notices.all()

    def on_notice(self, callback: Callable[[TargetNotice], None]) -> None:
        """Register a callback for each notice that is new to this host."""
        self._gossip.on_notice(callback)

    async def _handle(self, sender: HostName, message: Any) -> Any | None:
        match message:
            case Exchange(opening=True):
                return self._gossip.answer(message)
            case Exchange():
                self._gossip.merge(message)
            case LoadShare():
                self._region_reporter.put_share(sender, message)
            case RegionReport():
                self._gossip.merge_report_hosts(message.hosts)
                return self._region_reporter.merge(message)
            case RegionHostsRequest(region=region):
                return self._region_reporter.hosts_of(region)
        return None

    async def _run_gossip(self) -> None:
        while True:
            interval = self._interval * self._hosts.round_factor
            started = time.monotonic()
            self._update_heartbeat()
            await self._gossip.round(interval)
            if self.draining:
                await self._draining.announce()
            self._notices.drop_old()
            for name in self._hosts.remove_dead():
                _log.info("Host removed", forgotten=name)
            self._state_report.update(self.region_hosts())
            self._metrics.gauge("membership.own_stops", self._clock.gaps)
            await curio.sleep(max(0.0, started + interval - time.monotonic()))

    async def _run_reporter(self) -> None:
        while True:
            started = time.monotonic()
            await self._region_reporter.round(self._load)
            due = started + self._region_reporter.interval
            await curio.sleep(max(0.0, due - time.monotonic()))

    async def _run_clock(self) -> None:
        """Read the clock often, so that a long round is not mistaken for a stop."""
        while True:
            self._clock.now()
            await curio.sleep(self._interval)

    def _update_heartbeat(self) -> None:
        load = self._load
        flags = self._flags
        if load.run_once_ready:
            flags |= HeartbeatFlag.RUN_ONCE_READY
        self._hosts.update_own_heartbeat(load.load, load.revision, flags)

    def add_contacts(self, settings: Settings) -> None:
        """Contact hosts that changed settings name and that this host doesn't know.

        They are listed once they answer. Counting them before that would change where
        run-once records are placed.
        """
        for record in make_seed_records(settings):
            self._peers.set_address(record.name, record.peer, fixed=True)
            if record.region == self.region:
                self._hosts.add_contact(record.name)
            else:
                self._region_reporter.add_seed(record)

    def _add_seeds(self) -> None:
        for record in make_seed_records(self._settings):
            self._peers.set_address(record.name, record.peer, fixed=True)
            if record.region == self.region:
                self._hosts.add_seed(record)
            else:
                self._region_reporter.add_seed(record)
