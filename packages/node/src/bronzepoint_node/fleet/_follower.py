"""An entry host's knowledge: what is in force, which targets there are, who lives."""

import random
import time
from collections.abc import Callable

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.documents import NO_BASE
from bronzepoint_common.logs import get_logger
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

from ._document_copy import DocumentCopy
from ._nearest_core import nearest_core
from ._registry import Registry
from ._served import ServedCatalogue

SYNC_INTERVAL = 0.4
"""Seconds between two questions; a change is in force within 4 s on every host."""
SYNC_TIMEOUT = 0.7
"""Seconds to wait for a host of the core: four of the longest trips there and back."""
START_PAUSE = 0.1
"""Seconds between two questions to each seed while nothing is known yet,"""
START_TIMEOUT = 0.4
"""and seconds to wait for its answer. After a kill of everything some of the core are
not up yet and others have no leader: asked one after another with the patience of a
calm hour, entry hosts would serve long after the core could have answered."""
SECOND_INTERVAL = 0.6
"""Seconds between two questions to some other host of the core. While the core is cut
in two, its halves hear nothing of each other, but entry hosts reach both."""
SECOND_BY_HOST = 0.01
"""Seconds added for each entry host, where this one has no loads to tell: each word of
a host reaches the other half through any of them."""
HOME_RETRY = 5.0
"""Seconds after which a host of the own region is tried again that didn't answer."""
BEHIND_AGE_MS = 2000
"""Age of the leader's confirmation from which on a host of the core counts as behind:
eight heartbeats."""
BEHIND_RETRY = 1.0
"""Seconds after which such a host is tried again."""

MOST_CRASHES = 16
"""Requests that were beside crashes, in one question or answer: some 2 KB."""

_log = get_logger("follower")


