"""The catalogue on this host: held, served on, and passed to other hosts."""

from collections.abc import Callable, Sequence
from pathlib import Path

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers
from bronzepoint_schema.generated.agreement import (
    CatalogueMessage,
    Delta,
    DeltaNotice,
    HeldNotice,
    PollReply,
    PollRequest,
    ViewReply,
    ViewRequest,
    ViewSnapshot,
)
from bronzepoint_schema.generated.settings import Settings
from bronzepoint_schema.ids import ClusterId, HostName, Revision

from ._children import Children
from ._exposure import Exposure
from ._held import HeldCatalogue
from ._neighbours import Neighbours, Source
from ._poller import Poller
from ._status import CatalogueStatus
from ._tree import LiveHost
from ._view import CatalogueView

_POLLS_PER_BOUND = 5
"""Polls of the parent within the bound: three hops of one interval each, and slack."""
_STALE_SHARE = 0.6
"""Share of the bound above which a parent's knowledge is too old to be of use."""
_LEADER_PATIENCE = 1.5
"""Seconds that a restarted host waits for the leader before it asks its region."""
_REGION_PATIENCE = 3.0
"""Seconds that a restarted host waits for hosts of its region that don't answer."""
_FIRST_PAUSE = 0.1
"""Seconds between two readings of the region at first; it doubles each time."""
_UNKNOWN_AGE = -1.0
_log = get_logger("catalogue")


