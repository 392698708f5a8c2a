"""Search for core hosts after contact with all known ones was lost."""

import random
from collections.abc import Callable

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_schema.generated.fleet import (
    CoreHost,
    CoreHostsReport,
    CoreHostsRequest,
    FleetMessage,
)
from bronzepoint_schema.ids import HostName

from ._registry import MAX_REPORT_AGE, Registry

LOST_AFTER = 4.0
"""Seconds without a confirmation by the core after which contact counts as lost."""
SEARCH_INTERVAL = 1.0
"""Seconds between two rounds of questions, on average; drawn anew for each round."""
HOSTS_PER_ROUND = 3
"""Number of hosts asked in a round. Where the whole fleet has lost the core, each host
is asked as often as it asks."""
ANSWER_TIMEOUT = 0.6
"""Seconds to wait for an answer: three of the longest round trips."""
MAX_HOSTS_REPORTED = 16
"""Maximum number of core hosts in a report, those heard last; about 0.4 KB."""
MAX_WAITING_HOSTS = 64
"""Maximum number of hosts that are told of the core once this host has found it."""

_log = get_logger("core search")


class CoreSearch:
    """Asks other hosts where the core is while no core host confirms the catalogue.

    All core hosts that this host knew may have been replaced while it was cut off, and
    so may the seeds of its settings. Any host that it knew, of either role and any
    region, may know the new ones. A host that doesn't know them either tells those that
    have asked it as soon as it does, so that one host that finds the core is enough.

    Args:
        name: This host.
        registry: Hosts known to this host; receives the core hosts that are found.
        peers: Links to the other hosts.
        seeds: Returns the seeds that the settings name at that moment.
        silence: Returns the seconds since the core last confirmed the catalogue.
        metrics: Counts the questions and shows whether contact is lost.
    """

    def __init__(
        self,
        name: HostName,
        registry: Registry,
        peers: Peers,
        seeds: Callable[[], list[HostName]],
        silence: Callable[[], float],
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._registry = registry
        self._peers = peers
        self._seeds = seeds
        self._silence = silence
        self._metrics = metrics
        self._started_at = monotonic()
        self._is_searching = False
        self._queue: list[HostName] = []
        self._waiting_hosts: set[HostName] = set()
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start to watch the contact with the core."""
        self._started_at = monotonic()
        self._task = await spawn_background(self._run)

    async def close(self) -> None:
        """Stop watching."""
        if self._task is not None:
            await self._task.cancel()

    @property
    def has_lost_core(self) -> bool:
        """Whether no core host has confirmed the catalogue for some seconds."""
        running = monotonic() - self._started_at
        return min(self._silence(), running) > LOST_AFTER

    def answer(self, peer: HostName, message: FleetMessage) -> CoreHostsReport | None:
        """Answer a question of another host, or take its report."""
        match message:
            case CoreHostsRequest():
                if self.has_lost_core and len(self._waiting_hosts) < MAX_WAITING_HOSTS:
                    self._waiting_hosts.add(peer)
                return self.report()
            case CoreHostsReport(core=core):
                self._take(peer, core)
        return None

    def report(self) -> CoreHostsReport:
        """Return the core hosts known to this host, those heard last first."""
        return CoreHostsReport(self._registry.known_core()[:MAX_HOSTS_REPORTED])

    async def _run(self) -> None:
        while True:
            await curio.sleep(random.uniform(0.5, 1.5) * SEARCH_INTERVAL)
            is_lost = self.has_lost_core
            self._metrics.gauge("core.lost", int(is_lost))
            if is_lost:
                await self._ask_round()
            elif self._is_searching:
                self._finish()

    async def _ask_round(self) -> None:
        if not self._is_searching:
            self._is_searching = True
            self._queue = []
            _log.warning("core lost", known_hosts=len(self._candidates()))
        if not self._queue:
            self._queue = self._candidates()
        chosen = self._queue[:HOSTS_PER_ROUND]
        del self._queue[:HOSTS_PER_ROUND]
        async with curio.TaskGroup() as group:
            for host in chosen:
                await group.spawn(self._ask, host)

    def _finish(self) -> None:
        self._is_searching = False
        _log.info("core found")
        self._tell_waiting_hosts()

    async def _ask(self, host: HostName) -> None:
        self._metrics.incr("core_search.asked")

        def take_late(report: CoreHostsReport) -> None:
            self.answer(host, report)

        try:
            report = await self._peers.call(
                host, Area.FLEET, CoreHostsRequest(), ANSWER_TIMEOUT, take_late
            )
        except PeerError as exc:
            _log.debug("no answer", asked=host, reason=str(exc))
            return
        self.answer(host, report)

    def _take(self, peer: HostName, core: list[CoreHost]) -> None:
        """Merge core hosts that another host has reported."""
        live = {host.name for host in self._registry.core()}
        self._registry.merge_core(core)
        found = sorted({host.name for host in self._registry.core()} - live)
        if found and self.has_lost_core:
            self._metrics.incr("core_search.found")
            _log.info("core hosts found", told_by=peer, found=found)
            self._tell_waiting_hosts()

    def _tell_waiting_hosts(self) -> None:
        waiting, self._waiting_hosts = self._waiting_hosts, set()
        for host in waiting:
            self._peers.post(host, Area.FLEET, self.report())

    def _candidates(self) -> list[HostName]:
        """Return all hosts to ask, in random order.

        The seeds and the hosts that were live when contact was lost come first, as the
        others may be gone for long.
        """
        known = [*self._registry.known_core(), *self._registry.known_entries()]
        newest = min((host.age_ms for host in known), default=0)
        limit = newest + MAX_REPORT_AGE * 1000
        first = {host.name for host in known if host.age_ms <= limit}
        first |= set(self._seeds())
        first.discard(self._name)
        rest = {host.name for host in known} - first - {self._name}
        return [*_shuffled(first), *_shuffled(rest)]


def _shuffled(names: set[HostName]) -> list[HostName]:
    return random.sample(sorted(names), len(names))
