"""Segments: sealed batches of records that are copied, stored and dropped as a whole.

Records of one batch are similar, so compressing them together takes a fraction of the
bytes. The same bytes are stored here and sent to the backup host, which needs neither
to decompress nor to index them.
"""

import zlib
from array import array
from dataclasses import dataclass

import msgspec
from xxhash import xxh64_intdigest

from bronzepoint_schema.generated.decision_records import CopySegment
from bronzepoint_schema.ids import RequestId

_COMPRESSION_LEVEL = 6
"""Compression level of zlib, from 0 to 9."""
_OVERHEAD_BYTES = 300
"""Memory in bytes of the objects around the packed bytes, as reported by
sys.getsizeof."""
_KEY_BYTES = 8
"""Bytes of one 64-bit key."""

_encoder = msgspec.msgpack.Encoder()
_frames = msgspec.msgpack.Decoder(list[msgspec.Raw])


def record_key(request_id: RequestId) -> int:
    """Return the 64-bit hash of a request id, which is the key of its records."""
    return xxh64_intdigest(request_id.encode())


@dataclass(slots=True)
class Segment:
    """A sealed batch.

    Attributes:
        keys: Key of each record, in the order of the records.
        packed: The compressed records.
        sealed: Monotonic time in seconds at which it was sealed on this host or
            received from another one.
    """

    keys: array
    packed: bytes
    sealed: float

    @property
    def size(self) -> int:
        """Memory in bytes that the segment takes."""
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
    """Return a segment of packed records.

    Args:
        keys: Key of each record.
        records: The packed records.
        now: Monotonic time in seconds.
    """
    frames = _encoder.encode([msgspec.Raw(record) for record in records])
    return Segment(array("Q", keys), zlib.compress(frames, _COMPRESSION_LEVEL), now)


def segment_of_copy(message: CopySegment, now: float) -> Segment:
    """Return the segment in another host's message, received at monotonic ``now``."""
    return Segment(array("Q", message.keys), message.packed, now)
