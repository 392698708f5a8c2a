"""One voter: its durable log, its votes, and what it applies."""

from collections.abc import Awaitable, Callable
from pathlib import Path

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Peers
from bronzepoint_common.storage import StorageError
from bronzepoint_node.catalogue import Catalogue
from bronzepoint_schema.generated.agreement import (
    AppendReply,
    AppendRequest,
    ChangeBody,
    Delta,
    GenesisRequest,
    IdentityReply,
    LogEntry,
    MachineSnapshot,
    ProposeReply,
    ProposeRequest,
    SnapshotInstall,
    VoteReply,
    VoteRequest,
    VotersBody,
)
from bronzepoint_schema.generated.agreement import (
    Voter as VoterId,
)
from bronzepoint_schema.generated.settings import AgreementSection
from bronzepoint_schema.ids import (
    ClusterId,
    FencingNumber,
    HostName,
    RegionName,
    StorageId,
    Term,
)

from ._ballot import Ballot
from ._election import Election
from ._genesis import cluster_of
from ._leadership import Leadership
from ._machine import Machine
from ._quorum import VoterSets
from ._receiver import Receiver
from ._status import AgreementStatus, Role, VoterStatus
from ._voter_log import VoterLog

Deliver = Callable[[HostName, ProposeReply], Awaitable[None]]

_log = get_logger("agreement")


