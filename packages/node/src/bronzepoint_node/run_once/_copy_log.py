"""The log of a copy with a data folder: nothing is answered before it is synced."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import curio
import msgspec

from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.storage import RecordLog, StorageCorrupt, StorageFailed
from bronzepoint_schema.generated.run_once import (
    Identity,
    PeerIncarnation,
    Register,
)

LogRecord = Identity | PeerIncarnation | Register
WhenDurable = Callable[[], Awaitable[None]]

LOG_NAME = "run_once"
MIN_RECORDS_TO_COMPACT = 2000
"""Below this many records a log is not worth rewriting."""

CLOSE_TIMEOUT = 2.0
"""Seconds that a write in progress has to end when the log is closed."""

_log = get_logger("run_once")


@dataclass
class _Pending:
    records: list[bytes]
    when_durable: WhenDurable


class CopyLog:
    """Appends records in groups: votes that arrive during a sync share the next one.

    A vote that is sent and then forgotten by a crash is the same as a vote by a copy
    that lost its memory without knowing it, so each waits for its record. Without a
    data folder there is nothing to wait for: such a copy knows that it forgets.

    Args:
        folder: Data folder; None: this host has no disk.
        snapshot: Gives all records that are still needed, for compaction.
        metrics: Counts syncs and compactions.
    """

    def __init__(
        self,
        folder: Path | None,
        snapshot: Callable[[], list[LogRecord]],
        metrics: Metrics,
    ) -> None:
        self._log = RecordLog(folder, LOG_NAME) if folder is not None else None
        self._snapshot = snapshot
        self._metrics = metrics
        self._encoder = msgspec.msgpack.Encoder()
        self._pending: list[_Pending] = []
        self._wakeup = curio.Event()
        self._task: curio.Task | None = None
        self._count = 0
        self._compact_at = MIN_RECORDS_TO_COMPACT
        self._waiting: set[curio.Event] = set()
        self._failure: StorageFailed | None = None
        self._closing = False

    @property
    def failed(self) -> bool:
        """Whether a write failed: nothing is taken any more."""
        return self._failure is not None

    async def start(self) -> list[LogRecord]:
        """Open the log and return what it holds.

        A damaged log is set aside, with an error in the log of the process: the copy
        then starts as one that lost its memory and reads it back from the others.

        Raises:
            StorageInUse: Another process holds the log.
        """
        if self._log is None:
            return []
        try:
            lines = await curio.run_in_thread(self._log.open)
        except StorageCorrupt as exc:
            aside = exc.path.with_suffix(".corrupt")
            exc.path.replace(aside)
            self._metrics.incr("run_once.log.corrupt")
            _log.error(str(exc), set_aside=str(aside))
            lines = await curio.run_in_thread(self._log.open)
        self._count = len(lines)
        self._task = await curio.spawn(self._write_groups, daemon=True)
        decoder = msgspec.msgpack.Decoder(LogRecord)
        return [decoder.decode(line) for line in lines]

    async def close(self) -> None:
        """Stop writing; what is pending was never answered."""
        if self._task is not None:
            # A write in progress ends first: its thread can't be cancelled. A disk
            # that hangs must not keep the process from ending.
            self._closing = True
            await self._wakeup.set()
            async with curio.ignore_after(CLOSE_TIMEOUT):
                await self._task.wait()
            await self._task.cancel()
            self._task = None
        if self._log is not None:
            await curio.run_in_thread(self._log.close)

    async def submit(self, records: list[LogRecord], when_durable: WhenDurable) -> None:
        """Append records, then run `when_durable`; return before that with a disk.

        An empty list waits for all that was submitted before.
        """
        if self._log is None:
            await when_durable()
            return
        if self._failure is not None:
            return
        lines = [self._encoder.encode(record) for record in records]
        self._pending.append(_Pending(lines, when_durable))
        await self._wakeup.set()

    async def write(self, records: list[LogRecord]) -> None:
        """Append records and wait until they are durable.

        Raises:
            StorageFailed: They may not be.
        """
        if self._failure is not None:
            raise self._failure
        ended = curio.Event()
        self._waiting.add(ended)
        try:
            await self.submit(records, ended.set)
            await ended.wait()
        finally:
            self._waiting.discard(ended)
        if self._failure is not None:
            raise self._failure

    async def _write_groups(self) -> None:
        while not self._closing:
            await self._wakeup.wait()
            self._wakeup.clear()
            group, self._pending = self._pending, []
            if not group:
                continue
            try:
                await self._write_group(group)
            except StorageFailed as exc:
                # What reached the disk is unknown: an answer now could be forgotten.
                # Silence looks to the others like a host that is down, which a
                # majority stands.
                self._failure = exc
                self._metrics.incr("run_once.log.failed")
                _log.error(str(exc))
                for ended in list(self._waiting):
                    await ended.set()
                return

    async def _write_group(self, group: list[_Pending]) -> None:
        lines = [line for pending in group for line in pending.records]
        if lines:
            await curio.run_in_thread(self._log.append, lines)
            self._metrics.incr("run_once.log.syncs")
            self._metrics.incr("run_once.log.records", len(lines))
        self._count += len(lines)
        for pending in group:
            await pending.when_durable()
        if self._count >= self._compact_at:
            await self._compact()

    async def _compact(self) -> None:
        lines = [self._encoder.encode(record) for record in self._snapshot()]
        await curio.run_in_thread(self._log.rewrite, lines)
        self._count = len(lines)
        self._compact_at = max(MIN_RECORDS_TO_COMPACT, 2 * len(lines))
        self._metrics.incr("run_once.log.compactions")
