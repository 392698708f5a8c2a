"""Write-ahead log of a replica: a vote is sent only after its record is synced."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import curio
import msgspec

from bronzepoint_common.background import spawn_background
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
"""Minimum records in the log before it is compacted."""

CLOSE_TIMEOUT = 2.0
"""Seconds to wait for a write in progress when the log is closed."""

_log = get_logger("run_once")


@dataclass
class _Pending:
    records: list[bytes]
    when_durable: WhenDurable


class ReplicaLog:
    """Appends records to a log and syncs them in groups.

    Votes that arrive during a sync share the next one.
    If a vote were sent and its record then lost in a crash, the replica would have
    lost memory without detecting it. So each vote waits until its record is durable.
    Without a data folder there is no wait: such a replica knows that a restart loses
    its memory.

    Args:
        folder: Data folder; None if this host has no disk.
        snapshot: Returns all records that are still needed, for compaction.
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
        """Whether a write failed; no more records are accepted then."""
        return self._failure is not None

    async def start(self) -> list[LogRecord]:
        """Open the log and return its records.

        A damaged log is renamed and an error is logged. The replica then starts as
        one that lost its memory and reads the registers from the other hosts.

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
        self._task = await spawn_background(self._write_groups)
        decoder = msgspec.msgpack.Decoder(LogRecord)
        return [decoder.decode(line) for line in lines]

    async def close(self) -> None:
        """Stop writing; votes for pending records were never sent."""
        if self._task is not None:
            # Wait for a write in progress, since its thread can't be cancelled, but
            # only for a bounded time: a hung disk must not block the shutdown.
            self._closing = True
            await self._wakeup.set()
            async with curio.ignore_after(CLOSE_TIMEOUT):
                await self._task.wait()
            await self._task.cancel()
            self._task = None
        if self._log is not None:
            await curio.run_in_thread(self._log.close)

    async def submit(self, records: list[LogRecord], when_durable: WhenDurable) -> None:
        """Queue records and call `when_durable` once they are synced.

        With a disk this returns before the sync. An empty list waits for all records
        submitted before.
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
            StorageFailed: The records may not be durable.
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
                # It is unknown what reached the disk, so a vote sent now could be
                # lost. Others treat a host that does not vote as failed, which a
                # majority tolerates.
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
