"""Synchronisation of a core host with entry hosts and with the other core hosts."""

from collections.abc import Callable

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.clock import monotonic
from bronzepoint_common.documents import NO_BASE
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers
from bronzepoint_common.turns import rotating_slice
from bronzepoint_node.agreement import SeededAgreement
from bronzepoint_node.fleet import (
    COLLECTOR_ORDER,
    MAX_CRASH_CASES,
    CoreSearch,
    Registry,
)
from bronzepoint_node.quarantine import MIN_CRASHES_SUSPECT, CrashTable
from bronzepoint_schema.generated.documents import DocumentPart
from bronzepoint_schema.generated.fleet import (
    CoreHost,
    CoreHostsReport,
    CoreHostsRequest,
    CoreNotice,
    EntryHost,
    FleetMessage,
    RegionLoad,
    SyncReply,
    SyncRequest,
    VersionsReply,
    VersionsRequest,
)
from bronzepoint_schema.ids import HostName, RegionName

from ._document_feed import DocumentFeed
from ._lost_host_notifier import LostHostNotifier
from ._target_reader import TargetReader
from ._visible_hosts import HostOrderCache, count_ready_hosts, visible_hosts

NOTICE_INTERVAL = 0.5
"""Seconds between two notices to the other core hosts."""
MAX_CASES_PER_NOTICE = 32
"""Maximum number of crash cases in one notice."""
MAX_HOSTS_PER_NOTICE = 20
"""Maximum number of core hosts listed in one notice; more are listed round robin."""
MAX_LOST_HOSTS_TOLD = 128
"""Maximum number of lost hosts of each role in the first notice to a core host, those
heard last; about 12 KB."""
FULL_NOTICE_HOSTS = 8
"""Number of other core hosts up to which each notice holds the full number of cases."""
REGION_SILENCE = 1.2
"""Seconds without any notice from the core hosts of a region after which its hosts
count as unreachable from this region: two intervals of their notices and a margin."""
SCHEDULERS_NOTIFIED = 2
"""Number of core hosts of each other region that get this region's load at once: the
scheduler and its successor."""

_log = get_logger("core")


