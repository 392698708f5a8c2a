"""Who is there: the hosts of this region, and the other regions."""

import time
from collections.abc import Callable
from typing import Any

import curio

from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers
from bronzepoint_node.membership._draining import Draining
from bronzepoint_node.membership._gossip import Gossip
from bronzepoint_node.membership._host_table import HostTable
from bronzepoint_node.membership._host_views import HostViews
from bronzepoint_node.membership._notice_table import NoticeTable
from bronzepoint_node.membership._pulse import PulseFlag
from bronzepoint_node.membership._region_table import RegionTable
from bronzepoint_node.membership._relay import Relay
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
    RegionReport,
    TargetNotice,
)
from bronzepoint_schema.generated.settings import Settings
from bronzepoint_schema.ids import HostName, RegionName

_STOPPED_ROUNDS = 3
"""A step of the clock of so many rounds means that this process was stopped."""
_FORGET_LIFETIMES = 2
"""Run-once records outlive the list's memory of a host, so twice their lifetime."""
_LEAVE_TIMEOUT = 0.5
_log = get_logger("membership")


class Membership:
    """Knows the hosts of its own region by gossip, and other regions by reports.

    Args:
        settings: This host, its peers and the times of failure detection.
        peers: Links to the other hosts.
        metrics: Counts exchanges; gauges of the states.
        monotonic: The underlying clock.
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
            _FORGET_LIFETIMES * settings.run_once.lifetime,
        )
        self._regions = RegionTable(self._clock, cfg.dead_after)
        self._notices = NoticeTable()
        self._gossip = Gossip(
            peers, self._hosts, self._regions, self._notices, self._clock, metrics
        )
        self._relay = Relay(peers, self._hosts, self._regions, self._clock, metrics)
        self._state_report = StateReport(metrics)
        self._load = LoadSummary()
        self._flags = PulseFlag.NONE
        self._draining = Draining(self._gossip, cfg.interval)
        self._views = HostViews(self._hosts, self._regions, settings.peers, self._clock)
        self._tasks = curio.TaskGroup()
        self._add_seeds()

    async def start(self) -> None:
        """Answer other hosts and begin to gossip."""
        self._peers.register(Area.MEMBERSHIP, MembershipMessage, self._handle)
        await self._tasks.spawn(self._run_gossip)
        await self._tasks.spawn(self._run_relay)
        await self._tasks.spawn(self._run_clock)

    async def close(self) -> None:
        """Tell the region that this host is gone, and stop."""
        await self._tasks.cancel_remaining()
        self._flags |= PulseFlag.LEFT
        self._beat()
        await self._gossip.exchange_with(self._gossip.reachable(), _LEAVE_TIMEOUT)

    def hosts(self, region: RegionName | None = None) -> list[HostInfo]:
        """Return the known hosts of one region, or of all.

        Of another region this is the short list that it gave for forwarded requests,
        and those of its hosts that the settings name.
        """
        if region is None:
            names = [self.region, *self._relay.other_regions()]
            return [info for name in names for info in self.hosts(name)]
        if region == self.region:
            return self.region_hosts()
        return self._views.other_region(region, self._relay.seeds(region))

    def host(self, name: HostName) -> HostInfo | None:
        """Return one host, None where it isn't known."""
        return next((info for info in self.hosts() if info.name == name), None)

    def region_hosts(self) -> list[HostInfo]:
        """Return all known hosts of this host's region, live or not, with itself."""
        return self._views.own_region(self._load.revision)

    def live(self, region: RegionName | None = None) -> list[HostInfo]:
        """Return the live hosts of one region, by default of this host's own."""
        wanted = self.region if region is None else region
        return [i for i in self.hosts(wanted) if i.state is HostState.live]

    def regions(self) -> dict[RegionName, RegionSummary]:
        """Return what is known of each region, with this host's own."""
        names = [self.region, *self._relay.other_regions()]
        summaries = {name: self._regions.summary(name) for name in names}
        own = summaries[self.region]
        own.reachable = True
        own.live = len(self.live())
        return summaries

    @property
    def name(self) -> HostName:
        """This host."""
        return self._settings.host.name

    @property
    def region(self) -> RegionName:
        """This host's region."""
        return self._settings.host.region

    @property
    def draining(self) -> bool:
        """True where this host takes no new callers."""
        return PulseFlag.DRAINING in self._flags

    def publish(self, load: LoadSummary) -> None:
        """Say how this host is; spread with the next rounds."""
        self._load = load

    def set_draining(self) -> None:
        """Begin to leave: the directories forget this host with the next rounds."""
        self._flags |= PulseFlag.DRAINING
        self._beat()

    async def wait_forgotten(self, timeout: float) -> bool:
        """Begin to leave and wait until no directory of the region names this host.

        Args:
            timeout: Seconds after which to go on regardless.

        Returns:
            True where every host that isn't dead has answered since.
        """
        self.set_draining()
        async with curio.ignore_after(timeout):
            while not await self._draining.tell():
                pass
            return True
        return False

    def on_forgotten(self, callback: Callable[[], None]) -> None:
        """Call back once when, after `set_draining`, no directory names this host."""
        self._draining.on_forgotten(callback)

    def tell_notice(self, notice: TargetNotice) -> None:
        """Pass a notice of a target on to the hosts of the region."""
        self._gossip.take_notices([notice])

    def notices(self) -> list[TargetNotice]:
        """Return all notices of targets that are in force."""
        return self._notices.all()

    def on_notice(self, callback: Callable[[TargetNotice], None]) -> None:
        """Call back with each notice that is new here."""
        self._gossip.on_notice(callback)

    async def _handle(self, sender: HostName, message: Any) -> Any | None:
        match message:
            case Exchange(opening=True):
                return self._gossip.answer(message)
            case Exchange():
                self._gossip.merge(message)
            case LoadShare():
                self._relay.put_share(sender, message)
            case RegionReport():
                self._gossip.merge_report_hosts(message.hosts)
                return self._relay.merge(message)
        return None

    async def _run_gossip(self) -> None:
        while True:
            interval = self._interval * self._hosts.round_factor
            started = time.monotonic()
            self._beat()
            await self._gossip.round(interval)
            if self.draining:
                await self._draining.tell()
            self._notices.drop_old()
            for name in self._hosts.forget_dead():
                _log.info("Host forgotten", forgotten=name)
            self._state_report.update(self.region_hosts())
            self._metrics.gauge("membership.own_stops", self._clock.gaps)
            await curio.sleep(max(0.0, started + interval - time.monotonic()))

    async def _run_relay(self) -> None:
        while True:
            started = time.monotonic()
            await self._relay.round(self._load)
            due = started + self._relay.interval
            await curio.sleep(max(0.0, due - time.monotonic()))

    async def _run_clock(self) -> None:
        """Look at the clock often: a long round must not pass for a stop."""
        while True:
            self._clock.now()
            await curio.sleep(self._interval)

    def _beat(self) -> None:
        load = self._load
        flags = self._flags
        if load.run_once_ready:
            flags |= PulseFlag.RUN_ONCE_READY
        self._hosts.beat(load.load, load.revision, flags)

    def _add_seeds(self) -> None:
        for record in make_seed_records(self._settings):
            self._peers.set_address(record.name, record.peer, fixed=True)
            if record.region == self.region:
                self._hosts.add_seed(record)
            else:
                self._relay.add_seed(record)
