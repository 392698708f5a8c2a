"""Sealed batches of records: the unit that is copied, kept and dropped.

Records of one batch resemble each other, so packing them together takes a fraction
of the bytes; the same bytes are kept here and sent to the backup, which needs neither
to unpack nor to index them.
"""

import zlib
from array import array
from dataclasses import dataclass

import msgspec
from xxhash import xxh64_intdigest

from bronzepoint_schema.generated.decision_records import CopySegment
from bronzepoint_schema.ids import RequestId

_COMPRESSION_LEVEL = 6
_OVERHEAD_BYTES = 300
"""Memory of the objects around the packed bytes, measured with sys.getsizeof."""
_KEY_BYTES = 8

_encoder = msgspec.msgpack.Encoder()
_frames = msgspec.msgpack.Decoder(list[msgspec.Raw])


def record_key(request_id: RequestId) -> int:
    """Return the 64-bit hash under which a record is found."""
    return xxh64_intdigest(request_id.encode())


@dataclass(slots=True)
class Segment:
    """A sealed batch.

    Attributes:
        keys: Hash of each record's request id, in the order of the records.
        packed: The records.
        sealed: Monotonic time in seconds at which it came to this host.
    """

    keys: array
    packed: bytes
    sealed: float

    @property
    def size(self) -> int:
        """Bytes of memory that it takes."""
        return len(self.packed) + len(self.keys) * _KEY_BYTES + _OVERHEAD_BYTES

    def find(self, key: int) -> list[bytes]:
        """Return the packed records with this key, oldest first."""
        if key not in self.keys:
            return []
        frames = _frames.decode(zlib.decompress(self.packed))
        return [
            bytes(frame)
            for frame_key, frame in zip(self.keys, frames, strict=True)
            if frame_key == key
        ]


def seal(keys: list[int], records: list[bytes], now: float) -> Segment:
    """Make one segment of packed records, each with its key."""
    frames = _encoder.encode([msgspec.Raw(record) for record in records])
    return Segment(array("Q", keys), zlib.compress(frames, _COMPRESSION_LEVEL), now)


def segment_of_copy(message: CopySegment, now: float) -> Segment:
    """Return the segment of another host's message, as kept here."""
    return Segment(array("Q", message.keys), message.packed, now)
