"""Durable state of a voter: its storage id, term, vote, log and snapshot."""

import secrets
import sys
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import curio
import msgspec

from bronzepoint_common.storage import (
    RecordLog,
    SnapshotFile,
    StorageCorrupt,
    StorageFull,
)
from bronzepoint_schema.generated.agreement import (
    IdentityRecord,
    LogEntry,
    MachineSnapshot,
    StoredRecord,
    TermBody,
    Voter,
    VoteRecord,
    VotersBody,
)
from bronzepoint_schema.ids import ClusterId, HostName, StorageId, Term

_encoder = msgspec.msgpack.Encoder()
_record_decoder = msgspec.msgpack.Decoder(StoredRecord)
_snapshot_decoder = msgspec.msgpack.Decoder(MachineSnapshot)
_NAME = "agreement"


class VoterLog:
    """The durable state of one voter, with a copy in memory.

    Each method that changes the state returns once the change is synced to disk. The
    copy in memory changes only then, so replies never depend on data that the disk
    doesn't hold.

    Args:
        folder: The data folder.
        max_superseded: Bytes of superseded records in the file beyond which it is
            rewritten.

    Attributes:
        identity: Storage id and cluster.
        term: Newest term seen.
        voted_for: Storage voted for in that term; empty if there was no vote.
        committed_index: Position of the newest change of the voters known to be
            durable on a quorum, or 0.
        snapshot: State at ``base_index`` or later; None if the log starts at 1.
        base_index: Position before the first entry in memory.
        base_term: Term of that position.
    """

    def __init__(self, folder: Path, max_superseded: int = sys.maxsize) -> None:
        self._max_superseded = max_superseded
        self._log = RecordLog(folder, _NAME)
        self._snapshot_file = SnapshotFile(folder, _NAME)
        self.identity = IdentityRecord(StorageId(""), ClusterId(""), [])
        self.term = Term(0)
        self.voted_for = StorageId("")
        self.committed_index = 0
        self.snapshot: MachineSnapshot | None = None
        self.base_index = 0
        self.base_term = Term(0)
        self._entries: list[LogEntry] = []
        self._sizes: list[int] = []
        self._head_bytes = 0

    def exists(self) -> bool:
        """Return whether the folder holds a storage already."""
        return self._log.path.exists() or self._snapshot_file.path.exists()

    async def open(self) -> None:
        """Read the stored state; an empty folder gets a new storage id.

        Raises:
            StorageError: The folder is damaged or used by another process.
        """
        content = await curio.run_in_thread(self._snapshot_file.load)
        if content is not None:
            self._set_snapshot(_snapshot_decoder.decode(content))
        replay = _Replay(self.identity, max(0, self.base_index))
        await curio.run_in_thread(self._log.replay, replay.add)
        if replay.count:
            self._restore(replay)
        elif content is not None:
            raise StorageCorrupt(
                self._log.path, "it is empty although a snapshot exists"
            )
        else:
            await self._create_identity()

    async def close(self) -> None:
        """Close the files."""
        await curio.run_in_thread(self._log.close)

    @property
    def last_index(self) -> int:
        """Last position held."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> Term:
        """Term of the last position held."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def entry_count(self) -> int:
        """Entries kept after the snapshot."""
        return len(self._entries)

    @property
    def file_bytes(self) -> int:
        """Size of the file in bytes."""
        return self._log.size

    def bytes_between(self, first: int, last: int) -> int:
        """Return the bytes of the entries from one position to another."""
        start = max(0, first - self.base_index - 1)
        return sum(self._sizes[start : max(0, last - self.base_index)])

    def term_at(self, index: int) -> Term | None:
        """Return the term of a position, or None if the log doesn't hold it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self._entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> LogEntry:
        """Return the entry at a position that is held."""
        return self._entries[index - self.base_index - 1]

    def entries_after(self, index: int, count: int) -> list[LogEntry]:
        """Return at most ``count`` entries that follow a position."""
        start = index - self.base_index
        return self._entries[start : start + count]

    def last_voters_entry(self, after: int) -> LogEntry | None:
        """Return the newest change of the voters after a position."""
        for entry in reversed(self._entries[max(0, after - self.base_index) :]):
            if isinstance(entry.body, VotersBody):
                return entry
        return None

    async def save_vote(self, term: Term, voted_for: StorageId) -> None:
        """Store the term and the vote in it."""
        await self._write([VoteRecord(term, voted_for, self.committed_index)])
        self.term, self.voted_for = term, voted_for

    async def save_committed(self, index: int) -> None:
        """Store that a change of the voters is durable on a quorum."""
        if index > self.committed_index:
            await self._write([VoteRecord(self.term, self.voted_for, index)])
            self.committed_index = index

    async def append(self, entries: list[LogEntry]) -> None:
        """Append entries, after removing those from the first one's position on."""
        if not entries:
            return
        sizes = await self._write(list(entries))
        kept = entries[0].index - self.base_index - 1
        self._entries[kept:], self._sizes[kept:] = entries, sizes

    async def join_cluster(self, cluster: ClusterId, voters: list[Voter]) -> None:
        """Make this storage a permanent part of a cluster."""
        identity = IdentityRecord(self.identity.storage, cluster, voters)
        await self._write([identity])
        self.identity = identity

    async def compact(
        self, snapshot: MachineSnapshot, keep: int, keep_bytes: int = sys.maxsize
    ) -> None:
        """Replace the log up to a snapshot, except for its last ``keep`` entries.

        These entries, and not more than ``keep_bytes`` of them, are kept for voters
        that are slightly behind. A crash between the two writes leaves the whole log
        together with the new snapshot, from which the state is restored correctly.

        Raises:
            StorageFull: There is no room; the log is as it was.
        """
        content = _encoder.encode(snapshot)
        await _run_uncancelled(self._snapshot_file.save, content)
        first = max(self.base_index, snapshot.index - keep)
        while self.bytes_between(first + 1, snapshot.index) > keep_bytes:
            first += 1
        # The entry at the snapshot's position is always kept. At the next start it
        # proves that the entries after it continue this snapshot.
        first = min(first, snapshot.index - 1)
        kept = self._entries[first - self.base_index :]
        base_term = self.term_at(first)
        sizes = await self._rewrite(kept)
        self.snapshot = snapshot
        self.base_index, self.base_term = first, base_term
        self._entries, self._sizes = kept, sizes

    async def install(self, snapshot: MachineSnapshot) -> None:
        """Replace everything by a leader's snapshot, and join its cluster.

        Raises:
            StorageFull: There is no room; the entries are as they were.
        """
        await _run_uncancelled(self._snapshot_file.save, _encoder.encode(snapshot))
        self._join_cluster_of(snapshot)
        # This entry takes the snapshot's position and is never applied. Without it the
        # next start would treat the entries after it as those of an older log.
        anchor = LogEntry(snapshot.index, snapshot.term, 0.0, TermBody(HostName("")))
        await self._rewrite([anchor])
        self._entries, self._sizes = [], []
        self._set_snapshot(snapshot)

    async def _write(self, records: list[StoredRecord]) -> list[int]:
        """Append records and return their sizes in bytes."""
        encoded = [_encoder.encode(record) for record in records]
        if self._superseded_bytes() > self._max_superseded:
            # Without room for this, there may still be room for a vote.
            with suppress(StorageFull):
                await self._rewrite(self._entries)
        await _run_uncancelled(self._log.append, encoded)
        return [len(record) for record in encoded]

    def _superseded_bytes(self) -> int:
        """Return the bytes in the file that belong to no record in use."""
        return self._log.size - self._head_bytes - sum(self._sizes)

    async def _rewrite(self, entries: list[LogEntry]) -> list[int]:
        """Replace the file and return the sizes of the entries in bytes."""
        vote = VoteRecord(self.term, self.voted_for, self.committed_index)
        head = [_encoder.encode(record) for record in (self.identity, vote)]
        encoded = [_encoder.encode(entry) for entry in entries]
        await _run_uncancelled(self._log.rewrite, [*head, *encoded])
        sizes = [len(entry) for entry in encoded]
        self._head_bytes = self._log.size - sum(sizes)
        return sizes

    async def _create_identity(self) -> None:
        storage = StorageId(secrets.token_hex(8))
        identity = IdentityRecord(storage, ClusterId(""), [])
        await self._write([identity])
        self.identity = identity

    def _join_cluster_of(self, snapshot: MachineSnapshot) -> None:
        if not self.identity.cluster:
            self.identity = IdentityRecord(
                self.identity.storage, snapshot.cluster, snapshot.voters
            )

    def _set_snapshot(self, snapshot: MachineSnapshot) -> None:
        self.snapshot = snapshot
        self.base_index, self.base_term = snapshot.index, snapshot.term

    def _restore(self, replay: "_Replay") -> None:
        self.identity = replay.identity
        if replay.vote is not None:
            self.term, self.voted_for = replay.vote.term, replay.vote.voted_for
            self.committed_index = replay.vote.committed_index
        if not self.identity.storage:
            raise StorageCorrupt(self._log.path, "it lacks the storage's identity")
        if self.snapshot is not None:
            self._join_cluster_of(self.snapshot)
        self._entries = self._entries_after_snapshot(replay.entries)
        self._sizes = [replay.sizes[entry.index] for entry in self._entries]

    def _entries_after_snapshot(self, entries: dict[int, LogEntry]) -> list[LogEntry]:
        """Return the entries that continue the snapshot.

        A crash during the installation of a leader's snapshot leaves the former log
        next to it. Its entries may differ from the committed ones, so they are used
        only if the log holds the snapshot's last position with the same term.
        """
        if self.snapshot is not None:
            anchor = entries.get(self.base_index)
            if anchor is None or anchor.term != self.base_term:
                return []
        kept = []
        index = self.base_index + 1
        while index in entries:
            kept.append(entries[index])
            index += 1
        return kept


