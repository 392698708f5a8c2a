"""Frames on disk: marker, length, sequence number, checksum, payload."""

import struct

import msgspec
import xxhash

MARKER = b"\xb5BZ\x01"
_HEADER = struct.Struct("<4sIQQ")
HEADER_SIZE = _HEADER.size
_CHECKED = struct.Struct("<IQ")


class Frame(msgspec.Struct):
    """A complete frame that was read.

    Attributes:
        sequence: Sequence number of the frame in its file.
        payload: Stored data.
        end: Offset of the first byte after the frame.
    """

    sequence: int
    payload: bytes
    end: int


def _checksum(sequence: int, payload: bytes) -> int:
    digest = xxhash.xxh3_64(_CHECKED.pack(len(payload), sequence))
    digest.update(payload)
    return digest.intdigest()


def encode_frame(sequence: int, payload: bytes) -> bytes:
    """Return the bytes of a frame."""
    checksum = _checksum(sequence, payload)
    return _HEADER.pack(MARKER, len(payload), sequence, checksum) + payload


def decode_frame(content: bytes, start: int) -> Frame | None:
    """Read the frame at an offset; None if it is incomplete or damaged."""
    if start + HEADER_SIZE > len(content):
        return None
    marker, length, sequence, checksum = _HEADER.unpack_from(content, start)
    end = start + HEADER_SIZE + length
    if marker != MARKER or end > len(content):
        return None
    payload = content[start + HEADER_SIZE : end]
    if _checksum(sequence, payload) != checksum:
        return None
    return Frame(sequence, payload, end)


def find_frame(content: bytes, start: int, after: int) -> Frame | None:
    """Search for an undamaged frame with a sequence number above ``after``."""
    offset = content.find(MARKER, start)
    while offset >= 0:
        frame = decode_frame(content, offset)
        if frame is not None and frame.sequence > after:
            return frame
        offset = content.find(MARKER, offset + 1)
    return None
