"""One voter: its durable log, its votes and its replicated state."""

import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import curio

from bronzepoint_common.background import keep_running
from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.pause_detector import PauseDetector
from bronzepoint_common.peers import Peers
from bronzepoint_common.storage import StorageError, StorageFull
from bronzepoint_node.catalogue import Catalogue
from bronzepoint_schema.generated.agreement import (
    Accepted,
    AppendReply,
    AppendRequest,
    Change,
    ChangeBody,
    CloseDataCenter,
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

from ._election import Election
from ._initialisation import derive_cluster_id
from ._leadership import Leadership
from ._log_bounds import log_bounds
from ._quorum import VoterSets, required_sets
from ._replication_handler import ReplicationHandler
from ._state_machine import ApplyResult, StateMachine
from ._status import AgreementStatus, Role, VoterStatus
from ._vote_handler import VoteHandler
from ._voter_log import VoterLog

MIN_PAUSE = 0.75
"""Seconds without running, three heartbeats, after which a leader's message may be so
old that others have been accepted since."""
CATCH_UP = 0.5
"""Seconds after such a pause in which messages that arrived meanwhile are read."""
COMPACTION_RETRY = 1.0
"""Seconds after which a snapshot for which there was no room is tried again."""
FULL_LOG_INTERVAL = 10.0
"""Minimum seconds between two log lines about a disk without room."""

Deliver = Callable[[HostName, ProposeReply], Awaitable[None]]

_log = get_logger("agreement")


class Voter:
    """A host that votes on the catalogue, or a learner that may become a voter.

    Args:
        name: This host.
        folder: Its data folder.
        expected: Hosts that the settings name as voters.
        section: Intervals and timeouts.
        peers: Links to the other hosts.
        catalogue: Applies committed changes.
        metrics: Counters.
        deliver: Sends the outcome of a change to the host that proposed it.
        region: Region of this host; empty if voters are not spread over regions.

    Attributes:
        bounds: Bounds on what is kept on the disk and in memory.
        lock: Must be held to change the log, the term or the role.
        commit_index: Last position known to be durable on a quorum.
        leader: Leader of the current term; empty if not known.
        vote_handler: Answers vote requests.
        role: Role of this voter in the current term.
        last_contact_at: When the last message of a leader arrived, by this host's
            monotonic clock in seconds.
        confirmed_at: When the state last held all that the leader knew to be durable,
            by this host's monotonic clock in seconds; None: never since the start.
        has_leader_contact: Whether a leader has made contact, or this voter was
            elected, since its start.
        is_early_candidate: Whether it requests votes without waiting for a lease to
            expire.
        handed_over_at: When this host last gave up the lead for want of room, by its
            monotonic clock in seconds.
        failure: Why this voter has stopped; empty while it runs.
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
        self.bounds = log_bounds(section.log_bytes, folder)
        self.log = VoterLog(folder, self.bounds.records)
        self.state_machine = StateMachine(ClusterId(""), [])
        self.lock = curio.Lock()
        self.commit_index = 0
        self.leader = HostName("")
        self.role = Role.follower
        self.vote_handler = VoteHandler(self)
        self._replication_handler = ReplicationHandler(self)
        self._expected = expected
        self._catalogue = catalogue
        self._leadership: Leadership | None = None
        self.last_contact_at = 0.0
        self.confirmed_at: float | None = None
        self._pauses = PauseDetector(MIN_PAUSE, CATCH_UP)
        self.has_leader_contact = False
        self.is_early_candidate = False
        self.failure = ""
        self.handed_over_at = float("-inf")
        self._compact_at = 0.0
        self._full_logged_at = float("-inf")
        self._deltas: list[Delta] = []
        self._applied = curio.Event()
        self._is_open = False
        self._tasks = curio.TaskGroup()

    async def start(self) -> None:
        """Read the data folder and start the voter's tasks.

        Raises:
            StorageError: The folder is damaged or used by another process.
        """
        await self.log.open()
        self._restore_machine()
        # Answers to heartbeats aren't stored. This voter may have answered one just
        # before a restart, and the leader's lease may depend on that answer, so the
        # start counts as contact with a leader.
        self.last_contact_at = monotonic()
        # Messages may arrive before the log is read. A leader's snapshot would then
        # overwrite the log with an empty identity, and the next start would fail
        # because the log is damaged.
        self._is_open = True
        await self._applied.set()
        await self._pauses.start()
        await self._tasks.spawn(keep_running, self._run_elections)
        await self._tasks.spawn(keep_running, self._update_catalogue)

    async def close(self) -> None:
        """Stop the voter's tasks and close the files."""
        if self._leadership is not None:
            self._leadership.stop()
        await self._tasks.cancel_remaining()
        await self._pauses.close()
        await self.log.close()

    @property
    def is_leader(self) -> bool:
        """Whether this voter leads its term, with or without a lease."""
        return self._leadership is not None and self._leadership.active

    def lease_until(self) -> float | None:
        """Return when the lease expires, or None if this host can't hold one.

        The time is in seconds by this host's monotonic clock. A host can't hold a
        lease if it isn't the leader or hasn't applied all entries of former leaders.
        """
        leadership = self._leadership
        if leadership is None or not leadership.active or not leadership.ready:
            return None
        return leadership.lease_until()

    async def add_learner(
        self, host: HostName, storage: StorageId, region: RegionName
    ) -> bool:
        """Start replication to a learner; return False if this isn't the leader."""
        if not self.is_leader:
            return False
        await self._leadership.add_learner(host, storage, region)
        return True

    def lease(self) -> FencingNumber | None:
        """Return the fencing number while this host holds the lease, else None."""
        until = self.lease_until()
        if until is None or monotonic() >= until:
            return None
        return FencingNumber(self._leadership.term)

    def voter_sets(self) -> VoterSets:
        """Return the sets of voters of each of which a quorum is required.

        The former set is that of the newest change, not the applied one: a leader
        appends a change only after all earlier ones are committed, and a voter that
        restarts has applied none of those in its log. Nor does it need the former set
        if it recorded that the newest one is committed: the hosts that this change
        removed may be lost for good.
        """
        entry = self.log.last_voters_entry(self.state_machine.index)
        if entry is not None and entry.index <= self.log.committed_index:
            return [entry.body.voters]
        if entry is not None:
            return required_sets(entry.body.former, entry.body.voters)
        return [self.state_machine.voters] if self.state_machine.voters else []

    def is_changing_voters(self) -> bool:
        """Return whether the newest change of the voters isn't known to be durable."""
        return self.log.last_voters_entry(self.state_machine.index) is not None

    def has_applied_term(self) -> bool:
        """Return whether an entry of the current term is applied on this host."""
        return self.state_machine.index > 0 and self.state_machine.term == self.log.term

    def known_voters(self) -> list[VoterId]:
        """Return the voters of the newest set."""
        sets = self.voter_sets()
        return list(sets[-1]) if sets else []

    def record_confirmation(self, commit: int, received_at: float) -> None:
        """Record that the leader has confirmed the state of this host.

        Contact alone doesn't confirm it: the host may still lack entries, or read
        messages that waited for it while it was paused.

        Args:
            commit: Last position that the leader knew to be durable.
            received_at: Monotonic seconds at which its message was read.
        """
        is_complete = self.state_machine.index >= commit
        if is_complete and not self._pauses.has_just_resumed():
            self.confirmed_at = received_at

    def status(self) -> AgreementStatus:
        """Return the status of this voter for operators."""
        until = self.lease_until()
        lease_left = max(0.0, until - monotonic()) if until is not None else 0.0
        voters = [VoterStatus(v.host, v.storage) for v in self.state_machine.voters]
        if self._leadership is not None and self._leadership.active:
            voters = self._leadership.voter_statuses()
        return AgreementStatus(
            role=self._reported_role(),
            leader=self.leader,
            cluster=self.log.identity.cluster,
            storage=self.log.identity.storage,
            term=self.log.term,
            last_index=self.log.last_index,
            commit_index=self.commit_index,
            revision=self.state_machine.revision,
            lease_left=round(lease_left, 3),
            voters=voters,
            failure=self.failure,
        )

    def identity(self) -> IdentityReply | None:
        """Return this voter's identity, or None until its log is read."""
        if not self._is_open:
            return None
        known = self.log.identity
        return IdentityReply(known.storage, known.cluster, known.voters)

    async def handle(
        self, peer: HostName, message: VoteRequest | AppendRequest | SnapshotInstall
    ) -> VoteReply | AppendReply | None:
        """Return the reply to a candidate or leader, or None to drop the message."""
        if self.failure or not self._is_open:
            return None
        try:
            async with self.lock:
                match message:
                    case VoteRequest():
                        return await self.vote_handler.answer(message)
                    case AppendRequest():
                        return await self._replication_handler.on_append(peer, message)
                    case SnapshotInstall():
                        return await self._replication_handler.on_snapshot(
                            peer, message
                        )
        except StorageFull as exc:
            self.report_full(exc)
        except StorageError as exc:
            await self.fail(exc)
        return None

    async def submit(self, request: ProposeRequest, host: HostName) -> ProposeReply:
        """Append a change to the log if this voter is the leader.

        Returns:
            The outcome, or the leader to send it to; None if the outcome is delivered
            later.
        """
        if not self._is_open:
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

    async def initialise_cluster(self, request: GenesisRequest) -> IdentityReply | None:
        """Initialise a cluster if this storage is blank and one of its first voters.

        A storage joins only one cluster. Of two operators with different lists of
        voters at most one gets a quorum; with equal lists both get the same cluster.
        """
        if not self._is_open:
            return None
        async with self.lock:
            own = VoterId(self.name, self.log.identity.storage)
            hosts = sorted(voter.host for voter in request.voters)
            blank = not self.log.identity.cluster
            if blank and own in request.voters and hosts == sorted(self._expected):
                cluster = derive_cluster_id(request.voters)
                try:
                    await self.log.join_cluster(cluster, request.voters)
                except StorageFull as exc:
                    self.report_full(exc)
                    return self.identity()
                self._restore_machine()
                await self._applied.set()
        return self.identity()

    async def step_down(self, term: Term) -> None:
        """Become a follower, in a newer term if one is given.

        The caller must hold the lock.
        """
        if self._leadership is not None:
            self._leadership.stop()
        self.role = Role.follower
        self.leader = HostName("")
        if term > self.log.term:
            await self.log.save_vote(term, StorageId(""))

    async def commit(self, index: int) -> None:
        """Apply entries that are durable on a quorum; the caller must hold the lock."""
        self.commit_index = max(self.commit_index, index)
        while self.state_machine.index < min(self.commit_index, self.log.last_index):
            await self._apply(self.log.entry(self.state_machine.index + 1))
        await self._applied.set()
        await self._save_committed()
        await self._compact()

    async def _save_committed(self) -> None:
        """Store that the applied change of the voters is durable on a quorum.

        Without room for it, it is stored with the next commit.
        """
        applied = self.state_machine.voters_index
        if applied > self.log.committed_index:
            try:
                await self.log.save_committed(applied)
            except StorageFull as exc:
                self.report_full(exc)

    def report_full(self, exc: StorageFull) -> None:
        """Report a write for which there was no room, at most once in a while."""
        self.metrics.incr("agreement.storage_full")
        if monotonic() - self._full_logged_at >= FULL_LOG_INTERVAL:
            self._full_logged_at = monotonic()
            _log.error("no room on the disk", reason=str(exc))

    async def fail(self, exc: StorageError) -> None:
        """Stop this voter, since it can't store votes and entries without its disk."""
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
            self.state_machine = StateMachine.restore(self.log.snapshot)
        else:
            self.state_machine = StateMachine(identity.cluster, list(identity.voters))
        self.commit_index = self.state_machine.index

    def _reported_role(self) -> Role:
        if self.failure:
            return Role.failed
        if not self.log.identity.cluster:
            return Role.blank
        if not self.may_vote():
            return Role.learner
        return self.role

    def may_vote(self) -> bool:
        """Return whether this storage is a member of the current voters.

        The new storage of a host whose disk was lost isn't a member: the votes and
        entries of the lost one are gone, and a second vote in the same term could
        elect a second leader.
        """
        own = VoterId(self.name, self.log.identity.storage)
        return any(own in voters for voters in self.voter_sets())

    def is_own_cluster(self, cluster: ClusterId) -> bool:
        """Return whether a message belongs to this voter's cluster; count it if not."""
        if cluster == self.log.identity.cluster and cluster:
            return True
        self.metrics.incr("agreement.other_cluster")
        return False

    async def install_snapshot(self, state: MachineSnapshot) -> None:
        """Replace the state by a leader's snapshot; the caller must hold the lock."""
        await self.log.install(state)
        self._restore_machine()
        self._deltas.clear()
        await self._applied.set()
        self.metrics.incr("agreement.snapshot_installed")

    def become_leader(self, term: Term) -> Leadership:
        """Become the leader; the caller must hold the lock."""
        self.role = Role.leader
        self.has_leader_contact = True
        self.leader = self.name
        self._leadership = Leadership(self, term)
        _log.info("elected", term=term)
        self.metrics.incr("agreement.elected")
        return self._leadership

    async def _apply(self, entry: LogEntry) -> None:
        applied = self.state_machine.apply(entry)
        if applied.delta is not None:
            self._deltas.append(applied.delta)
        match entry.body:
            case ChangeBody(change=Change(op=CloseDataCenter() as op)):
                self._log_order(entry, op, applied)
            case VotersBody(voters=voters):
                hosts = [voter.host for voter in voters]
                _log.info("voters in force", voters=hosts, index=entry.index)
        if isinstance(entry.body, ChangeBody) and self.is_leader:
            change_id = entry.body.change.change_id
            await self._leadership.deliver(change_id, applied.result)

    def _log_order(
        self, entry: LogEntry, op: CloseDataCenter, applied: ApplyResult
    ) -> None:
        """Log the outcome of an order to close or open a data center.

        Every host of the core logs it, so that their logs can be compared.
        """
        _log.info(
            "order applied",
            order="close" if op.closed else "open",
            name=op.data_center,
            accepted=isinstance(applied.result, Accepted),
            index=entry.index,
            known_index=op.known_index,
            revision=self.state_machine.revision,
            age_seconds=round(time.time() - entry.time, 3),
        )

    async def _compact(self) -> None:
        """Replace the applied entries by a snapshot if they are many or large."""
        if not self._needs_compaction() or monotonic() < self._compact_at:
            return
        former = self.log.file_bytes
        try:
            await self.log.compact(
                self.state_machine.snapshot(),
                self.section.snapshot_every // 2,
                self.bounds.kept,
            )
        except StorageFull as exc:
            # The log is as it was; it takes further entries while there is room.
            self._compact_at = monotonic() + COMPACTION_RETRY
            self.report_full(exc)
            return
        self.metrics.incr("agreement.compacted")
        _log.info(
            "log compacted",
            index=self.state_machine.index,
            former_bytes=former,
            bytes=self.log.file_bytes,
            entries=self.log.entry_count,
        )

    def _needs_compaction(self) -> bool:
        snapshot = self.log.snapshot
        stored = snapshot.index if snapshot else 0
        applied = self.state_machine.index
        if applied - stored >= self.section.snapshot_every:
            return True
        if applied == stored:
            return False
        return self.log.bytes_between(0, applied) > self.bounds.records

    async def _update_catalogue(self) -> None:
        """Pass committed changes to the catalogue of this host."""
        while True:
            await self._applied.wait()
            self._applied.clear()
            if not self.log.identity.cluster:
                continue
            deltas, self._deltas = self._deltas, []
            cluster, revision = self.state_machine.cluster, self.state_machine.revision
            known = await self._catalogue.advance(cluster, deltas)
            if not known or self._catalogue.held < revision:
                await self._catalogue.replace(self.state_machine.view())

    async def _run_elections(self) -> None:
        """Run an election after each election timeout, and lead if elected."""
        election = Election(self)
        while True:
            await election.wait_for_timeout()
            try:
                leadership = await election.campaign()
                if leadership is not None:
                    await leadership.run()
            except StorageFull as exc:
                self.report_full(exc)
            except StorageError as exc:
                await self.fail(exc)
            finally:
                # Without its task, a term must not seem to be led by this host.
                if self._leadership is not None:
                    self._leadership.stop()
                self._leadership = None
