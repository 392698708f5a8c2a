"""What one host holds: its own records, those not sealed yet, and others' copies."""

import time
from dataclasses import dataclass

from bronzepoint_node.decisions._request_id import parse_request_id
from bronzepoint_node.decisions._ring import SegmentRing
from bronzepoint_node.decisions._segment import (
    Segment,
    encode_record,
    record_key,
    seal,
)
from bronzepoint_schema.generated.decisions import DecisionRecord
from bronzepoint_schema.generated.settings import DecisionsSection
from bronzepoint_schema.ids import HostName, RequestId

MAX_BATCH_BYTES = 256 * 1024
"""A batch of this size is sealed before its time: it bounds message and memory."""


@dataclass(slots=True)
class _Pending:
    slot: int
    key: int
    encoded: bytes


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
        self._pending: list[_Pending] = []
        self._pending_bytes = 0

    @property
    def batch_full(self) -> bool:
        """True where the batch should be sealed before its time."""
        return self._pending_bytes >= MAX_BATCH_BYTES

    def add(self, record: DecisionRecord) -> None:
        """Add a record as it is now; later changes to the object don't reach it."""
        encoded = encode_record(record)
        slot = parse_request_id(record.request_id).slot
        self._pending.append(_Pending(slot, record_key(record.request_id), encoded))
        self._pending_bytes += len(encoded)

    def seal_pending(self) -> list[tuple[int, Segment]]:
        """Seal what came since the last time; one segment for each slot."""
        by_slot: dict[int, list[tuple[int, bytes]]] = {}
        for entry in self._pending:
            by_slot.setdefault(entry.slot, []).append((entry.key, entry.encoded))
        self._pending = []
        self._pending_bytes = 0
        now = time.monotonic()
        sealed = [(slot, seal(entries, now)) for slot, entries in by_slot.items()]
        for _, segment in sealed:
            self.own.add(segment)
        return sealed

    def expire(self) -> None:
        """Drop what has reached its age."""
        now = time.monotonic()
        self.own.expire(now)
        self.copies.expire(now)

    def find(self, request_id: RequestId) -> list[bytes]:
        """Return the encoded records of one id, oldest first, copies before own."""
        key = record_key(request_id)
        pending = [entry.encoded for entry in self._pending if entry.key == key]
        return self.copies.find(key) + self.own.find(key) + pending

    def kept_since(self, recorder: HostName) -> float:
        """Return the Unix time since which a recorder's records are all here."""
        ring = self.own if recorder == self._host else self.copies
        return ring.kept_since
