"""Store of one host: its own records, pending ones, and copies for other hosts."""

import time
from dataclasses import dataclass

from bronzepoint_node.decisions._packed import pack_record
from bronzepoint_node.decisions._request_id import parse_request_id
from bronzepoint_node.decisions._ring import SegmentRing
from bronzepoint_node.decisions._segment import Segment, record_key, seal
from bronzepoint_node.decisions._shortened import shorten
from bronzepoint_schema.generated.decisions import DecisionRecord
from bronzepoint_schema.generated.settings import DecisionsSection
from bronzepoint_schema.ids import HostName, RequestId

MAX_BATCH_BYTES = 256 * 1024
"""Size in bytes at which a batch is sealed before the end of the interval. It limits
the size of a message and the memory for pending records."""


@dataclass(slots=True)
class _Pending:
    key: int
    full: bytes
    copy: bytes


@dataclass(slots=True)
class CopyBatch:
    """Shortened records of one time slot, for the backup host."""

    slot: int
    segment: Segment


class RecordStore:
    """Stores records within the limits of the settings.

    Args:
        host: This host.
        cfg: The limits.

    Attributes:
        own: This host's records.
        copies: Copies of other hosts' records.
    """

    def __init__(self, host: HostName, cfg: DecisionsSection) -> None:
        self._host = host
        self.own = SegmentRing(cfg.own_bytes, cfg.keep)
        self.copies = SegmentRing(cfg.copy_bytes, cfg.keep)
        self._pending: dict[int, list[_Pending]] = {}
        self._pending_bytes = 0

    @property
    def has_pending(self) -> bool:
        """Whether records are waiting to be sealed."""
        return bool(self._pending)

    @property
    def batch_full(self) -> bool:
        """Whether the batch should be sealed before the end of the interval."""
        return self._pending_bytes >= MAX_BATCH_BYTES

    def add(self, record: DecisionRecord) -> None:
        """Add a snapshot of a record; later changes to the object have no effect."""
        slot = parse_request_id(record.request_id).slot
        full = pack_record(record)
        shortened = shorten(record)
        copy = full if shortened is record else pack_record(shortened)
        entry = _Pending(record_key(record.request_id), full, copy)
        self._pending.setdefault(slot, []).append(entry)
        self._pending_bytes += len(full)

    def seal_pending(self) -> list[CopyBatch]:
        """Seal the pending records; return the batches to be copied."""
        batches = []
        now = time.monotonic()
        for slot, entries in self._pending.items():
            keys = [entry.key for entry in entries]
            self.own.add(seal(keys, [entry.full for entry in entries], now))
            copy = seal(keys, [entry.copy for entry in entries], now)
            batches.append(CopyBatch(slot, copy))
        self._pending = {}
        self._pending_bytes = 0
        return batches

    def expire(self) -> None:
        """Drop the records that are too old."""
        now = time.monotonic()
        self.own.expire(now)
        self.copies.expire(now)

    def find(self, request_id: RequestId) -> list[bytes]:
        """Return the packed records of a request, oldest first, copies before own."""
        key = record_key(request_id)
        slot = parse_request_id(request_id).slot
        entries = self._pending.get(slot, [])
        pending = [entry.full for entry in entries if entry.key == key]
        return self.copies.find(key) + self.own.find(key) + pending

    def kept_since(self, recorder: HostName) -> float:
        """Return the Unix time since which the records of a host are complete here."""
        ring = self.own if recorder == self._host else self.copies
        return ring.kept_since
