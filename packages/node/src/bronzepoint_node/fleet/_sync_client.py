"""Synchronisation of an entry host with the core: catalogue, targets and live hosts."""

import random
import time
from collections.abc import Callable

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.call_pacing import AdaptiveTimeout, RetryBackoff
from bronzepoint_common.clock import monotonic
from bronzepoint_common.documents import NO_BASE
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_node.quarantine import CrashTable
from bronzepoint_schema.generated.fleet import (
    CoreHost,
    EntryHost,
    FleetMessage,
    RegionLoad,
    SyncReply,
    SyncRequest,
    TargetInfo,
    TargetList,
)
from bronzepoint_schema.ids import DataCenterName, HostName, RegionName

from ._core_search import CoreSearch
from ._document_copy import DocumentCopy
from ._nearest_core import nearest_core
from ._registry import Registry
from ._served import ServedCatalogue

SYNC_INTERVAL = 0.4
"""Seconds between two queries; a change must take effect on every host within 4 s."""
SYNC_TIMEOUT = 0.7
"""Seconds to wait for the answer of a core host: four of the longest round trips."""
MAX_SYNC_TIMEOUT = 4.0
"""Maximum seconds to wait for a core host whose answers have come late."""
SEED_SYNC_INTERVAL = 0.1
"""Seconds between the first two queries to each seed until the first state is received;
doubles up to ``SYNC_INTERVAL``, or to ``MAX_RETRY_PAUSE`` for a seed that is silent."""
MAX_RETRY_PAUSE = 0.8
"""Maximum mean of the seconds between two queries while no core host answers."""
MAX_TIMED_HOSTS = 64
"""Maximum number of core hosts whose timeouts are kept."""
SEED_SYNC_TIMEOUT = 0.4
"""Seconds to wait for the answer of a seed before the first state is received. After a
restart of all hosts, some core hosts aren't running yet and others have no leader.
Queried one after another with the usual timeout, they would delay entry hosts long
after the core could answer."""
SECONDARY_SYNC_INTERVAL = 0.6
"""Seconds between two queries to another core host. During a network partition within
the core, entry hosts that reach both sides pass reports between them."""
SECONDARY_INTERVAL_PER_HOST = 0.01
"""Seconds added to ``SECONDARY_SYNC_INTERVAL`` per entry host, if this host reports no
loads. Any entry host can pass a report to the other side of a partition, so each of
them may query less often."""
AVOIDED_CORE_RETRY = 5.0
"""Seconds for which a core host that didn't answer or is behind is avoided: enough to
try all the others."""
NEXT_CORE_PAUSE = SYNC_INTERVAL / 4
"""Seconds until the next core host is queried after one that is avoided."""
MAX_CORE_AGE_MS = 2000
"""Milliseconds since the leader's confirmation above which a core host counts as
behind: eight heartbeats."""

MAX_CRASH_CASES = 16
"""Maximum number of crash cases in one query or answer, about 2 KB."""

_log = get_logger("follower")


