"""Creates and applies deltas between two versions of a document."""

import zlib

import msgspec
import xxhash

from bronzepoint_schema.generated.documents import DocumentDelta

NO_BASE = -1
"""Base version of a delta that contains the whole document."""
_SECTION_END = b"}"
"""End of a section, the unit in which documents are compared. Documents without it, or
with another structure, are still transferred correctly, but their deltas are larger."""

CopiedRange = tuple[int, int]
"""Index of the first section to copy from the base, and number of sections."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[bytes | CopiedRange])


class DeltaMismatch(Exception):
    """The result of a delta doesn't match the original document."""

    def __init__(self, delta: DocumentDelta, reason: str) -> None:
        super().__init__(
            f"The delta from version {delta.base_version} to {delta.version} can't be "
            f"applied ({reason}): request the whole document."
        )


def make_delta(
    version: int, content: bytes, base_version: int = NO_BASE, base: bytes = b""
) -> DocumentDelta:
    """Return the delta from one version of a document to another.

    For a document of 0.5 MB with 1,700 routes, one or two of them changed, this takes
    about 5 ms and the delta has about 250 bytes.

    Args:
        version: Version of the new document.
        content: The new document.
        base_version: Version of the base document; `NO_BASE`: none.
        base: The base document.
    """
    pieces = _compare(_split(content), _split(base)) if base else [content]
    return DocumentDelta(
        version,
        base_version,
        xxhash.xxh3_64_intdigest(content),
        zlib.compress(_encoder.encode(pieces)),
    )


def apply_delta(delta: DocumentDelta, base: bytes = b"") -> bytes:
    """Return the document that results from applying a delta.

    Raises:
        DeltaMismatch: The delta is damaged, or was made for another base.
    """
    try:
        pieces = _decoder.decode(zlib.decompress(delta.pieces))
    except (zlib.error, msgspec.MsgspecError) as exc:
        raise DeltaMismatch(delta, str(exc)) from exc
    sections = _split(base)
    found = []
    for piece in pieces:
        match piece:
            case (first, count):
                found += sections[first : first + count]
            case literal:
                found.append(literal)
    content = b"".join(found)
    if xxhash.xxh3_64_intdigest(content) != delta.digest:
        raise DeltaMismatch(delta, "the digest of the result differs")
    return content


def _split(content: bytes) -> list[bytes]:
    *sections, rest = content.split(_SECTION_END)
    return [section + _SECTION_END for section in sections] + [rest]


def _compare(sections: list[bytes], base: list[bytes]) -> list[bytes | CopiedRange]:
    """Return the literal pieces and copied ranges that ``sections`` consist of."""
    places = {section: place for place, section in reversed(list(enumerate(base)))}
    pieces: list[bytes | CopiedRange] = []
    literal: list[bytes] = []
    at = expected = 0
    while at < len(sections):
        place = _find(sections[at], base, expected, places)
        if place is None:
            literal.append(sections[at])
            at += 1
            expected += 1
            continue
        if literal:
            pieces.append(b"".join(literal))
            literal.clear()
        count = _count_equal(sections, at, base, place)
        pieces.append((place, count))
        at += count
        expected = place + count
    if literal:
        pieces.append(b"".join(literal))
    return pieces


def _find(
    section: bytes, base: list[bytes], expected: int, places: dict[bytes, int]
) -> int | None:
    """Return the index of a section in the base, preferably the expected one.

    Short sections occur many times; any occurrence but the expected one would end the
    copied range.
    """
    if expected < len(base) and base[expected] == section:
        return expected
    return places.get(section)


def _count_equal(sections: list[bytes], at: int, base: list[bytes], place: int) -> int:
    max_count = min(len(sections) - at, len(base) - place)
    count = 1
    while count < max_count and sections[at + count] == base[place + count]:
        count += 1
    return count