class Voter:
    """A host that votes on the catalogue, or learns in order to.

    Args:
        name: This host.
        folder: Its data folder.
        expected: Hosts that the settings name as voters.
        section: Times.
        peers: Links to the other hosts.
        catalogue: Takes what was agreed.
        metrics: Counters.
        deliver: Sends the outcome of a change to the host that proposed it.
        region: Region of this host; empty: voters are not spread over regions.

    Attributes:
        lock: Held by whoever changes the log, the term or the role.
        commit_index: Last position known to be durable on a quorum.
        leader: Leader of the present term; empty: not known.
        ballot: Its votes.
        role: What this voter is in the present term.
        heard_at: When a leader was heard last, by the own monotonic clock.
        has_heard_leader: Since the start a leader was heard, or elected here.
        stands_early: It asks for votes without waiting for a lease to end.
        failure: Why this voter has stopped; empty: it hasn't.
    """

    def __init__(
        self,
        name: HostName,
        folder: Path,
        expected: list[HostName],
        section: AgreementSection,
        peers: Peers,
        catalogue: Catalogue,
        metrics: Metrics,
        deliver: Deliver,
        region: RegionName | None = None,
    ) -> None:
        self.name = name
        self.region = region or RegionName("")
        self.section = section
        self.peers = peers
        self.metrics = metrics
        self.deliver = deliver
        self.log = VoterLog(folder)
        self.machine = Machine(ClusterId(""), [])
        self.lock = curio.Lock()
        self.commit_index = 0
        self.leader = HostName("")
        self.role = Role.follower
        self.ballot = Ballot(self)
        self._receiver = Receiver(self)
        self._expected = expected
        self._catalogue = catalogue
        self._leadership: Leadership | None = None
        self.heard_at = 0.0
        self.has_heard_leader = False
        self.stands_early = False
        self.failure = ""
        self._deltas: list[Delta] = []
        self._applied = curio.Event()
        self._open = False
        self._tasks = curio.TaskGroup()

    async def start(self) -> None:
        """Read the data folder and take part.

        Raises:
            StorageError: The folder is damaged, or another process holds it.
        """
        await self.log.open()
        self._restore_machine()
        # What this storage promised before a restart isn't written down: it may have
        # answered a heartbeat just before, and the leader counts on it. So the start
        # counts as hearing a leader.
        self.heard_at = monotonic()
        # Messages come as soon as the links are up. Taken before the log is read, a
        # leader's snapshot would be written over it under an empty identity; one would
        # notice at the next start, as a damaged log.
        self._open = True
        await self._applied.set()
        await self._tasks.spawn(self._take_part)
        await self._tasks.spawn(self._feed_catalogue)

    async def close(self) -> None:
        """Stop taking part and close the files."""
        if self._leadership is not None:
            self._leadership.stop()
        await self._tasks.cancel_remaining()
        await self.log.close()

    @property
    def is_leader(self) -> bool:
        """True while this voter leads its term, with or without a lease."""
        return self._leadership is not None and self._leadership.active

    def lease_until(self) -> float | None:
        """Return when the lease ends; None where this host doesn't lead."""
        leadership = self._leadership
        if leadership is None or not leadership.active or not leadership.ready:
            return None
        return leadership.lease_until()

    async def add_learner(
        self, host: HostName, storage: StorageId, region: RegionName
    ) -> bool:
        """Follow up a host that would vote if needed; False: this isn't the leader."""
        if not self.is_leader:
            return False
        await self._leadership.add_learner(host, storage, region)
        return True

    def lease(self) -> FencingNumber | None:
        """Return the number to act under, if this host may act as leader right now."""
        until = self.lease_until()
        if until is None or monotonic() >= until:
            return None
        return FencingNumber(self._leadership.term)

    def voter_sets(self) -> VoterSets:
        """Return the voters; the former ones too until a change of them is durable."""
        entry = self.log.last_voters_entry(self.machine.index)
        if entry is None or not isinstance(entry.body, VotersBody):
            return [self.machine.voters] if self.machine.voters else []
        return [self.machine.voters, entry.body.voters]

    def has_applied_term(self) -> bool:
        """Tell whether an entry of the present term is applied here."""
        return self.machine.index > 0 and self.machine.term == self.log.term

    def known_voters(self) -> list[VoterId]:
        """Return the voters of the newest set."""
        sets = self.voter_sets()
        return list(sets[-1]) if sets else []

    def status(self) -> AgreementStatus:
        """Return what operators see."""
        until = self.lease_until()
        lease_left = max(0.0, until - monotonic()) if until is not None else 0.0
        voters = [VoterStatus(v.host, v.storage) for v in self.machine.voters]
        if self._leadership is not None and self._leadership.active:
            voters = self._leadership.voter_statuses()
        return AgreementStatus(
            role=self._shown_role(),
            leader=self.leader,
            cluster=self.log.identity.cluster,
            storage=self.log.identity.storage,
            term=self.log.term,
            last_index=self.log.last_index,
            commit_index=self.commit_index,
            revision=self.machine.revision,
            lease_left=round(lease_left, 3),
            voters=voters,
            failure=self.failure,
        )

    def identity(self) -> IdentityReply | None:
        """Return who this voter is; None: its log isn't read yet."""
        if not self._open:
            return None
        known = self.log.identity
        return IdentityReply(known.storage, known.cluster, known.voters)

    async def handle(
        self, peer: HostName, message: VoteRequest | AppendRequest | SnapshotInstall
    ) -> VoteReply | AppendReply | None:
        """Answer a candidate or a leader; None: the message is dropped."""
        if self.failure or not self._open:
            return None
        try:
            async with self.lock:
                match message:
                    case VoteRequest():
                        return await self.ballot.answer(message)
                    case AppendRequest():
                        return await self._receiver.on_append(peer, message)
                    case SnapshotInstall():
                        return await self._receiver.on_snapshot(peer, message)
        except StorageError as exc:
            await self.fail(exc)
        return None

    async def submit(self, request: ProposeRequest, host: HostName) -> ProposeReply:
        """Bring a change before the leader, if this is it.

        Returns:
            The outcome or whom to ask; None: the outcome will be delivered later.
        """
        if not self._open:
            return ProposeReply(request.change.change_id, HostName(""))
        try:
            async with self.lock:
                if self.is_leader and not self.failure:
                    return await self._leadership.submit(request.change, host)
        except StorageError as exc:
            await self.fail(exc)
            return None
        leader = self.leader if self.leader != self.name else HostName("")
        return ProposeReply(request.change.change_id, leader)

    async def begin_cluster(self, request: GenesisRequest) -> IdentityReply | None:
        """Begin a cluster, if this storage is blank and one of its first voters.

        A storage begins one cluster in its life, so of two operators with different
        lists at most one gets a quorum; with the same list both get the same cluster.
        """
        if not self._open:
            return None
        async with self.lock:
            own = VoterId(self.name, self.log.identity.storage)
            hosts = sorted(voter.host for voter in request.voters)
            blank = not self.log.identity.cluster
            if blank and own in request.voters and hosts == sorted(self._expected):
                cluster = cluster_of(request.voters)
                await self.log.adopt(cluster, request.voters)
                self._restore_machine()
                await self._applied.set()
        return self.identity()

    async def step_down(self, term: Term) -> None:
        """Follow; callers hold the lock."""
        if self._leadership is not None:
            self._leadership.stop()
        self.role = Role.follower
        self.leader = HostName("")
        if term > self.log.term:
            await self.log.save_vote(term, StorageId(""))

    async def commit(self, index: int) -> None:
        """Apply what is durable on a quorum; callers hold the lock."""
        self.commit_index = max(self.commit_index, index)
        while self.machine.index < min(self.commit_index, self.log.last_index):
            await self._apply(self.log.entry(self.machine.index + 1))
        await self._applied.set()
        await self._compact()

    async def fail(self, exc: StorageError) -> None:
        """Stop taking part: without its disk this voter can't keep its promises."""
        if not self.failure:
            _log.error("voter stopped: its storage failed", reason=str(exc))
            self.metrics.incr("agreement.storage_failed")
        self.failure = str(exc)
        if self._leadership is not None:
            self._leadership.stop()
        self.role = Role.failed

    def _restore_machine(self) -> None:
        identity = self.log.identity
        if self.log.snapshot is not None:
            self.machine = Machine.restore(self.log.snapshot)
        else:
            self.machine = Machine(identity.cluster, list(identity.voters))
        self.commit_index = self.machine.index

    def _shown_role(self) -> Role:
        if self.failure:
            return Role.failed
        if not self.log.identity.cluster:
            return Role.blank
        if not self.may_vote():
            return Role.learner
        return self.role

    def may_vote(self) -> bool:
        """Tell whether this storage is agreed to be a voter.

        A host whose disk was lost has a new storage that isn't: the votes and entries
        that the lost one had promised are gone, and voting again in a term in which
        it had voted could elect a second leader.
        """
        own = VoterId(self.name, self.log.identity.storage)
        return any(own in voters for voters in self.voter_sets())

    def is_own_cluster(self, cluster: ClusterId) -> bool:
        """Tell whether a message is of this voter's cluster, and count it if not."""
        if cluster == self.log.identity.cluster and cluster:
            return True
        self.metrics.incr("agreement.other_cluster")
        return False

    async def take_snapshot(self, state: MachineSnapshot) -> None:
        """Replace the state by a leader's snapshot; callers hold the lock."""
        await self.log.install(state)
        self._restore_machine()
        self._deltas.clear()
        await self._applied.set()
        self.metrics.incr("agreement.snapshot_installed")

    def lead(self, term: Term) -> Leadership:
        """Become the leader; callers hold the lock."""
        self.role = Role.leader
        self.has_heard_leader = True
        self.leader = self.name
        self._leadership = Leadership(self, term)
        _log.info("elected", term=term)
        self.metrics.incr("agreement.elected")
        return self._leadership

    async def _apply(self, entry: LogEntry) -> None:
        applied = self.machine.apply(entry)
        if applied.delta is not None:
            self._deltas.append(applied.delta)
        if isinstance(entry.body, ChangeBody) and self.is_leader:
            change_id = entry.body.change.change_id
            await self._leadership.deliver(change_id, applied.result)

    async def _compact(self) -> None:
        snapshot = self.log.snapshot
        since = self.machine.index - (snapshot.index if snapshot else 0)
        if since >= self.section.snapshot_every:
            keep = self.section.snapshot_every // 2
            await self.log.compact(self.machine.snapshot(), keep)
            self.metrics.incr("agreement.compacted")

    async def _feed_catalogue(self) -> None:
        """Hand what was agreed to the catalogue of this host."""
        while True:
            await self._applied.wait()
            self._applied.clear()
            if not self.log.identity.cluster:
                continue
            deltas, self._deltas = self._deltas, []
            cluster, revision = self.machine.cluster, self.machine.revision
            known = await self._catalogue.advance(cluster, deltas)
            if not known or self._catalogue.held < revision:
                await self._catalogue.replace(self.machine.view())

    async def _take_part(self) -> None:
        """Follow, stand when the leader is silent, lead when elected."""
        election = Election(self)
        while True:
            await election.wait_for_silence()
            try:
                leadership = await election.stand()
                if leadership is not None:
                    await leadership.run()
            except StorageError as exc:
                await self.fail(exc)
            self._leadership = None