class _Replay:
    """Collects what is in use of the records of a file, while it is read.

    Args:
        identity: Identity before the first record.
        base_index: Position of the snapshot; earlier entries aren't kept.

    Attributes:
        count: Number of records.
        vote: The last vote; None: there is none.
        entries: Entries by their position.
        sizes: Their bytes.
    """

    def __init__(self, identity: IdentityRecord, base_index: int) -> None:
        self.identity = identity
        self.count = 0
        self.vote: VoteRecord | None = None
        self.entries: dict[int, LogEntry] = {}
        self.sizes: dict[int, int] = {}
        self._base_index = base_index
        self._last = 0

    def add(self, record: bytes) -> None:
        """Add the next record."""
        self.count += 1
        match _record_decoder.decode(record):
            case IdentityRecord() as identity:
                self.identity = identity
            case VoteRecord() as vote:
                self.vote = vote
            case LogEntry(index=index) as entry:
                for stale in range(index, self._last + 1):
                    self.entries.pop(stale, None)
                self._last = index
                if index >= self._base_index:
                    self.entries[index] = entry
                    self.sizes[index] = len(record)


async def _run_uncancelled(write: Callable[[Any], None], content: Any) -> None:
    """Write in a thread and wait for its end, also if the task is cancelled.

    The thread can't be stopped. If the task didn't wait for it, the next write would
    be based on a copy in memory that lacks what this one wrote to disk.
    """
    async with curio.disable_cancellation():
        await curio.run_in_thread(write, content)