class Catalogue:
    """Follows the agreed catalogue and passes it on.

    Args:
        settings: This host's settings.
        peers: Links to the other hosts.
        metrics: Counters and the gauge ``catalogue.confirmed_age``.
        live_hosts: Returns the hosts that membership knows.

    Attributes:
        view: What this host serves on.
    """

    def __init__(
        self,
        settings: Settings,
        peers: Peers,
        metrics: Metrics,
        live_hosts: Callable[[], Sequence[LiveHost]],
    ) -> None:
        host = settings.host
        self.view = CatalogueView(monotonic)
        self._bound = settings.agreement.in_force_bound
        self._peers = peers
        self._metrics = metrics
        self._neighbours = Neighbours(settings, live_hosts)
        self._children = Children(peers)
        self._poller = Poller(host.name, peers, self)
        self._held = HeldCatalogue(Path(host.data_folder) if host.data_folder else None)
        self._exposure = Exposure()
        self._source: Source | None = None
        self._foreign = ClusterId("")
        self._started_at = monotonic()
        self._confirmed_at = float("-inf")
        self._recovered = False
        self._lock = curio.Lock()
        self._behind = curio.Event()
        self._tasks = curio.TaskGroup()
        peers.register(Area.CATALOGUE, CatalogueMessage, self._handle)

    @property
    def cluster(self) -> ClusterId:
        """The cluster that this host follows; empty: none yet."""
        return self._held.cluster

    @property
    def held(self) -> Revision:
        """Newest revision that this host holds."""
        return self._held.revision

    def follow(self, source: Source) -> None:
        """Name the agreement; before ``start``."""
        self._source = source

    async def start(self) -> None:
        """Read what was kept and begin to follow.

        Raises:
            StorageError: The data folder is damaged, or another process holds it.
        """
        await self._held.open()
        self._recovered = bool(self._held.cluster)
        self._started_at = monotonic()
        if self._recovered:
            self._note_held()
        await self._tasks.spawn(self._become_current)
        await self._tasks.spawn(self._follow)
        await self._tasks.spawn(self._watch)

    async def close(self) -> None:
        """Stop following and close the files."""
        await self._tasks.cancel_remaining()
        await self._held.close()

    async def advance(self, cluster: ClusterId, deltas: list[Delta]) -> bool:
        """Take deltas that were agreed; False where one in between is missing."""
        async with self._lock:
            if not await self._join(cluster):
                return True
            before = self._held.revision
            if not await self._held.advance(deltas):
                return False
            if self._held.revision > before:
                self._note_held()
                self._pass_on(before)
        return True

    async def replace(self, view: ViewSnapshot) -> None:
        """Take a whole view, if it is newer."""
        async with self._lock:
            if not await self._join(view.cluster):
                return
            if view.revision > self._held.revision:
                await self._held.replace(view)
                self._metrics.incr("catalogue.whole_view")
                self._note_held()

    def within_bound(self) -> bool:
        """Tell whether every change accepted a bound ago is known to be in force."""
        return self.view.ready and self.view.confirmed_age() <= self._bound

    def status(self) -> CatalogueStatus:
        """Return what operators see of the catalogue on this host."""
        age = self.view.confirmed_age()
        return CatalogueStatus(
            cluster=self._held.cluster,
            revision=self.view.revision,
            held=self._held.revision,
            ready=self.view.ready,
            confirmed_age=round(age, 3) if age != float("inf") else _UNKNOWN_AGE,
            within_bound=self.within_bound(),
            parent=self._neighbours.parent,
            children=len(self._children.live()),
            foreign_cluster=self._foreign,
        )

    def _pass_on(self, before: Revision) -> None:
        """Tell the hosts that learn from this one, and those whose copy is wanted."""
        wanted = self._exposure.is_waiting
        # Voters get it from the log.
        voters = self._source.voters() if self._source else []
        self._children.tell(self._held, wanted, voters)
        deltas = self._held.deltas_after(before) if wanted else None
        for host in self._neighbours.seconds() if deltas else []:
            notice = DeltaNotice(self._held.cluster, deltas, wanted)
            self._peers.post(host, Area.CATALOGUE, notice)

    async def _join(self, cluster: ClusterId) -> bool:
        if not self._held.cluster:
            await self._held.join(cluster)
            self._note_held()
        if self._held.cluster == cluster:
            return True
        # The voters were begun anew, or this host was moved here with its old data:
        # following would go back to an older or a foreign view.
        self._metrics.incr("catalogue.other_cluster")
        self._foreign = cluster
        return False

    def _note_held(self) -> None:
        """Let what is held be served on as soon as a restart can't lose it."""
        held = self._held
        self._exposure.add(held.revision, held.items, monotonic())
        if held.durable or not self._neighbours.of_region():
            self._exposure.note_copy(held.revision)
        self._expose()

    def _expose(self) -> None:
        taken = self._exposure.take(monotonic())
        if taken is not None:
            revision, items, alone = taken
            if alone:
                self._metrics.incr("catalogue.exposed_alone")
            if revision >= self.view.revision:
                self.view.show(revision, items, self.view.ready)
        if self.view.revision == self._held.revision:
            self.view.confirm(self._confirmed_at)

    def _become_ready(self, reason: str) -> None:
        if self.view.ready or self.view.revision < self._held.revision:
            return
        self.view.show(self._held.revision, self._held.items, True)
        self._metrics.incr(f"catalogue.ready.{reason}")
        _log.info("catalogue ready", revision=self.view.revision, reason=reason)

    def confirm(self, at: float) -> None:
        """Note that what is held was current at a time.

        A view confirmed for a time after this process started is no older than any
        that this host or its region had acknowledged before.
        """
        self._confirmed_at = max(self._confirmed_at, at)
        self._expose()
        if self._held.cluster and at >= self._started_at:
            self._become_ready("confirmed")

    def _age(self) -> float:
        leader_age = self._source.leader_age() if self._source else None
        if leader_age is not None:
            return leader_age
        age = monotonic() - self._confirmed_at
        return age if age != float("inf") else _UNKNOWN_AGE

    async def _handle(
        self, peer: HostName, message: CatalogueMessage
    ) -> CatalogueMessage | None:
        match message:
            case PollRequest():
                return self._on_poll(peer, message)
            case DeltaNotice():
                await self._on_notice(peer, message)
            case HeldNotice(cluster=cluster, revision=revision):
                self.note_copy(peer, cluster, revision)
            case ViewRequest():
                known = bool(self._held.cluster)
                return ViewReply(self._held.encoded_view() if known else b"")
        return None

    def _on_poll(self, peer: HostName, request: PollRequest) -> PollReply:
        held = self._held
        self._children.note_poll(peer, request.revision)
        if self._exposure.is_waiting:
            self.note_copy(peer, request.cluster, request.revision)
        deltas = held.deltas_after(request.revision)
        if request.cluster not in ("", held.cluster):
            deltas = []
        return PollReply(
            cluster=held.cluster,
            revision=held.revision,
            ready=self.view.ready,
            age=round(self._age(), 3),
            deltas=deltas or [],
            too_far=deltas is None,
        )

    def note_copy(self, peer: HostName, cluster: ClusterId, revision: Revision) -> None:
        """Note that another host holds a revision; it counts if it is of the region."""
        if cluster == self._held.cluster and peer in self._neighbours.of_region():
            self._exposure.note_copy(revision)
            self._expose()

    async def _on_notice(self, peer: HostName, notice: DeltaNotice) -> None:
        if notice.cluster != self._held.cluster:
            return
        if notice.deltas:
            self.note_copy(peer, notice.cluster, notice.deltas[-1].revision)
        if not await self.advance(notice.cluster, notice.deltas):
            await self._behind.set()
            return
        if notice.copy_wanted:
            held = HeldNotice(notice.cluster, self.held)
            self._peers.post(peer, Area.CATALOGUE, held)

    async def _follow(self) -> None:
        """Poll a parent, again and again."""
        interval = self._bound / _POLLS_PER_BOUND
        while True:
            for host in self._to_ask():
                reply = await self._poller.ask(host)
                if reply is None:
                    self._metrics.incr("catalogue.parent_silent")
                if reply is None or not 0 <= reply.age <= self._bound * _STALE_SHARE:
                    self._neighbours.skip(host)
            async with curio.ignore_after(interval):
                await self._behind.wait()
            self._behind.clear()

    def _to_ask(self) -> list[HostName]:
        if self._source is None:
            return []
        age = monotonic() - self._confirmed_at
        confirmed = age <= self._bound * _STALE_SHARE
        return self._neighbours.to_ask(self._source, confirmed)

    async def _watch(self) -> None:
        """Show how old the view is, and let out revisions that waited long enough."""
        interval = self._bound / _POLLS_PER_BOUND / 2
        was_within = True
        while True:
            leader_age = self._source.leader_age() if self._source else None
            if leader_age is not None:
                self.confirm(monotonic() - leader_age)
            self._expose()
            age = self.view.confirmed_age()
            if age != float("inf"):
                self._metrics.gauge("catalogue.confirmed_age", age)
            within = self.within_bound()
            if was_within and not within and self.view.ready:
                self._metrics.incr("catalogue.bound_exceeded")
                _log.warning("changes may not reach this host", age=round(age, 1))
            was_within = within
            self._metrics.gauge("catalogue.within_bound", int(within))
            await curio.sleep(interval)

    async def _become_current(self) -> None:
        """Catch up before serving, until the view is ready.

        The voters are asked first, all of them: the leader's own answer is the only
        one that is certainly younger than this process. Where it doesn't come, the
        region is asked: another host of it may have served on a newer view than this
        one kept. Ready once each of them has answered, or has had its time to, and
        one of the answers or the own disk holds a view that was served on. A host
        with neither waits for the leader's confirmation; the others give that a
        little time to come first, for a whole region may have been away.
        """
        after = self._started_at + _LEADER_PATIENCE
        deadline = self._started_at + _REGION_PATIENCE
        pause = _FIRST_PAUSE
        while not self.view.ready:
            await self._poller.ask_all(self._source.voters() if self._source else [])
            if self.view.ready:
                return
            answers = await self._poller.ask_all(self._neighbours.of_region())
            answered = all(a is not None and self._has_all(a) for a in answers)
            served = self._recovered or any(a is not None and a.ready for a in answers)
            enough = after if answered else deadline
            if served and monotonic() >= enough:
                if not answered:
                    self._metrics.incr("catalogue.region_partial")
                self._exposure.note_copy(self._held.revision)
                self._expose()
                self._become_ready("region")
            await curio.sleep(pause)
            pause = min(2 * pause, self._bound / _POLLS_PER_BOUND)

    def _has_all(self, reply: PollReply) -> bool:
        """Tell whether all that another host said it holds is held here."""
        return not reply.cluster or self._held.revision >= reply.revision
