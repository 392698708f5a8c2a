"""One term of a leader: replication, commit, lease and changes of the voters."""

import time
import zlib
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import curio
import msgspec

from bronzepoint_common.batches import first_batch
from bronzepoint_common.call_pacing import AdaptiveTimeout
from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.peers import Area, PeerError
from bronzepoint_common.storage import StorageError, StorageFull
from bronzepoint_schema.generated.agreement import (
    AppendReply,
    AppendRequest,
    Change,
    ChangeBody,
    ChangeResult,
    LogEntry,
    ProposeReply,
    Remove,
    SnapshotInstall,
    TermBody,
    VotersBody,
)
from bronzepoint_schema.generated.agreement import (
    Voter as VoterId,
)
from bronzepoint_schema.ids import ChangeId, HostName, RegionName, StorageId, Term

from ._quorum import VACANT, reached_by_quorum
from ._state_machine import find_voter, replace_storage
from ._status import VoterStatus
from ._voter_choice import VoterCandidate, select_voters

if TYPE_CHECKING:
    from ._voter import Voter

_NEVER = float("-inf")
_MAX_ENTRIES = 32
"""Maximum number of log entries in one append request."""
_SNAPSHOT_TIMEOUT = 10.0
"""Seconds to wait for the answer to a snapshot."""
_LEARNER_MAX_WAIT = 20.0
"""Seconds without an answer after which replication to a learner ends."""
_ROOM_RETRY_AFTER = 1.0
"""Seconds after which there may be room for a change, as those before it are durable,
or another host leads."""
_FULL_RETRY_AFTER = 5.0
"""Seconds after which operators may have made room on the disks of a quorum."""
_ENTRIES_RETRY = 1.0
"""Seconds after which entries are sent again to a host that had no room for them."""
_HANDOVER_INTERVAL = 30.0
"""Minimum seconds between two times that a host gives up the lead for want of room, so
that the catalogue can be read while all disks are full."""
_encoder = msgspec.msgpack.Encoder()
_log = get_logger("agreement")


@dataclass
class Progress:
    """Replication state of one other voter or learner, kept by the leader.

    Attributes:
        host: The host.
        storage: The storage that answered last.
        next_index: Next position to send; 0 if a snapshot must be sent first.
        match_index: Last position that the storage is known to have synced.
        acked_at: When the newest request that it answered was sent, in seconds.
        answered_at: When its last answer arrived, in seconds.
        late_reply: Reply that came after the timeout of its request, and when that
            was sent, in seconds; None: it has been processed.
        timeout: Timeout of append requests.
        wake: Set when there is something to send.
        full_at: When it last had no room on its disk, in seconds; None: it has room.
        dropped: Whether replication to this host has ended.
    """

    host: HostName
    storage: StorageId
    next_index: int
    timeout: AdaptiveTimeout
    match_index: int = 0
    acked_at: float = _NEVER
    answered_at: float = _NEVER
    late_reply: tuple[AppendReply, float] | None = None
    wake: curio.Event = field(default_factory=curio.Event)
    full_at: float | None = None
    dropped: bool = False

    def is_short_of_room(self) -> bool:
        """Return whether entries would find no room on its disk."""
        if self.full_at is None:
            return False
        return monotonic() - self.full_at < _ENTRIES_RETRY


