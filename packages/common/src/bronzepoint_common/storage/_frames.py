"""Frames on disk: marker, length, sequence number, checksum, payload."""

import struct
from typing import BinaryIO

import msgspec
import xxhash

MARKER = b"\xb5BZ\x01"
_HEADER = struct.Struct("<4sIQQ")
HEADER_SIZE = _HEADER.size
_CHECKED = struct.Struct("<IQ")
_SEARCH_SIZE = 1 << 20
"""Bytes that are read at a time to search for a frame."""


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


def read_frame(file: BinaryIO, start: int, size: int) -> Frame | None:
    """Read the frame at an offset of a file; None if it is incomplete or damaged.

    Args:
        file: The file.
        start: Offset of the frame.
        size: Size of the file in bytes.
    """
    file.seek(start)
    head = file.read(HEADER_SIZE)
    if len(head) < HEADER_SIZE or not head.startswith(MARKER):
        return None
    _, length, _, _ = _HEADER.unpack(head)
    if start + HEADER_SIZE + length > size:
        return None
    frame = decode_frame(head + file.read(length), 0)
    if frame is not None:
        frame.end += start
    return frame


def find_frame(file: BinaryIO, start: int, after: int, size: int) -> Frame | None:
    """Search a file for an undamaged frame with a sequence number above ``after``."""
    while (start := _find_marker(file, start)) >= 0:
        frame = read_frame(file, start, size)
        if frame is not None and frame.sequence > after:
            return frame
        start += 1
    return None


def _find_marker(file: BinaryIO, start: int) -> int:
    """Return the offset of the next marker, or -1."""
    while True:
        file.seek(start)
        content = file.read(_SEARCH_SIZE)
        found = content.find(MARKER)
        if found >= 0:
            return start + found
        if len(content) < _SEARCH_SIZE:
            return -1
        # A marker may lie across the end of what was read.
        start += len(content) - len(MARKER) + 1