class Follower:
    """Asks one host of the core after another, the own region's first.

    Args:
        region: Region of this host.
        describe: Tells what this host says of itself.
        own_loads: Tells the load of this region's targets.
        decode: Reads a catalogue document.
        seeds: Hosts of the core to begin with.
        peers: Links to the other hosts.

    Attributes:
        catalogue: What is in force; None: not known yet. Never goes back.
        closed: Data centers whose targets get nothing.
        targets: Newest list of the region's targets; None: not known yet.
        registry: Who lives, and the loads of the regions.
        entry_hosts: Entry hosts of all regions that live.
        crashes: Requests that were beside crashes of targets.
    """

    def __init__(
        self,
        region: RegionName,
        describe: Callable[[], EntryHost],
        own_loads: Callable[[], list[RegionLoad]],
        decode: Callable[[bytes], ServedCatalogue],
        seeds: list[HostName],
        peers: Peers,
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
        self._region = region
        self._current: HostName | None = None
        self._revision = 0
        self._confirmed_at = float("-inf")
        self._tells_loads = False
        self._copy = DocumentCopy()
        self._avoided_until: dict[HostName, float] = {}
        self._on_change: list[Callable[[], None]] = []
        self._task: curio.Task | None = None
        self._second: curio.Task | None = None
        peers.register(Area.FLEET, FleetMessage, self._ignore)

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each answer that was taken."""
        self._on_change.append(listener)

    async def start(self) -> None:
        """Begin to ask."""
        self._task = await curio.spawn(self._run, daemon=True)
        self._second = await curio.spawn(self._ask_others, daemon=True)

    async def close(self) -> None:
        """Stop asking."""
        for task in (self._task, self._second):
            if task is not None:
                await task.cancel()

    def confirmed_age(self) -> float:
        """Return the seconds for which there may be a newer catalogue."""
        return monotonic() - self._confirmed_at

    async def tell_now(self) -> None:
        """Tell the core at once what this host has become, such as leaving."""
        await self._ask(self._choose())

    async def _ignore(self, peer: HostName, message: FleetMessage) -> None:
        """Entry hosts only ask; what comes unasked is for hosts of the core."""

    async def _run(self) -> None:
        await self._ask_seeds()
        while True:
            began = monotonic()
            answered = await self._ask(self._choose())
            spent = monotonic() - began
            pause = SYNC_INTERVAL if answered else SYNC_INTERVAL / 4
            await curio.sleep(max(0.05, pause - spent))

    async def _ask_seeds(self) -> None:
        """Ask all seeds, each by itself, until one of them has told what is served."""

        async def ask(seed: HostName) -> None:
            while not self._knows_what_is_served():
                await self._ask(seed, START_TIMEOUT)
                await curio.sleep(START_PAUSE)

        async with curio.TaskGroup(wait=any) as group:
            for seed in self._seeds:
                await group.spawn(ask, seed)
        # Who didn't answer in time then may do so now.
        self._avoided_until.clear()

    def _knows_what_is_served(self) -> bool:
        return self.catalogue is not None and self.targets is not None

    async def _ask_others(self) -> None:
        while True:
            pause = SECOND_INTERVAL
            if not self._tells_loads:
                pause += SECOND_BY_HOST * self.entry_hosts
            await curio.sleep(pause)
            others = [h.name for h in self.registry.core() if h.name != self._current]
            if others:
                await self._ask(random.choice(others))

    def _choose(self) -> HostName:
        """Return whom to ask: of the own region where one answers, else any."""
        now = monotonic()
        core = self.registry.core() or [
            CoreHost(seed, RegionName(""), 0) for seed in self._seeds
        ]
        names = nearest_core(core, self._region, self._avoided_until, now)
        if not names:
            # All have failed lately, as in a cut: any may be the first back.
            return random.choice([h.name for h in core] + list(self._seeds))
        if self._current not in names:
            self._current = random.choice(sorted(names))
        return self._current

    async def _ask(self, core: HostName, timeout: float = SYNC_TIMEOUT) -> bool:
        """Ask a host for what is new, until it has no more; False: it didn't answer."""
        try:
            while await self._exchange(core, timeout):
                pass
        except PeerError as exc:
            self._avoid(core, HOME_RETRY)
            held = self._copy.version
            _log.warning(
                "core host lost", core=core, reason=str(exc), held_version=held
            )
            return False
        finally:
            self._copy.release(core)
        return True

    async def _exchange(self, core: HostName, timeout: float) -> bool:
        """Ask once; True: the host has more of the document.

        Raises:
            PeerError: It didn't answer.
        """
        request = SyncRequest(
            host=self._describe(),
            document_version=self._copy.version,
            list_digest=self._list_digest,
            loads=self._own_loads(),
            part_version=self._copy.transfer.version,
            part_offset=self._copy.wanted_from(core),
            crashes=self.crashes.share(monotonic(), MOST_CRASHES),
        )
        self._tells_loads = bool(request.loads)
        began = monotonic()

        def take_late(reply: SyncReply) -> None:
            self._take_late(core, reply, began)

        reply = await self._peers.call(core, Area.FLEET, request, timeout, take_late)
        self._avoided_until.pop(core, None)
        if not 0 <= reply.confirmed_age_ms <= BEHIND_AGE_MS:
            # It answers, but hears of no change. Asked again and again, it would keep
            # this host on an older catalogue.
            self._avoid(core, BEHIND_RETRY)
        return self._take(core, reply, began)

    def _avoid(self, core: HostName, seconds: float) -> None:
        self._avoided_until[core] = monotonic() + seconds
        if self._current == core:
            self._current = None

    def _take(self, core: HostName, reply: SyncReply, began: float) -> bool:
        """Take in an answer; True: its sender has more of the document.

        Args:
            core: The sender.
            reply: What it says.
            began: When it was asked.
        """
        has_more = self._take_in_force(core, reply, began)
        self._take_targets(reply)
        self.registry.hear_entries(reply.hosts)
        self.entry_hosts = reply.entry_hosts
        self.registry.note_size(self._region, reply.region_hosts)
        self.registry.hear_core(reply.core)
        self.registry.hear_loads(reply.loads)
        self.crashes.merge(reply.crashes, monotonic())
        self._tell_listeners()
        return has_more

    def _take_late(self, core: HostName, reply: SyncReply, began: float) -> None:
        """Take in what doesn't age of an answer that came after its timeout.

        Dropped, it would leave a host that lags, or whose link is full, on an old
        catalogue for good.
        """
        self._take_in_force(core, reply, began)
        if self.targets is None:
            self._take_targets(reply)
        self._tell_listeners()

    def _take_in_force(self, core: HostName, reply: SyncReply, began: float) -> bool:
        """Take in what has a version; True: its sender has more of the document."""
        has_more = self._take_document(core, reply, monotonic() - began)
        # A host of the core that is itself behind must not take closing back.
        if reply.revision >= self._revision:
            self._revision = reply.revision
            closed = frozenset(reply.closed)
            if closed != self.closed:
                _log.info("closed data centers", closed=sorted(closed), core=core)
            self.closed = closed
        is_newest = self._copy.version >= reply.document_version
        if is_newest and reply.confirmed_age_ms >= 0:
            confirmed_at = began - reply.confirmed_age_ms / 1000
            self._confirmed_at = max(self._confirmed_at, confirmed_at)
        return has_more

    def _tell_listeners(self) -> None:
        for listener in self._on_change:
            listener()

    def _take_document(self, core: HostName, reply: SyncReply, seconds: float) -> bool:
        # The copy begins another one with the last part.
        transfer = self._copy.transfer
        if not self._copy.take(core, reply.document, seconds):
            return False
        held = self.catalogue.version if self.catalogue else NO_BASE
        if self._copy.version > held:
            began = time.process_time()
            self.catalogue = self._decode(self._copy.content)
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

    def _take_targets(self, reply: SyncReply) -> None:
        """Take a list that was read later than the one held, whoever read it."""
        if reply.targets_age_ms < 0:
            return
        read_at = monotonic() - reply.targets_age_ms / 1000
        if read_at <= self.targets_read_at:
            return
        if reply.targets is not None and not self._take_list(reply.targets):
            return
        self.targets_read_at = read_at

    def _take_list(self, told: TargetList) -> bool:
        """Take in a list, or what has changed of it; False: it changes another one."""
        if told.base not in ("", self._list_digest):
            return False
        held = {target.incarnation: target for target in self.targets or ()}
        if not told.base:
            held = {}
        for name in told.gone:
            held.pop(name, None)
        held |= {target.incarnation: target for target in told.targets}
        self.targets = list(held.values())
        self._list_digest = told.digest
        return True