class Leadership:
    """Replicates the log, commits entries and manages the voters for one term.

    Args:
        voter: The voter that was elected.
        term: The term it was elected for.

    Attributes:
        active: False once a higher term or the loss of the quorum has ended it.
    """

    def __init__(self, voter: "Voter", term: Term) -> None:
        self.term = term
        self.active = True
        self._voter = voter
        self._started_at = monotonic()
        self._first_index = voter.log.last_index + 1
        self._progress: dict[HostName, Progress] = {}
        self._regions: dict[HostName, RegionName] = {}
        self._group: curio.TaskGroup | None = None
        self._waiting_hosts: dict[ChangeId, set[HostName]] = {}

    async def run(self) -> None:
        """Lead until the term ends and all its tasks have stopped."""
        async with curio.TaskGroup() as group:
            self._group = group
            await self._append(TermBody(self._voter.name))
            for voter in self._voter.known_voters():
                await self._start_replication(voter.host, voter.storage)
            while self.active:
                await self._step_down_without_quorum()
                await self._repair_one_voter()
                await self._promote_learners()
                self._drop_unresponsive_learners()
                await curio.sleep(self._voter.section.heartbeat)
            await group.cancel_remaining()

    async def add_learner(
        self, host: HostName, storage: StorageId, region: RegionName
    ) -> None:
        """Start replication to a host that doesn't vote but may become a voter."""
        self._regions[host] = region
        if self.active and self._group is not None:
            await self._start_replication(host, storage)

    async def _start_replication(self, host: HostName, storage: StorageId) -> None:
        if host == self._voter.name or host in self._progress:
            return
        limit = self._voter.section.election_timeout
        timeout = AdaptiveTimeout(limit / 2, limit)
        progress = Progress(host, storage, self._voter.log.last_index, timeout)
        self._progress[host] = progress
        await self._group.spawn(self._replicate, progress)

    def stop(self) -> None:
        """End the term; the caller must hold the voter's lock."""
        self.active = False

    @property
    def ready(self) -> bool:
        """Whether all entries committed by former leaders are applied on this host."""
        return self._voter.state_machine.index >= self._first_index

    def lease_until(self) -> float:
        """Return when the lease expires, by this host's monotonic clock in seconds.

        A voter that answered a heartbeat grants no vote to another candidate for the
        election timeout. That period starts after the heartbeat was sent, so a lease
        counted from the sending can only expire too early, never too late.
        """
        return self._quorum_contact() + self._voter.section.lease

    async def submit(self, change: Change, host: HostName) -> ProposeReply | None:
        """Append a change to the log; the caller must hold the voter's lock.

        Returns:
            The outcome if it is known already, else None: it is delivered later.
        """
        result = self._voter.state_machine.result(change.change_id)
        if result is not None:
            self._voter.metrics.incr("agreement.resend_answered")
            return ProposeReply(change.change_id, self._voter.name, result)
        is_first = change.change_id not in self._waiting_hosts
        if is_first:
            log, state_machine = self._voter.log, self._voter.state_machine
            pending = log.entries_after(
                state_machine.index, log.last_index - state_machine.index
            )
            conflict = state_machine.find_overtaking(change, pending)
            if conflict is not None:
                return ProposeReply(change.change_id, self._voter.name, conflict)
            encoded = state_machine.delta_encode(change, pending)
            refusal = self._find_lack_of_room(encoded)
            if refusal is not None and not _contains(pending, change.change_id):
                return refusal
        self._waiting_hosts.setdefault(change.change_id, set()).add(host)
        if is_first:
            try:
                await self._append_locked(ChangeBody(encoded))
            except StorageFull as exc:
                del self._waiting_hosts[change.change_id]
                self._voter.report_full(exc)
                await self._hand_over()
                return _refused(change, str(exc), _ROOM_RETRY_AFTER)
        return None

    def _find_lack_of_room(self, change: Change) -> ProposeReply | None:
        """Return the refusal of a change for which there is no room, else None."""
        voter = self._voter
        log, bounds = voter.log, voter.bounds
        size = len(_encoder.encode(change))
        if size > bounds.records:
            return _refused(
                change,
                f"the change has {size} bytes of {bounds.records} allowed",
                retry_after=0,
            )
        state = voter.state_machine.item_bytes + size
        if state > bounds.state and not isinstance(change.op, Remove):
            return _refused(
                change,
                f"the catalogue would have {state} bytes of {bounds.state} allowed",
                retry_after=0,
            )
        waiting = log.bytes_between(voter.commit_index + 1, log.last_index)
        if waiting and waiting + size > bounds.records:
            reason = f"{waiting} bytes of changes wait for a quorum of the voters"
            return _refused(change, reason, _ROOM_RETRY_AFTER)
        if not self._has_quorum_room():
            full = [p.host for p in self._progress.values() if p.full_at is not None]
            reason = f"no room on the disks of {', '.join(full)}"
            return _refused(change, reason, _FULL_RETRY_AFTER)
        return None

    def _has_quorum_room(self) -> bool:
        """Return whether a quorum has not said that it has no room on its disks."""
        room = {p.storage: float(p.full_at is None) for p in self._progress.values()}
        return reached_by_quorum(room, self._voter.voter_sets(), 1.0) > 0

    async def _hand_over(self) -> None:
        """Step down, as another voter may have room on its disk."""
        if monotonic() - self._voter.handed_over_at >= _HANDOVER_INTERVAL:
            self._voter.handed_over_at = monotonic()
            await self._voter.step_down(self.term)

    async def deliver(self, change_id: ChangeId, result: ChangeResult) -> None:
        """Send the outcome of a change to the hosts that wait for it."""
        reply = ProposeReply(change_id, self._voter.name, result)
        for host in self._waiting_hosts.pop(change_id, ()):
            await self._voter.deliver(host, reply)

    def voter_statuses(self) -> list[VoterStatus]:
        """Return the status of each voter."""
        now = monotonic()
        statuses = []
        for voter in self._voter.state_machine.voters:
            progress = self._progress.get(voter.host)
            if progress is None:
                last = self._voter.log.last_index
                storage = self._voter.log.identity.storage
                status = VoterStatus(voter.host, voter.storage, storage, last, 0.0)
            else:
                unresponsive_for = (
                    now - progress.acked_at if progress.acked_at > 0 else -1.0
                )
                status = VoterStatus(
                    voter.host,
                    voter.storage,
                    progress.storage,
                    progress.match_index,
                    round(unresponsive_for, 3),
                )
            statuses.append(status)
        return statuses

    def _quorum_contact(self) -> float:
        """Return the send time of the latest requests that a quorum has answered."""
        return self._reached_by_quorum(
            {p.storage: p.acked_at for p in self._progress.values()}
        )

    def _reached_by_quorum(self, times: dict[StorageId, float]) -> float:
        """Return the latest time that a quorum, with this host now, has reached."""
        times[self._voter.log.identity.storage] = monotonic()
        return reached_by_quorum(times, self._voter.voter_sets(), _NEVER)

    async def _step_down_without_quorum(self) -> None:
        """Step down if no quorum has answered for an election timeout.

        A leader whose messages are lost would otherwise continue to accept changes
        that it can't commit, and the proposing hosts would wait for an outcome instead
        of querying another voter. What counts is when answers arrive: on a busy quorum
        they are old, and another leader would get none sooner.
        """
        answered_at = self._reached_by_quorum(
            {p.storage: p.answered_at for p in self._progress.values()}
        )
        contact = max(answered_at, self._started_at)
        if monotonic() - contact > self._voter.section.election_timeout:
            self._voter.metrics.incr("agreement.quorum_lost")
            silent = {
                progress.host: round(monotonic() - progress.acked_at, 3)
                if progress.acked_at > 0
                else None
                for progress in self._progress.values()
            }
            _log.warning("quorum lost", term=self.term, seconds_since_answer=silent)
            async with self._voter.lock:
                await self._voter.step_down(self.term)

    async def _append(self, body: TermBody | VotersBody) -> None:
        async with self._voter.lock:
            if self.active:
                await self._append_locked(body)

    async def _append_locked(self, body: TermBody | VotersBody | ChangeBody) -> None:
        voter = self._voter
        index = voter.log.last_index + 1
        await voter.log.append([LogEntry(index, self.term, time.time(), body)])
        await self._advance_commit()
        await self._wake_all()

    async def _wake_all(self) -> None:
        for progress in self._progress.values():
            await progress.wake.set()

    async def _replicate(self, progress: Progress) -> None:
        """Replicate the log to one host for this term."""
        try:
            await self._replicate_until_stopped(progress)
        except StorageFull as exc:
            # Only a newer term is stored here, which ends this one.
            self._voter.report_full(exc)
        except StorageError as exc:
            await self._voter.fail(exc)
        except Exception:
            # Without its entry, replication restarts when the host asks to join. If
            # the entry stayed, the host would lag behind for the rest of the term
            # although it counts as a voter.
            _log.exception("replication failed", voter=progress.host)
            self._progress.pop(progress.host, None)

    async def _replicate_until_stopped(self, progress: Progress) -> None:
        while self.active and not progress.dropped:
            progress.wake.clear()
            sent_at = monotonic()
            request = self._next_request(progress)
            reply = await self._send_request(progress, request)
            if reply is None and progress.late_reply is not None:
                reply, sent_at = progress.late_reply
            progress.late_reply = None
            if isinstance(reply, AppendReply):
                async with self._voter.lock:
                    await self._process_reply(progress, reply, sent_at)
                is_behind = 0 <= progress.next_index <= self._voter.log.last_index
                if is_behind and progress.full_at is None:
                    continue
            async with curio.ignore_after(self._voter.section.heartbeat):
                await progress.wake.wait()

    async def _send_request(
        self, progress: Progress, request: AppendRequest | SnapshotInstall
    ) -> object:
        """Send a request; return the reply, or None if there is none in time.

        A late reply is kept. It is as true as one in time, and the same entries would
        be sent again without it.
        """
        began = monotonic()

        def keep_late(reply: AppendReply) -> None:
            progress.timeout.record_late(monotonic() - began)
            progress.late_reply = reply, began

        timeout = progress.timeout.seconds
        if isinstance(request, SnapshotInstall):
            timeout = _SNAPSHOT_TIMEOUT
        try:
            reply = await self._voter.peers.call(
                progress.host, Area.AGREEMENT, request, timeout, keep_late
            )
            if isinstance(request, AppendRequest):
                progress.timeout.record_prompt(monotonic() - began)
            return reply
        except PeerError as exc:
            self._voter.metrics.incr(f"agreement.append_{type(exc).__name__}")
            await curio.sleep(self._voter.section.heartbeat)
            return None

    def _next_request(self, progress: Progress) -> AppendRequest | SnapshotInstall:
        log = self._voter.log
        cluster, storage = log.identity.cluster, log.identity.storage
        previous = progress.next_index - 1
        previous_term = log.term_at(previous) if previous >= 0 else None
        if previous_term is None:
            self._voter.metrics.incr("agreement.snapshot_sent")
            snapshot = self._voter.state_machine.snapshot()
            state = zlib.compress(_encoder.encode(snapshot), 1)
            return SnapshotInstall(
                cluster, self.term, storage, snapshot.index, snapshot.term, state
            )
        entries = []
        if not progress.is_short_of_room():
            entries = first_batch(log.entries_after(previous, _MAX_ENTRIES))
        commit = self._voter.commit_index
        return AppendRequest(
            cluster, self.term, storage, previous, previous_term, commit, entries
        )

    async def _process_reply(
        self, progress: Progress, reply: AppendReply, sent_at: float
    ) -> None:
        if not self.active:
            return
        if reply.term > self.term:
            await self._voter.step_down(reply.term)
            return
        if reply.storage != progress.storage:
            # The host answers with another data folder. The votes and entries of the
            # former one are lost, so nothing that it acknowledged may count.
            _log.warning("voter answers with another storage", voter=progress.host)
            self._voter.metrics.incr("agreement.storage_changed")
            progress.storage = reply.storage
            progress.match_index, progress.acked_at = 0, _NEVER
            progress.answered_at = _NEVER
        if reply.cluster != self._voter.log.identity.cluster:
            progress.next_index = 0
            return
        progress.acked_at = max(progress.acked_at, sent_at)
        progress.answered_at = monotonic()
        if reply.full:
            progress.full_at = progress.answered_at
        if not reply.accepted:
            progress.next_index = max(0, min(progress.next_index - 1, reply.index + 1))
            return
        if reply.index > progress.match_index:
            progress.full_at = None
        progress.match_index = max(progress.match_index, reply.index)
        progress.next_index = progress.match_index + 1
        await self._advance_commit()

    async def _advance_commit(self) -> None:
        voter = self._voter
        matches = {p.storage: p.match_index for p in self._progress.values()}
        matches[voter.log.identity.storage] = voter.log.last_index
        reached = int(reached_by_quorum(matches, voter.voter_sets(), 0))
        # Entries of former terms are committed only together with an entry of this
        # term; until then another leader could still replace them.
        if reached <= voter.commit_index or voter.log.term_at(reached) != self.term:
            return
        await voter.commit(reached)
        await self._wake_all()

    async def _repair_one_voter(self) -> None:
        """Replace a lost storage by the new, caught-up storage of the same host.

        This takes two changes: the seat becomes vacant, then the new storage gets it.
        The majorities of consecutive sets overlap, so the new storage counts as soon as
        it holds the second change, and the loss of two more of five hosts is tolerated
        from then on. With one change, the lost storage would count until the remaining
        voters know that the change is committed.

        Storages are replaced one at a time and only with a quorum of the current
        voters in contact. A storage that lacks entries must not count towards a
        quorum: a second loss at that moment would lose accepted changes.
        """
        voter = self._voter
        if not self.ready or voter.is_changing_voters():
            return
        if monotonic() >= self.lease_until():
            return
        for progress in self._progress.values():
            current_voter = find_voter(voter.state_machine.voters, progress.host)
            if current_voter is None or current_voter.storage == progress.storage:
                continue
            if not self._is_caught_up(progress):
                continue
            former = list(voter.state_machine.voters)
            storage = VACANT
            if current_voter.storage == VACANT:
                storage = progress.storage
                voter.metrics.incr("agreement.voter_repaired")
            _log.warning(
                "replacing a voter's storage",
                voter=progress.host,
                former=current_voter.storage,
                storage=storage,
            )
            voters = replace_storage(former, VoterId(progress.host, storage))
            await self._append(VotersBody(voters, former))
            return

    async def _promote_learners(self) -> None:
        """Make caught-up learners voters where voters are missing or lost.

        Changes are made one at a time, under the conditions that
        `_repair_one_voter` describes.
        """
        voter = self._voter
        desired = voter.section.voters_wanted
        if not desired or not self.ready or voter.is_changing_voters():
            return
        if monotonic() >= self.lease_until():
            return
        former = list(voter.state_machine.voters)
        voters = select_voters(
            former, self._candidates(former), desired, voter.section.replace_after
        )
        if voters is None:
            return
        _log.warning("voters change", voters=[v.host for v in voters])
        voter.metrics.incr("agreement.voters_changed")
        await self._append(VotersBody(voters, former))

    def _candidates(self, voters: list[VoterId]) -> list[VoterCandidate]:
        own = self._voter.name
        now = monotonic()
        found = [
            VoterCandidate(
                VoterId(own, self._voter.log.identity.storage),
                self._voter.region,
                unresponsive_for=0.0,
                caught_up=True,
            )
        ]
        for progress in self._progress.values():
            storage = progress.storage
            current_voter = find_voter(voters, progress.host)
            if current_voter is not None:
                # A voter with another storage is handled by `_repair_one_voter`.
                storage = current_voter.storage
            found.append(
                VoterCandidate(
                    VoterId(progress.host, storage),
                    self._regions.get(progress.host, RegionName("")),
                    unresponsive_for=now - max(progress.acked_at, self._started_at),
                    caught_up=self._is_caught_up(progress),
                )
            )
        return found

    def _drop_unresponsive_learners(self) -> None:
        """End replication to learners that no longer answer.

        Otherwise requests to hosts that never return would be sent indefinitely.
        """
        voters = {v.host for v in self._voter.known_voters()}
        now = monotonic()
        for host, progress in list(self._progress.items()):
            unresponsive_for = now - max(progress.acked_at, self._started_at)
            if host not in voters and unresponsive_for > _LEARNER_MAX_WAIT:
                progress.dropped = True
                del self._progress[host]

    def _is_caught_up(self, progress: Progress) -> bool:
        voter = self._voter
        is_recent = monotonic() - progress.acked_at < voter.section.lease
        return is_recent and progress.match_index >= voter.commit_index


def _refused(change: Change, reason: str, retry_after: float) -> ProposeReply:
    """Return the refusal of a change; 0 seconds: there will be no room for it."""
    return ProposeReply(
        change.change_id, HostName(""), refusal=reason, retry_after=retry_after
    )


def _contains(entries: Iterable[LogEntry], change_id: ChangeId) -> bool:
    """Return whether one of the entries is this change."""
    return any(
        isinstance(entry.body, ChangeBody) and entry.body.change.change_id == change_id
        for entry in entries
    )
