"""Who is there: the hosts of this region, and the other regions."""

import time
from collections.abc import Callable
from typing import Any

import curio

from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers
from bronzepoint_node.membership._gossip import Gossip
from bronzepoint_node.membership._host_table import UNKNOWN_INCARNATION, HostTable
from bronzepoint_node.membership._notice_table import NoticeTable
from bronzepoint_node.membership._pulse import PulseFlag, expand_revision
from bronzepoint_node.membership._region_table import RegionTable
from bronzepoint_node.membership._relay import Relay
from bronzepoint_node.membership._running_clock import RunningClock
from bronzepoint_node.membership._views import (
    HostInfo,
    HostState,
    LoadSummary,
    RegionSummary,
)
from bronzepoint_schema.generated.membership import (
    Exchange,
    HostRecord,
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
_CACHE_LIFETIME = 0.1
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
            _make_own_record(settings),
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
        self._load = LoadSummary()
        self._flags = PulseFlag.NONE
        self._told: set[HostName] = set()
        self._forgotten_callbacks: list[Callable[[], None]] = []
        self._tasks = curio.TaskGroup()
        self._cached: list[HostInfo] = []
        self._cached_version = -1
        self._cached_until = 0.0
        self._add_seeds()

    async def start(self) -> None:
        """Answer other hosts and begin to gossip."""
        self._peers.register(Area.MEMBERSHIP, MembershipMessage, self._handle)
        await self._tasks.spawn(self._run_gossip)
        await self._tasks.spawn(self._run_relay)

    async def close(self) -> None:
        """Tell the region that this host is gone, and stop."""
        await self._tasks.cancel_remaining()
        self._flags |= PulseFlag.LEFT
        self._beat()
        await self._exchange_with(self._reachable(), _LEAVE_TIMEOUT)

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
        return self._remote_hosts(region)

    def host(self, name: HostName) -> HostInfo | None:
        """Return one host, None where it isn't known."""
        own_region = self._hosts.info(name)
        if own_region is not None:
            return self._complete(own_region)
        for region in self._relay.other_regions():
            for info in self._remote_hosts(region):
                if info.name == name:
                    return info
        return None

    def region_hosts(self) -> list[HostInfo]:
        """Return all known hosts of this host's region, live or not, with itself.

        Each request asks; what it gets may be `_CACHE_LIFETIME` old.
        """
        now = self._clock.now()
        if self._cached_version != self._hosts.version or now >= self._cached_until:
            self._cached = [self._complete(info) for info in self._hosts.infos()]
            self._cached_version = self._hosts.version
            self._cached_until = now + _CACHE_LIFETIME
        return list(self._cached)

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
        """Tell each reachable host of the region that this one is draining.

        Without this, a host that closes its door at once is still named to callers by
        those that have not heard of it: the callers' connections are refused.

        Args:
            timeout: Seconds after which to go on regardless.

        Returns:
            True where every host that isn't dead has answered since.
        """
        self.set_draining()
        async with curio.ignore_after(timeout):
            while not await self._tell_draining():
                pass
            return True
        return False

    def on_forgotten(self, callback: Callable[[], None]) -> None:
        """Call back once when, after `set_draining`, no directory names this host."""
        self._forgotten_callbacks.append(callback)

    def tell_notice(self, notice: TargetNotice) -> None:
        """Pass on word of a target to the hosts of the region."""
        self._gossip.take_notices([notice])

    def notices(self) -> list[TargetNotice]:
        """Return all word of targets that counts still."""
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
                await self._tell_draining()
            self._notices.drop_old()
            for name in self._hosts.forget_dead():
                _log.info("Host forgotten", forgotten=name)
            self._update_gauges()
            await curio.sleep(max(0.0, started + interval - time.monotonic()))

    async def _run_relay(self) -> None:
        while True:
            started = time.monotonic()
            await self._relay.round(self._load)
            due = started + self._relay.interval
            await curio.sleep(max(0.0, due - time.monotonic()))

    async def _tell_draining(self) -> bool:
        """Tell the hosts that haven't heard it yet; True where all have."""
        missing = [name for name in self._reachable() if name not in self._told]
        self._told |= await self._exchange_with(missing, self._interval)
        if any(name not in self._told for name in self._reachable()):
            return False
        callbacks, self._forgotten_callbacks = self._forgotten_callbacks, []
        for callback in callbacks:
            callback()
        return True

    def _beat(self) -> None:
        load = self._load
        flags = self._flags
        if load.run_once_ready:
            flags |= PulseFlag.RUN_ONCE_READY
        self._hosts.beat(load.load, load.revision, flags)

    def _reachable(self) -> list[HostName]:
        return [
            info.name
            for info in self._hosts.infos()
            if info.name != self.name and info.state is not HostState.dead
        ]

    async def _exchange_with(
        self, names: list[HostName], timeout: float
    ) -> set[HostName]:
        """Exchange with several hosts at once; return those that replied."""
        replied: set[HostName] = set()

        async def exchange(name: HostName) -> None:
            if await self._gossip.exchange(name, timeout):
                replied.add(name)

        async with curio.TaskGroup() as group:
            for name in names:
                await group.spawn(exchange, name)
        return replied

    def _complete(self, info: HostInfo) -> HostInfo:
        info.revision = expand_revision(info.revision, self._load.revision)
        info.http = self._http_address(info.name, info.http)
        return info

    def _http_address(self, name: HostName, gossiped: str) -> str:
        """Return the address of the settings, where they name the host.

        How a host is reached can differ from where it listens, and from one host to
        the next; the operator's word on it goes before the host's own.
        """
        listed = self._settings.peers.get(name)
        return gossiped if listed is None else listed.http

    def _remote_info(self, record: HostRecord, state: HostState) -> HostInfo:
        return HostInfo(
            name=record.name,
            region=record.region,
            data_center=record.data_center,
            http=self._http_address(record.name, record.http),
            state=state,
            incarnation=record.incarnation,
        )

    def _remote_hosts(self, region: RegionName) -> list[HostInfo]:
        summary = self._regions.summary(region)
        listed = {record.name: record for record in self._regions.hosts(region)}
        state = HostState.live if summary.reachable else HostState.suspect
        infos = [self._remote_info(record, state) for record in listed.values()]
        # A region that lists all its live hosts has lost the others; before the first
        # report, or behind a short list, nothing is known of them.
        all_listed = summary.reachable and summary.live <= len(listed)
        rest = HostState.dead if all_listed else HostState.suspect
        for record in self._relay.seeds(region):
            if record.name not in listed:
                infos.append(self._remote_info(record, rest))
        return infos

    def _add_seeds(self) -> None:
        for name, peer in self._settings.peers.items():
            if name == self.name:
                continue
            record = HostRecord(
                name=HostName(name),
                region=peer.region,
                data_center=peer.data_center,
                http=peer.http,
                peer=peer.peer,
                incarnation=UNKNOWN_INCARNATION,
            )
            self._peers.set_address(record.name, record.peer, fixed=True)
            if record.region == self.region:
                self._hosts.add_seed(record)
            else:
                self._relay.add_seed(record)

    def _update_gauges(self) -> None:
        counts = dict.fromkeys(HostState, 0)
        for info in self._hosts.infos():
            counts[info.state] += 1
        for state, count in counts.items():
            self._metrics.gauge(f"membership.{state}", count)
        self._metrics.gauge("membership.own_stops", self._clock.gaps)


def _make_own_record(settings: Settings) -> HostRecord:
    host = settings.host
    listed = settings.peers.get(host.name)
    return HostRecord(
        name=host.name,
        region=host.region,
        data_center=host.data_center,
        # The address in its own [peer] section is how others reach it; it may listen
        # on another one behind it.
        http=settings.listen.http if listed is None else listed.http,
        peer=settings.listen.peer if listed is None else listed.peer,
        incarnation=int(time.time() * 1000),
    )
