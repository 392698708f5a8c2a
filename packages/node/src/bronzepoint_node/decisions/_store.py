"""What one host holds: its own records, those not sealed yet, and others' copies."""

import time
from dataclasses import dataclass

from bronzepoint_node.decisions._abridged import abridge
from bronzepoint_node.decisions._packed import pack_record
from bronzepoint_node.decisions._request_id import parse_request_id
from bronzepoint_node.decisions._ring import SegmentRing
from bronzepoint_node.decisions._segment import Segment, record_key, seal
from bronzepoint_schema.generated.decisions import DecisionRecord
from bronzepoint_schema.generated.settings import DecisionsSection
from bronzepoint_schema.ids import HostName, RequestId

MAX_BATCH_BYTES = 256 * 1024
"""A batch of this size is sealed before its time: it bounds message and memory."""


@dataclass(slots=True)
class _Pending:
    key: int
    whole: bytes
    copy: bytes


@dataclass(slots=True)
class CopyBatch:
    """Records of one slot, abridged, for the backup host."""

    slot: int
    segment: Segment


class RecordStore:
    """Holds records within the bounds of the settings.

    Args:
        host: This host.
        cfg: The bounds.
    """

    def __init__(self, host: HostName, cfg: DecisionsSection) -> None:
        self._host = host
        self.own = SegmentRing(cfg.own_bytes, cfg.keep)
        self.copies = SegmentRing(cfg.copy_bytes, cfg.keep)
        self._pending: dict[int, list[_Pending]] = {}
        self._pending_bytes = 0

    @property
    def has_pending(self) -> bool:
        """True where records wait to be sealed."""
        return bool(self._pending)

    @property
    def batch_full(self) -> bool:
        """True where the batch should be sealed before its time."""
        return self._pending_bytes >= MAX_BATCH_BYTES

    def add(self, record: DecisionRecord) -> None:
        """Add a record as it is now; later changes to the object don't reach it."""
        slot = parse_request_id(record.request_id).slot
        whole = pack_record(record)
        shorter = abridge(record)
        copy = whole if shorter is record else pack_record(shorter)
        entry = _Pending(record_key(record.request_id), whole, copy)
        self._pending.setdefault(slot, []).append(entry)
        self._pending_bytes += len(whole)

    def seal_pending(self) -> list[CopyBatch]:
        """Seal what came since the last time; return what is to be copied."""
        batches = []
        now = time.monotonic()
        for slot, entries in self._pending.items():
            keys = [entry.key for entry in entries]
            self.own.add(seal(keys, [entry.whole for entry in entries], now))
            copy = seal(keys, [entry.copy for entry in entries], now)
            batches.append(CopyBatch(slot, copy))
        self._pending = {}
        self._pending_bytes = 0
        return batches

    def expire(self) -> None:
        """Drop what has reached its age."""
        now = time.monotonic()
        self.own.expire(now)
        self.copies.expire(now)

    def find(self, request_id: RequestId) -> list[bytes]:
        """Return the packed records of one id, oldest first, copies before own."""
        key = record_key(request_id)
        slot = parse_request_id(request_id).slot
        entries = self._pending.get(slot, [])
        pending = [entry.whole for entry in entries if entry.key == key]
        return self.copies.find(key) + self.own.find(key) + pending

    def kept_since(self, recorder: HostName) -> float:
        """Return the Unix time since which a recorder's records are all here."""
        ring = self.own if recorder == self._host else self.copies
        return ring.kept_since