class CoreSync:
    """Answers syncs of entry hosts and exchanges notices with the other core hosts.

    Args:
        name: This host.
        region: Its region.
        agreement: The agreed document.
        reader: The list of targets.
        peers: Links to the other hosts.
        crashes: Requests involved in target crashes.
        seeds: Returns the core hosts that the settings name at that moment.
        metrics: Counts what is done to restore lost contact.
    """

    def __init__(
        self,
        name: HostName,
        region: RegionName,
        agreement: SeededAgreement,
        reader: TargetReader,
        peers: Peers,
        crashes: CrashTable | None = None,
        seeds: Callable[[], list[HostName]] = list,
        metrics: Metrics | None = None,
    ) -> None:
        self._crashes = crashes if crashes is not None else CrashTable()
        self.registry = Registry(name)
        self._name = name
        self._region = region
        self._agreement = agreement
        self._reader = reader
        self._peers = peers
        self._feed = DocumentFeed()
        self._orders = HostOrderCache()
        self._core_orders = HostOrderCache()
        self._syncing_hosts: set[HostName] = set()
        self._heard_at: dict[RegionName, float] = {}
        self._turn = 0
        self._told_hosts: set[HostName] = set()
        self._task: curio.Task | None = None
        self._confirmed_at = monotonic()
        metrics = metrics if metrics is not None else Metrics()
        self._search = CoreSearch(
            name, self.registry, peers, seeds, self._core_silence, metrics
        )
        self._notifier = LostHostNotifier(self.registry, self._search, peers, metrics)
        peers.register(Area.FLEET, FleetMessage, self._handle)

    async def start(self) -> None:
        """Start sending notices."""
        self._task = await spawn_background(self._send_notices)
        await self._search.start()
        await self._notifier.start()

    async def close(self) -> None:
        """Stop sending notices."""
        await self._notifier.close()
        await self._search.close()
        if self._task is not None:
            await self._task.cancel()

    def live_core_hosts(self) -> list[HostName]:
        """Return the core hosts that were heard lately, besides this one."""
        return [h.name for h in self.registry.core() if h.name != self._name]

    def other_core_hosts(self) -> set[HostName]:
        """Return the core hosts that are known besides this one."""
        hosts = {host.name for host in self._core()} | self._agreement.known_hosts()
        return hosts - {self._name}

    def syncing_hosts(self) -> list[HostName]:
        """Return the entry hosts that sync with this host."""
        return [host.name for host in self._syncing_entries()]

    def report_loads(self, loads: list[RegionLoad]) -> None:
        """Send this region's load to the other regions, which forward accordingly."""
        self.registry.merge_loads(loads)
        notice = CoreNotice([], loads, [], [])
        remote_hosts: dict[RegionName, list[HostName]] = {}
        for host in self.registry.core():
            if host.region not in ("", self._region):
                remote_hosts.setdefault(host.region, []).append(host.name)
        for region, hosts in remote_hosts.items():
            order = self._core_orders.order(COLLECTOR_ORDER, region, hosts)
            for name in order[:SCHEDULERS_NOTIFIED]:
                self._peers.post(name, Area.FLEET, notice)

    def silent_regions(self) -> list[RegionName]:
        """Return the regions that were heard before, but not lately.

        Reports about a region that arrive through a third one say nothing about the
        connection to it.
        """
        latest = monotonic() - REGION_SILENCE
        return sorted(r for r, heard_at in self._heard_at.items() if heard_at < latest)

    def _note_heard(self, peer: HostName) -> None:
        region = self.registry.core_region(peer)
        if region not in ("", self._region):
            self._heard_at[region] = monotonic()

    def _core_silence(self) -> float:
        """Return the seconds since a leader last confirmed this host's state."""
        age = self._agreement.confirmed_age()
        if age is not None:
            self._confirmed_at = max(self._confirmed_at, monotonic() - age)
        return monotonic() - self._confirmed_at

    async def _handle(
        self, peer: HostName, message: FleetMessage
    ) -> FleetMessage | None:
        match message:
            case SyncRequest():
                return self._answer(message)
            case CoreNotice():
                self._note_heard(peer)
                self.registry.merge_entries(message.hosts)
                self.registry.merge_loads(message.loads)
                self.registry.merge_core(message.core)
                self._crashes.merge(message.crashes, monotonic())
            case VersionsRequest():
                now, history = monotonic(), self._reader.history
                return VersionsReply(history.is_complete(now), history.versions(now))
            case CoreHostsRequest() | CoreHostsReport():
                return self._search.answer(peer, message)
        return None

    def _answer(self, request: SyncRequest) -> SyncReply:
        self._syncing_hosts.add(request.host.name)
        self.registry.merge_entries([request.host])
        self.registry.merge_loads(request.loads)
        now = monotonic()
        self._crashes.merge(request.crashes, now)
        age = self._agreement.confirmed_age()
        # An unconfirmed document may be older than the one that the entry host used
        # before its restart, or than the one that other hosts use.
        version = self._agreement.documents.version if age is not None else NO_BASE
        live = self.registry.entries()
        return SyncReply(
            revision=self._agreement.revision,
            confirmed_age_ms=-1 if age is None else int(age * 1000),
            document_version=version,
            document=self._next_part(request) if age is not None else None,
            closed=sorted(self._agreement.closed),
            targets=self._reader.changes_since(
                request.host.region, request.list_digest
            ),
            targets_age_ms=self._reader.age_ms,
            hosts=visible_hosts(request.host, live, self._orders),
            loads=self.registry.loads(),
            core=self._core(),
            entry_hosts=len(live),
            region_hosts=count_ready_hosts(request.host.region, live),
            crashes=self._crashes.select_cases(
                now, MAX_CRASH_CASES, MIN_CRASHES_SUSPECT
            ),
            versions=self._reader.history.report(now),
            versions_complete=self._reader.history.is_complete(now),
        )

    def _next_part(self, request: SyncRequest) -> DocumentPart | None:
        if request.part_offset < 0:
            return None
        return self._feed.next_part(
            self._agreement.documents,
            request.document_version,
            request.part_version,
            request.part_offset,
        )

    def _core(self) -> list[CoreHost]:
        self.registry.merge_core([CoreHost(self._name, self._region, 0)])
        return self.registry.core()

    async def _send_notices(self) -> None:
        while True:
            hosts = self.other_core_hosts()
            notice = self._build_notice(self._core(), len(hosts))
            for host in hosts:
                self._peers.post(host, Area.FLEET, notice)
            self._tell_lost_hosts()
            await curio.sleep(NOTICE_INTERVAL)

    def _tell_lost_hosts(self) -> None:
        """Tell core hosts that are new to this one which hosts are lost.

        A core host that has replaced another has never heard those itself.
        """
        live = set(self.live_core_hosts())
        new, self._told_hosts = live - self._told_hosts, live
        if not new:
            return
        entries = self.registry.lost_entries()[:MAX_LOST_HOSTS_TOLD]
        core = self.registry.lost_core()[:MAX_LOST_HOSTS_TOLD]
        for host in new if entries or core else ():
            self._peers.post(host, Area.FLEET, CoreNotice(entries, [], core, []))

    def _build_notice(self, core: list[CoreHost], others: int) -> CoreNotice:
        """Return the notice for the other core hosts.

        With many core hosts each notice holds fewer cases: every host gets the same
        cases from all others, and the traffic grows with the square of their number.
        """
        cases = (
            MAX_CASES_PER_NOTICE * FULL_NOTICE_HOSTS // max(FULL_NOTICE_HOSTS, others)
        )
        return CoreNotice(
            self._syncing_entries(),
            self.registry.loads(),
            self._next_core_hosts(core),
            self._crashes.select_cases(monotonic(), max(1, cases)),
        )

    def _next_core_hosts(self, core: list[CoreHost]) -> list[CoreHost]:
        """Return this host and other core hosts, round robin if there are many."""
        if len(core) <= MAX_HOSTS_PER_NOTICE:
            return core
        others = [host for host in core if host.name != self._name]
        next_hosts = rotating_slice(others, self._turn, MAX_HOSTS_PER_NOTICE - 1)
        self._turn += len(next_hosts)
        return [host for host in core if host.name == self._name] + next_hosts

    def _syncing_entries(self) -> list[EntryHost]:
        """Return the live entry hosts that sync with this host.

        The other core hosts report the rest.
        """
        live = [
            host for host in self.registry.entries() if host.name in self._syncing_hosts
        ]
        self._syncing_hosts = {host.name for host in live}
        return live
