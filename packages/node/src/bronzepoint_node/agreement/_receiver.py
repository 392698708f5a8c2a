"""Taking in what a leader sends."""

import zlib
from typing import TYPE_CHECKING

import msgspec

from bronzepoint_common.clock import monotonic
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


class Receiver:
    """The following side of one voter; its callers hold the voter's lock.

    Args:
        voter: The voter.
    """

    def __init__(self, voter: "Voter") -> None:
        self._voter = voter

    async def on_append(
        self, peer: HostName, request: AppendRequest
    ) -> AppendReply | None:
        """Take in entries; None: the message is dropped."""
        voter = self._voter
        log = voter.log
        if not log.identity.cluster:
            return self._reply(False, 0)
        if not voter.is_own_cluster(request.cluster):
            return None
        if not await self._follow(peer, request):
            return self._reply(False, log.last_index)
        entries = [e for e in request.entries if e.index > log.base_index]
        previous = max(request.previous_index, log.base_index)
        if request.previous_index >= log.base_index:
            if log.term_at(previous) != request.previous_term:
                go_on = min(log.last_index, request.previous_index - 1)
                return self._reply(False, max(go_on, voter.commit_index))
        last = previous + len(entries)
        await log.append(self._unknown_entries(entries))
        await voter.commit(min(request.commit, last))
        return self._reply(True, last)

    async def on_snapshot(
        self, peer: HostName, request: SnapshotInstall
    ) -> AppendReply | None:
        """Take in a snapshot; None: the message is dropped."""
        voter = self._voter
        blank = not voter.log.identity.cluster
        if not blank and not voter.is_own_cluster(request.cluster):
            return None
        if not await self._follow(peer, request):
            return self._reply(False, voter.log.last_index)
        if voter.log.term_at(request.index) == request.previous_term and not blank:
            # The log holds it all, and what follows there may have been acknowledged:
            # a late snapshot must not cut that off.
            await voter.commit(request.index)
        elif request.index > voter.commit_index or blank:
            state = _snapshot_decoder.decode(zlib.decompress(request.state))
            await voter.take_snapshot(state)
        return self._reply(True, request.index)

    async def _follow(
        self, peer: HostName, request: AppendRequest | SnapshotInstall
    ) -> bool:
        """Accept the sender as leader; False where its term is over."""
        voter = self._voter
        if request.term < voter.log.term:
            return False
        if request.term > voter.log.term or voter.role is not Role.follower:
            await voter.step_down(voter.log.term)
        if request.term > voter.log.term:
            await voter.log.save_vote(request.term, request.storage)
        voter.leader = peer
        voter.heard_at = monotonic()
        voter.has_heard_leader = True
        return True

    def _unknown_entries(self, entries: list[LogEntry]) -> list[LogEntry]:
        """Return the entries from the first one that the log doesn't hold.

        A late duplicate must not cut off entries that were acknowledged after it.
        """
        for position, entry in enumerate(entries):
            if self._voter.log.term_at(entry.index) != entry.term:
                return entries[position:]
        return []

    def _reply(self, accepted: bool, index: int) -> AppendReply:
        log = self._voter.log
        known = log.identity
        return AppendReply(known.cluster, log.term, known.storage, accepted, index)
