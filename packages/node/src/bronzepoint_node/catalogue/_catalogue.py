"""The catalogue on this host: storage, view and distribution to other hosts."""

from collections.abc import Callable, Sequence
from pathlib import Path

import curio

from bronzepoint_common.background import keep_running
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
from ._parent_selector import AgreementSource, ParentSelector
from ._poller import Poller
from ._status import CatalogueStatus
from ._tree import LiveHost
from ._view import CatalogueView

_POLLS_PER_BOUND = 5
"""Number of polls of the parent within the bound. A change passes up to three hops of
one poll interval each, and the rest is slack."""
_STALE_SHARE = 0.6
"""Share of the bound above which a parent's confirmation is too old to be useful."""
_LEADER_MAX_WAIT = 1.5
"""Seconds that a restarted host waits for the leader's confirmation before the answers
of its region are sufficient."""
_REGION_MAX_WAIT = 3.0
"""Seconds that a restarted host waits for unresponsive hosts of its region."""
_FIRST_POLL_PAUSE = 0.1
"""Seconds between the first two rounds of polls after a start; each pause doubles."""
_UNKNOWN_AGE = -1.0
"""Age in seconds that messages and the status hold before the first confirmation."""
_log = get_logger("catalogue")


class Catalogue:
    """Replicates the agreed catalogue and distributes it to other hosts.

    Args:
        settings: This host's settings.
        peers: Links to the other hosts.
        metrics: Counters and gauges, such as ``catalogue.confirmed_age``.
        live_hosts: Returns the hosts that membership knows.

    Attributes:
        view: View of the catalogue that requests are decided on.
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
        self._parent_selector = ParentSelector(settings, live_hosts)
        self._children = Children(peers)
        self._poller = Poller(host.name, peers, self)
        self._held = HeldCatalogue(Path(host.data_folder) if host.data_folder else None)
        self._exposure = Exposure()
        self._source: AgreementSource | None = None
        self._foreign_cluster = ClusterId("")
        self._started_at = monotonic()
        self._confirmed_at = float("-inf")
        self._recovered = False
        self._lock = curio.Lock()
        self._deltas_missing = curio.Event()
        self._tasks = curio.TaskGroup()
        peers.register(Area.CATALOGUE, CatalogueMessage, self._handle)

    @property
    def cluster(self) -> ClusterId:
        """The cluster that this host belongs to; empty before it has joined one."""
        return self._held.cluster

    @property
    def held(self) -> Revision:
        """Newest revision that this host holds."""
        return self._held.revision

    def follow(self, source: AgreementSource) -> None:
        """Set the agreement; must be called before ``start``."""
        self._source = source

    async def start(self) -> None:
        """Load the stored catalogue and start replication.

        Raises:
            StorageError: The data folder is damaged, or another process holds it.
        """
        await self._held.open()
        self._recovered = bool(self._held.cluster)
        self._started_at = monotonic()
        if self._recovered:
            self._on_held_change()
        await self._tasks.spawn(keep_running, self._catch_up)
        await self._tasks.spawn(keep_running, self._follow)
        await self._tasks.spawn(keep_running, self._monitor)

    async def close(self) -> None:
        """Stop replication and close the files."""
        await self._tasks.cancel_remaining()
        await self._held.close()

    async def advance(self, cluster: ClusterId, deltas: list[Delta]) -> bool:
        """Apply agreed deltas; return False if a preceding delta is missing."""
        async with self._lock:
            if not await self._join(cluster):
                return True
            before = self._held.revision
            if not await self._held.advance(deltas):
                return False
            if self._held.revision > before:
                self._on_held_change()
                self._push_deltas(before)
        return True

    async def replace(self, view: ViewSnapshot) -> None:
        """Replace the held catalogue with a complete view, if that is newer."""
        async with self._lock:
            if not await self._join(view.cluster):
                return
            if view.revision > self._held.revision:
                await self._held.replace(view)
                self._metrics.incr("catalogue.whole_view")
                self._on_held_change()

    def within_bound(self) -> bool:
        """Return whether all changes older than the bound are known to be in effect."""
        return self.view.ready and self.view.confirmed_age() <= self._bound

    def status(self) -> CatalogueStatus:
        """Return the catalogue status of this host for operators."""
        age = self.view.confirmed_age()
        return CatalogueStatus(
            cluster=self._held.cluster,
            revision=self.view.revision,
            held=self._held.revision,
            ready=self.view.ready,
            confirmed_age=round(age, 3) if age != float("inf") else _UNKNOWN_AGE,
            within_bound=self.within_bound(),
            parent=self._parent_selector.parent,
            children=len(self._children.live()),
            foreign_cluster=self._foreign_cluster,
        )

    def _push_deltas(self, before: Revision) -> None:
        """Send new deltas to the children, and to the hosts that should hold a copy."""
        copy_wanted = self._exposure.is_waiting
        # Voters receive the deltas from the agreement log.
        voters = self._source.voters() if self._source else []
        self._children.push(self._held, copy_wanted, voters)
        deltas = self._held.deltas_after(before) if copy_wanted else None
        for host in self._parent_selector.second_copy_hosts() if deltas else []:
            notice = DeltaNotice(self._held.cluster, deltas, copy_wanted)
            self._peers.post(host, Area.CATALOGUE, notice)

    async def _join(self, cluster: ClusterId) -> bool:
        if not self._held.cluster:
            await self._held.join(cluster)
            self._on_held_change()
        if self._held.cluster == cluster:
            return True
        # The voters were initialised again, or this host was moved here with its old
        # data. Following them would replace the view by an older or foreign one.
        self._metrics.incr("catalogue.other_cluster")
        self._foreign_cluster = cluster
        return False

    def _on_held_change(self) -> None:
        """Add the held revision to the exposure and expose it if a copy exists."""
        held = self._held
        self._exposure.add(held.revision, held.items, monotonic())
        if held.durable or not self._parent_selector.of_region():
            self._exposure.note_copy(held.revision)
        self._expose()

    def _expose(self) -> None:
        exposed = self._exposure.take(monotonic())
        if exposed is not None:
            revision, items, alone = exposed
            if alone:
                self._metrics.incr("catalogue.exposed_alone")
            if revision >= self.view.revision:
                self.view.show(revision, items, self.view.ready)
        if self.view.revision == self._held.revision:
            self.view.confirm(self._confirmed_at)

    def _mark_ready(self, reason: str) -> None:
        if self.view.ready or self.view.revision < self._held.revision:
            return
        self.view.show(self._held.revision, self._held.items, True)
        self._metrics.incr(f"catalogue.ready.{reason}")
        _log.info("catalogue ready", revision=self.view.revision, reason=reason)

    def confirm(self, at: float) -> None:
        """Record that the held revision was current at a monotonic time.

        A view confirmed for a time after the start of this process is at least as new
        as any that this host or its region had acknowledged before.
        """
        self._confirmed_at = max(self._confirmed_at, at)
        self._expose()
        if self._held.cluster and at >= self._started_at:
            self._mark_ready("confirmed")

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
        """Record that another host holds a revision; only hosts of the region count."""
        if cluster == self._held.cluster and peer in self._parent_selector.of_region():
            self._exposure.note_copy(revision)
            self._expose()

    async def _on_notice(self, peer: HostName, notice: DeltaNotice) -> None:
        if notice.cluster != self._held.cluster:
            return
        if notice.deltas:
            self.note_copy(peer, notice.cluster, notice.deltas[-1].revision)
        if not await self.advance(notice.cluster, notice.deltas):
            await self._deltas_missing.set()
            return
        if notice.copy_wanted:
            held = HeldNotice(notice.cluster, self.held)
            self._peers.post(peer, Area.CATALOGUE, held)

    async def _follow(self) -> None:
        """Poll a parent at each interval, or at once if deltas are missing."""
        interval = self._bound / _POLLS_PER_BOUND
        while True:
            for host in self._hosts_to_poll():
                reply = await self._poller.poll(host)
                if reply is None:
                    self._metrics.incr("catalogue.parent_silent")
                if reply is None or not 0 <= reply.age <= self._bound * _STALE_SHARE:
                    self._parent_selector.skip(host)
            async with curio.ignore_after(interval):
                await self._deltas_missing.wait()
            self._deltas_missing.clear()

    def _hosts_to_poll(self) -> list[HostName]:
        if self._source is None:
            return []
        age = monotonic() - self._confirmed_at
        confirmed = age <= self._bound * _STALE_SHARE
        return self._parent_selector.hosts_to_poll(self._source, confirmed)

    async def _monitor(self) -> None:
        """Update the metrics, and expose revisions that were withheld long enough."""
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
                _log.warning("catalogue not confirmed in time", age=round(age, 1))
            was_within = within
            self._metrics.gauge("catalogue.within_bound", int(within))
            await curio.sleep(interval)

    async def _catch_up(self) -> None:
        """Catch up after a start until the view is ready to serve.

        All voters are polled first, as only the leader's answer is certain to be newer
        than this process. Without it, the hosts of the region are polled, as one of
        them may have used a newer view than the one stored here. The view is ready once
        each of them has answered or timed out, and one of the answers or this host's
        disk provides a view that was already in use. A host with neither waits for the
        leader's confirmation. The others also wait for it briefly, since the whole
        region may have been disconnected.
        """
        earliest = self._started_at + _LEADER_MAX_WAIT
        deadline = self._started_at + _REGION_MAX_WAIT
        pause = _FIRST_POLL_PAUSE
        while not self.view.ready:
            await self._poller.poll_all(self._source.voters() if self._source else [])
            if self.view.ready:
                return
            answers = await self._poller.poll_all(self._parent_selector.of_region())
            answered = all(a is not None and self._holds_all(a) for a in answers)
            served = self._recovered or any(a is not None and a.ready for a in answers)
            ready_at = earliest if answered else deadline
            if served and monotonic() >= ready_at:
                if not answered:
                    self._metrics.incr("catalogue.region_partial")
                self._exposure.note_copy(self._held.revision)
                self._expose()
                self._mark_ready("region")
            await curio.sleep(pause)
            pause = min(2 * pause, self._bound / _POLLS_PER_BOUND)

    def _holds_all(self, reply: PollReply) -> bool:
        """Return whether this host holds the revision that another host reported."""
        return not reply.cluster or self._held.revision >= reply.revision
