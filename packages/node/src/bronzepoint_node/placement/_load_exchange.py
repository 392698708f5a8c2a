"""Exchange of load reports between the entry hosts of a region."""

from collections.abc import Callable

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.peers import Area, Peers
from bronzepoint_schema.generated.target_loads import LoadNotice, NoticeKind
from bronzepoint_schema.ids import HostName

from ._collector_selector import CollectorSelector
from ._load_collector import NOTICE_INTERVAL, LoadCollector
from ._reservations import Reservations
from ._service_estimates import ServiceEstimates
from ._staleness_bound import MAX_AGE, StalenessBound
from ._target_table import TargetTable

_log = get_logger("targets")

MIN_INTERVAL = 0.02
"""Seconds between two reports of a host that reports to the others directly, before
INTERVAL_PER_HOST is added."""
INTERVAL_PER_HOST = 0.006
"""Seconds added to the interval per receiving host, so that the number of messages that
a host receives per second stays constant."""
REPORT_INTERVAL = 0.04
"""Seconds between two reports to a collector. Within that time the collector counts the
requests that it has granted, but still includes those that have ended."""
IDLE_INTERVAL = 0.2
"""Seconds between two checks whether there are hosts to report to."""
REFRESH_INTERVAL = 1.0
"""Seconds between two full reports, which make up for lost messages."""
RELEARN_TIME = REFRESH_INTERVAL + 2 * REPORT_INTERVAL
"""Seconds after a change of the collector until full reports have replaced what its
predecessor knew."""