class SyncClient:
    """Syncs an entry host with the core, preferably with core hosts of its region.

    Args:
        name: This host.
        region: Its region.
        describe: Returns the entry of this host for the registry.
        own_loads: Returns the loads of this region's targets.
        decode: Decodes a catalogue document.
        seeds: Returns the core hosts that the settings name at that moment.
        peers: Links to the other hosts.
        metrics: Receives the age of the last confirmation by the core.

    Attributes:
        catalogue: Catalogue in effect, None until received; its version only grows.
        closed: Data centers whose targets get no requests.
        targets: Newest list of the region's targets; None until received.
        targets_read_at: Monotonic time at which that list was read.
        registry: Live hosts and the loads of the regions.
        entry_hosts: Number of live entry hosts in all regions.
        crashes: Requests involved in target crashes.
    """

    def __init__(
        self,
        name: HostName,
        region: RegionName,
        describe: Callable[[], EntryHost],
        own_loads: Callable[[], list[RegionLoad]],
        decode: Callable[[bytes], ServedCatalogue],
        seeds: Callable[[], list[HostName]],
        peers: Peers,
        metrics: Metrics | None = None,
    ) -> None:
        self.catalogue: ServedCatalogue | None = None
        self.closed: frozenset[DataCenterName] = frozenset()
        self.targets: list[TargetInfo] | None = None
        self.targets_read_at = 0.0
        self._list_digest = ""
        self.entry_hosts = 0
        self.registry = Registry()
        self.crashes = CrashTable()
        self._describe = describe
        self._own_loads = own_loads
        self._decode = decode
        self._seeds = seeds
        self._peers = peers
        self._metrics = metrics if metrics is not None else Metrics()
        self._started_at = monotonic()
        self._region = region
        self._current: HostName | None = None
        self._revision = 0
        self._confirmed_at = float("-inf")
        self._core_confirmed_at = float("-inf")
        self._reports_loads = False
        self._copy = DocumentCopy()
        self._unreadable_version = NO_BASE
        self._avoided_until: dict[HostName, float] = {}
        self._timeouts: dict[HostName, AdaptiveTimeout] = {}
        self._on_change: list[Callable[[], None]] = []
        self._task: curio.Task | None = None
        self._secondary_task: curio.Task | None = None
        self._search = CoreSearch(
            name, self.registry, peers, seeds, self._core_silence, self._metrics
        )
        peers.register(Area.FLEET, FleetMessage, self._handle)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each answer that was applied."""
        self._on_change.append(listener)

    async def start(self) -> None:
        """Start querying the core."""
        self._task = await spawn_background(self._run)
        self._secondary_task = await spawn_background(self._query_secondary)
        await self._search.start()

    async def close(self) -> None:
        """Stop querying the core."""
        await self._search.close()
        for task in (self._task, self._secondary_task):
            if task is not None:
                await task.cancel()

    def confirmed_age(self) -> float:
        """Return the seconds since the catalogue was last confirmed as the newest."""
        return monotonic() - self._confirmed_at

    async def report_now(self) -> None:
        """Sync at once to report a change of this host, such as leaving."""
        await self._query(self._select_core_host())

    def _core_silence(self) -> float:
        """Return the seconds since a core host had contact with the leader."""
        return monotonic() - self._core_confirmed_at

    async def _handle(
        self, peer: HostName, message: FleetMessage
    ) -> FleetMessage | None:
        """Answer a host that searches the core; the rest is meant for core hosts."""
        return self._search.answer(peer, message)

    async def _run(self) -> None:
        await self._query_seeds()
        backoff = RetryBackoff(NEXT_CORE_PAUSE, MAX_RETRY_PAUSE)
        while True:
            began = monotonic()
            core = self._select_core_host()
            answered = await self._query(core)
            self._report_age()
            if not answered and not self._usable_core_hosts():
                await curio.sleep(backoff.next())
                continue
            elapsed = monotonic() - began
            is_current = answered and core not in self._avoided_until
            is_last = answered and not self._usable_core_hosts()
            if answered:
                backoff.reset()
            pause = SYNC_INTERVAL if is_current or is_last else NEXT_CORE_PAUSE
            await curio.sleep(max(0.05, pause - elapsed))

    async def _query_seeds(self) -> None:
        """Query all seeds concurrently until the catalogue and targets are received.

        If no seed can be reached, the core hosts that the search has found are queried.
        """

        async def query(seed: HostName) -> None:
            silent = RetryBackoff(SEED_SYNC_INTERVAL, MAX_RETRY_PAUSE)
            behind = RetryBackoff(SEED_SYNC_INTERVAL, SYNC_INTERVAL)
            while not self._has_initial_state():
                answered = await self._query(seed, SEED_SYNC_TIMEOUT)
                await curio.sleep((behind if answered else silent).next())

        seeds = self._seeds()

        async def query_found() -> None:
            while not self._has_initial_state():
                found = {host.name for host in self.registry.core()} - {*seeds}
                if found:
                    await self._query(random.choice([*found]), SEED_SYNC_TIMEOUT)
                await curio.sleep(SYNC_INTERVAL)

        async with curio.TaskGroup(wait=any) as group:
            for seed in seeds:
                await group.spawn(query, seed)
            await group.spawn(query_found)
        # Seeds that didn't answer in time may have become available.
        self._avoided_until.clear()

    def _has_initial_state(self) -> bool:
        return self.catalogue is not None and self.targets is not None

    async def _query_secondary(self) -> None:
        while True:
            pause = SECONDARY_SYNC_INTERVAL
            if not self._reports_loads:
                pause += SECONDARY_INTERVAL_PER_HOST * self.entry_hosts
            await curio.sleep(pause)
            others = [h.name for h in self.registry.core() if h.name != self._current]
            if others:
                await self._query(random.choice(others))

    def _report_age(self) -> None:
        """Update the metric that shows whether the core still confirms the catalogue.

        Readiness doesn't show it: a host that is cut off goes on serving.
        """
        age = min(self.confirmed_age(), monotonic() - self._started_at)
        self._metrics.gauge("catalogue.confirmed_age", round(age, 3))

    def _select_core_host(self) -> HostName:
        """Return the core host to query, from this region if one there is current."""
        names = self._usable_core_hosts()
        if not names:
            # All are avoided, as in a network partition; any may recover first.
            known = [host.name for host in self._known_core()]
            return random.choice(known + self._seeds())
        if self._current not in names:
            self._current = random.choice(sorted(names))
        return self._current

    def _known_core(self) -> list[CoreHost]:
        """Return the core hosts to choose from; the last live ones if none is left.

        The seeds may all have been replaced since the start of this process.
        """
        return (
            self.registry.core()
            or self.registry.last_core()
            or [CoreHost(seed, RegionName(""), 0) for seed in self._seeds()]
        )

    def _usable_core_hosts(self) -> list[HostName]:
        return nearest_core(
            self._known_core(), self._region, self._avoided_until, monotonic()
        )

    async def _query(self, core: HostName, timeout: float = SYNC_TIMEOUT) -> bool:
        """Query a core host for all changes; return whether it answered.

        Args:
            core: The core host.
            timeout: Seconds to wait for it, unless its answers have come late.
        """
        try:
            while await self._query_once(core, timeout):
                pass
        except PeerError as exc:
            self._avoid(core)
            held = self._copy.version
            _log.warning(
                "core host lost", core=core, reason=str(exc), held_version=held
            )
            return False
        except Exception:
            # The answers of other core hosts may be sound.
            self._avoid(core)
            _log.exception("answer not applied", core=core)
            return False
        finally:
            self._copy.release(core)
        return True

    async def _query_once(self, core: HostName, timeout: float) -> bool:
        """Send one query; return whether the core host has more of the document.

        Raises:
            PeerError: The core host didn't answer.
        """
        request = SyncRequest(
            host=self._describe(),
            document_version=self._copy.version,
            list_digest=self._list_digest,
            loads=self._own_loads(),
            part_version=self._copy.transfer.version,
            part_offset=self._copy.wanted_from(core),
            crashes=self.crashes.select_cases(monotonic(), MAX_CRASH_CASES),
        )
        self._reports_loads = bool(request.loads)
        adaptive = self._timeout_of(core)
        began = monotonic()

        def apply_late(reply: SyncReply) -> None:
            adaptive.record_late(monotonic() - began)
            self._apply_late_reply(core, reply, began)

        timeout = max(timeout, adaptive.seconds)
        reply = await self._peers.call(core, Area.FLEET, request, timeout, apply_late)
        adaptive.record_prompt(monotonic() - began)
        self._avoided_until.pop(core, None)
        if not 0 <= reply.confirmed_age_ms <= MAX_CORE_AGE_MS:
            # The core host answers but receives no changes. Querying it further would
            # keep this host on an older catalogue and older closed data centers.
            self._avoid(core)
        return self._apply_reply(core, reply, began)

    def _timeout_of(self, core: HostName) -> AdaptiveTimeout:
        if core not in self._timeouts and len(self._timeouts) >= MAX_TIMED_HOSTS:
            self._timeouts.pop(next(iter(self._timeouts)))
        return self._timeouts.setdefault(
            core, AdaptiveTimeout(SEED_SYNC_TIMEOUT, MAX_SYNC_TIMEOUT)
        )

    def _avoid(self, core: HostName) -> None:
        self._avoided_until[core] = monotonic() + AVOIDED_CORE_RETRY
        if self._current == core:
            self._current = None

    def _apply_reply(self, core: HostName, reply: SyncReply, began: float) -> bool:
        """Apply an answer; return whether its sender has more of the document.

        Args:
            core: The sender.
            reply: The answer.
            began: Monotonic time at which the query was sent.
        """
        has_more = self._apply_versioned(core, reply, began)
        self._apply_targets(reply)
        self.registry.merge_entries(reply.hosts)
        self.entry_hosts = reply.entry_hosts
        self.registry.note_size(self._region, reply.region_hosts)
        self.registry.merge_core(reply.core)
        self.registry.merge_loads(reply.loads)
        self.crashes.merge(reply.crashes, monotonic())
        self._notify_listeners()
        return has_more

    def _apply_late_reply(self, core: HostName, reply: SyncReply, began: float) -> None:
        """Apply the parts of an answer that stay valid after its timeout.

        If late answers were dropped, a slow host or one with a full link would stay on
        an old catalogue permanently.
        """
        self._apply_versioned(core, reply, began)
        if self.targets is None:
            self._apply_targets(reply)
        self._notify_listeners()

    def _apply_versioned(self, core: HostName, reply: SyncReply, began: float) -> bool:
        """Apply all versioned parts; return whether the sender has more of them."""
        has_more = self._apply_document(core, reply, monotonic() - began)
        self.registry.versions.merge(reply.versions)
        if reply.versions_complete:
            age = reply.targets_age_ms / 1000
            read_at = began - age if age >= 0 else float("-inf")
            self.registry.versions.confirm(read_at, began)
        # A core host that is behind must not reopen closed data centers.
        if reply.revision >= self._revision:
            self._revision = reply.revision
            closed = frozenset(reply.closed)
            if closed != self.closed:
                _log.info(
                    "closed data centers",
                    closed=sorted(closed),
                    core=core,
                    revision=reply.revision,
                    confirmed_age_ms=reply.confirmed_age_ms,
                )
            self.closed = closed
        if reply.confirmed_age_ms >= 0:
            confirmed_at = began - reply.confirmed_age_ms / 1000
            self._core_confirmed_at = max(self._core_confirmed_at, confirmed_at)
            if self._copy.version >= reply.document_version:
                self._confirmed_at = max(self._confirmed_at, confirmed_at)
        return has_more

    def _notify_listeners(self) -> None:
        for listener in self._on_change:
            listener()

    def _apply_document(self, core: HostName, reply: SyncReply, seconds: float) -> bool:
        # The copy replaces its transfer object when the last part arrives.
        transfer = self._copy.transfer
        if not self._copy.take(core, reply.document, seconds):
            return False
        held = self.catalogue.version if self.catalogue else NO_BASE
        if self._copy.version > max(held, self._unreadable_version):
            began = time.process_time()
            try:
                self.catalogue = self._decode(self._copy.content)
            except Exception:
                # The rest of the answer is sound: targets, closed data centers.
                self._unreadable_version = self._copy.version
                _log.exception("catalogue not read", version=self._copy.version)
                return False
            used = time.process_time()
            _log.info(
                "catalogue in force",
                version=self.catalogue.version,
                former=held,
                core=core,
                confirmed_age_ms=reply.confirmed_age_ms,
                bytes=transfer.size,
                answer_seconds=round(transfer.seconds, 3),
                decode_cpu_ms=round((used - began) * 1000, 1),
                cpu_seconds=round(used, 3),
            )
        return self._copy.version < reply.document_version

    def _apply_targets(self, reply: SyncReply) -> None:
        """Apply a target list read later than the one held, from any core host."""
        if reply.targets_age_ms < 0:
            return
        read_at = monotonic() - reply.targets_age_ms / 1000
        if read_at <= self.targets_read_at:
            return
        if reply.targets is not None and not self._apply_list(reply.targets):
            return
        self.targets_read_at = read_at

    def _apply_list(self, update: TargetList) -> bool:
        """Apply a target list or its changes; return False if the base differs."""
        if update.base not in ("", self._list_digest):
            return False
        held = {target.incarnation: target for target in self.targets or ()}
        if not update.base:
            held = {}
        for name in update.gone:
            held.pop(name, None)
        held |= {target.incarnation: target for target in update.targets}
        self.targets = list(held.values())
        self._list_digest = update.digest
        return True
