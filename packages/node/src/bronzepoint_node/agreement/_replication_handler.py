"""Handling of the entries and snapshots that a leader sends."""

import zlib
from typing import TYPE_CHECKING

import msgspec

from bronzepoint_common.clock import monotonic
from bronzepoint_common.storage import StorageFull
from bronzepoint_schema.generated.agreement import (
    AppendReply,
    AppendRequest,
    LogEntry,
    MachineSnapshot,
    SnapshotInstall,
)
from bronzepoint_schema.ids import HostName

from ._status import Role

if TYPE_CHECKING:
    from ._voter import Voter

_snapshot_decoder = msgspec.msgpack.Decoder(MachineSnapshot)


class ReplicationHandler:
    """Applies a leader's messages to one follower's log.

    Callers of its methods must hold the voter's lock.

    Args:
        voter: The voter.
    """

    def __init__(self, voter: "Voter") -> None:
        self._voter = voter

    async def on_append(
        self, peer: HostName, request: AppendRequest
    ) -> AppendReply | None:
        """Append entries and return the reply, or None to drop the message."""
        received_at = monotonic()
        voter = self._voter
        log = voter.log
        if not log.identity.cluster:
            return self._reply(False, 0)
        if not voter.is_own_cluster(request.cluster):
            return None
        if not await self._accept_leader(peer, request):
            return self._reply(False, log.last_index)
        entries = [e for e in request.entries if e.index > log.base_index]
        previous = max(request.previous_index, log.base_index)
        if request.previous_index >= log.base_index:
            if log.term_at(previous) != request.previous_term:
                resume_at = min(log.last_index, request.previous_index - 1)
                return self._reply(False, max(resume_at, voter.commit_index))
        last = previous + len(entries)
        try:
            await log.append(self._missing_entries(entries))
        except StorageFull as exc:
            # The leader keeps its lease by this reply, and reads go on.
            voter.report_full(exc)
            return self._reply(False, log.last_index, full=True)
        await voter.commit(min(request.commit, last))
        voter.record_confirmation(request.commit, received_at)
        return self._reply(True, last)

    async def on_snapshot(
        self, peer: HostName, request: SnapshotInstall
    ) -> AppendReply | None:
        """Install a snapshot and return the reply, or None to drop the message."""
        voter = self._voter
        blank = not voter.log.identity.cluster
        if not blank and not voter.is_own_cluster(request.cluster):
            return None
        if not await self._accept_leader(peer, request):
            return self._reply(False, voter.log.last_index)
        if voter.log.term_at(request.index) == request.previous_term and not blank:
            # The log holds all entries of the snapshot. Later entries may have been
            # acknowledged, so a delayed snapshot must not truncate them.
            await voter.commit(request.index)
        elif request.index > voter.commit_index or blank:
            state = _snapshot_decoder.decode(zlib.decompress(request.state))
            try:
                await voter.install_snapshot(state)
            except StorageFull as exc:
                voter.report_full(exc)
                return self._reply(False, voter.log.last_index, full=True)
        return self._reply(True, request.index)

    async def _accept_leader(
        self, peer: HostName, request: AppendRequest | SnapshotInstall
    ) -> bool:
        """Accept the sender as leader; return False if its term is outdated."""
        voter = self._voter
        if request.term < voter.log.term:
            return False
        if request.term > voter.log.term or voter.role is not Role.follower:
            await voter.step_down(voter.log.term)
        if request.term > voter.log.term:
            await voter.log.save_vote(request.term, request.storage)
        voter.leader = peer
        voter.last_contact_at = monotonic()
        voter.has_leader_contact = True
        return True

    def _missing_entries(self, entries: list[LogEntry]) -> list[LogEntry]:
        """Return the entries from the first one on that the log doesn't hold.

        Rewriting entries from a delayed duplicate would truncate later entries that
        were already acknowledged.
        """
        for position, entry in enumerate(entries):
            if self._voter.log.term_at(entry.index) != entry.term:
                return entries[position:]
        return []

    def _reply(self, accepted: bool, index: int, full: bool = False) -> AppendReply:
        log = self._voter.log
        known = log.identity
        return AppendReply(
            known.cluster, log.term, known.storage, accepted, index, full
        )