class LoadExchange:
    """Reports load changes, at most once per interval.

    Engines report their load late and are polled rarely. Between two polls several
    hosts would send their prompts to the engine that was idle at the last one.

    In a small region hosts report to each other directly. In a larger region they
    report to one host, the collector. It selects the targets for the requests of all
    hosts, and sends each member a periodic notice with the total load of the others.

    Args:
        name: This host.
        peers: Connections to the other hosts.
        table: Targets of the region.
        speeds: Latency estimates.
        reservations: Requests granted by this host.
        others: Returns the other entry hosts of the region.
        core: Returns the core hosts of the region, which are preferred as collectors.
    """

    def __init__(
        self,
        name: HostName,
        peers: Peers,
        table: TargetTable,
        speeds: ServiceEstimates,
        reservations: Reservations,
        others: Callable[[], list[HostName]],
        core: Callable[[], list[HostName]] = list,
    ) -> None:
        self._name = name
        self._peers = peers
        self._table = table
        self._speeds = speeds
        self._reservations = reservations
        self._others = others
        self._core = core
        self._settled: list[int] = []
        self._staleness = StalenessBound(REFRESH_INTERVAL)
        self._reported_changes_at: float | None = None
        self._complete_as_of = float("-inf")
        self._reported_all_at = 0.0
        self._selector = CollectorSelector(name)
        self._collector: HostName | None = None
        self._switched_at = float("-inf")
        self._load_collector = LoadCollector(name, table)
        self._task: curio.Task | None = None
        peers.register(Area.TARGET_LOADS, LoadNotice, self._handle_notice)

    async def start(self) -> None:
        """Start the reports."""
        self._switched_at = monotonic()
        self._task = await spawn_background(self._run)

    async def close(self) -> None:
        """Stop the reports."""
        if self._task is not None:
            await self._task.cancel()

    def poller_count(self, hosts: int) -> int:
        """Return the number of hosts that poll each engine for its load.

        Args:
            hosts: Entry hosts of the region.

        Returns:
            0 if this host does not poll because its collector does.
        """
        match self._collector:
            case None:
                return hosts
            case self._name:
                return 1
            case _:
                return 0

    @property
    def scheduler(self) -> HostName | None:
        """Return the other host that selects targets; None if this one does."""
        return None if self._collector == self._name else self._collector

    def has_members(self, now: float) -> bool:
        """Return whether other hosts report to this one."""
        return bool(self._load_collector.members(now))

    def selecting_hosts(self, hosts: list[HostName]) -> list[HostName]:
        """Return the hosts of the region that select targets without being queried.

        Args:
            hosts: Entry hosts of the region.
        """
        return [self._name] if self._collector == self._name else hosts

    def staleness(self, now: float) -> float:
        """Return the maximum age in seconds of the data that this host relies on.

        Args:
            now: Monotonic seconds.
        """
        if now - self._switched_at < RELEARN_TIME:
            # The data of the former source was dropped.
            return MAX_AGE
        if self.scheduler is not None:
            return min(MAX_AGE, now - self._complete_as_of)
        return self._staleness.age(now)

    def abandon_collector(self, collector: HostName) -> None:
        """Skip a collector that does not answer until a message from it arrives."""
        self._selector.mark_unresponsive(collector)
        self._switch_collector(
            self._selector.choose(self._others(), monotonic(), self._core())
        )

    def note_settled(self, number: int) -> None:
        """Record that this host's own load includes the grant for a query."""
        self._settled.append(number)

    async def _handle_notice(self, peer: HostName, notice: LoadNotice) -> None:
        now = monotonic()
        match notice.kind:
            case NoticeKind.to_collect:
                self._load_collector.record(peer, notice.loads, now)
                self._apply_measurements(peer, notice, now)
            case NoticeKind.own if self._collector not in (None, self._name):
                # The collector gets that host's report, too, and includes it in its
                # notices.
                return
            case NoticeKind.of_others:
                self._selector.record_contact(peer, now)
                if notice.tell_all:
                    self._reported_all_at = 0.0
                if peer != self._collector:
                    # The sum of a former collector contains loads that the current one
                    # also reports.
                    return
                if notice.span_ms:
                    # With round robin, the targets of earlier notices are older than
                    # this notice.
                    turns = notice.span_ms / 1000 - NOTICE_INTERVAL
                    self._complete_as_of = now - turns
        if notice.kind is not NoticeKind.of_others:
            self._staleness.note(peer, notice.span_ms / 1000, now)
        for load in notice.loads:
            tracked = self._table.known(load.incarnation)
            if tracked is not None:
                tracked.apply_load(peer, load, now)

    def _apply_measurements(
        self, peer: HostName, notice: LoadNotice, now: float
    ) -> None:
        """Apply the measurements and settled grants that a member reports."""
        self._reservations.settle(peer, notice.settled)
        for measured in notice.first_tokens:
            tracked = self._table.known(measured.incarnation)
            if tracked is not None:
                self._speeds.learn_first_token(tracked, measured, now)
        for hold in notice.holds:
            self._speeds.learn_hold(hold)

    async def _run(self) -> None:
        while True:
            await curio.sleep(self._report(self._others(), monotonic()))

    def _report(self, others: list[HostName], now: float) -> float:
        """Send the reports that are due; return the seconds until the next check."""
        core = self._core()
        self._switch_collector(self._selector.choose(others, now, core))
        full = now - self._reported_all_at > REFRESH_INTERVAL
        notice = self._notice(full, now)
        members = self._load_collector.members(now)
        if members:
            self._load_collector.record(self._name, notice.loads, now)
            for host, member_notice in self._load_collector.notices(now).items():
                self._peers.post(host, Area.TARGET_LOADS, member_notice)
        collector = self._collector
        if collector is None:
            notice.kind = NoticeKind.own
            self._post(others, notice, full)
            if not others:
                return REPORT_INTERVAL if members else IDLE_INTERVAL
            return MIN_INTERVAL + INTERVAL_PER_HOST * len(others)
        if full:
            unresponsive = self._selector.unresponsive_before(collector, others, core)
            self._post(unresponsive, notice, full)
        if collector != self._name:
            self._post([collector], notice, full)
        return REPORT_INTERVAL

    def _switch_collector(self, collector: HostName | None) -> None:
        """Switch to another collector, and drop the data of the former one."""
        if collector == self._collector:
            return
        _log.info("collector of loads", collector=collector, former=self._collector)
        self._switched_at = monotonic()
        self._collector = collector
        self._reported_all_at = 0.0
        self._staleness.forget()
        self._complete_as_of = float("-inf")
        for tracked in self._table.all_known():
            tracked.load.forget_others()
            tracked.reported_unresponsive = False

    def _notice(self, full: bool, now: float) -> LoadNotice:
        """Return the load changes and measurements that are not reported yet."""
        if full:
            self._reported_all_at = now
        speeds, loads = self._speeds, []
        for tracked in self._table.all_known():
            if tracked.load.changed or (full and tracked.is_in_use(now)):
                load = tracked.report_load(now)
                if full:
                    tracked.add_speed(load, now)
                loads.append(load)
        notice = LoadNotice(
            NoticeKind.to_collect,
            loads,
            self._settled,
            speeds.first_tokens,
            speeds.holds,
            span_ms=round((now - (self._reported_changes_at or now)) * 1000),
        )
        self._reported_changes_at = now
        self._settled, speeds.first_tokens, speeds.holds = [], [], []
        return notice

    def _post(self, hosts: list[HostName], notice: LoadNotice, full: bool) -> None:
        # An idle host reports, too, or it would count as dead.
        if full or notice.loads or notice.settled:
            for host in hosts:
                self._peers.post(host, Area.TARGET_LOADS, notice)
