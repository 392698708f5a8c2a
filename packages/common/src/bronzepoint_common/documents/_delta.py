"""Making and applying what differs between two versions of a document."""

import zlib

import msgspec
import xxhash

from bronzepoint_schema.generated.documents import DocumentDelta

NO_BASE = -1
"""Base version of a delta that holds the whole document."""
_SECTION_END = b"}"
"""Documents are compared by sections that end here. One that has none, or is put
together otherwise, is still delivered rightly; its deltas are larger."""

Copied = tuple[int, int]
"""First section of the base and how many follow each other."""

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[bytes | Copied])


class DeltaMismatch(Exception):
    """A delta doesn't lead to what it was made from."""

    def __init__(self, delta: DocumentDelta, reason: str) -> None:
        super().__init__(
            f"The delta from version {delta.base_version} to {delta.version} can't be "
            f"applied ({reason}): ask for the whole document."
        )


def make_delta(
    version: int, content: bytes, base_version: int = NO_BASE, base: bytes = b""
) -> DocumentDelta:
    """Return what leads from one version of a document to another.

    Costs some 5 ms and 250 bytes for a changed route or two among 1,700 of 0.5 MB.

    Args:
        version: Version of the new document.
        content: The new document.
        base_version: Version of the earlier one; `NO_BASE`: there is none.
        base: The earlier one.
    """
    pieces = _compare(_split(content), _split(base)) if base else [content]
    return DocumentDelta(
        version,
        base_version,
        xxhash.xxh3_64_intdigest(content),
        zlib.compress(_encoder.encode(pieces)),
    )


def apply_delta(delta: DocumentDelta, base: bytes = b"") -> bytes:
    """Return the document that a delta leads to.

    Raises:
        DeltaMismatch: It is damaged, or was made for another base.
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
        raise DeltaMismatch(delta, "something else comes out")
    return content


def _split(content: bytes) -> list[bytes]:
    *sections, rest = content.split(_SECTION_END)
    return [section + _SECTION_END for section in sections] + [rest]


def _compare(sections: list[bytes], base: list[bytes]) -> list[bytes | Copied]:
    """Return the pieces that ``sections`` are put together from."""
    places = {section: place for place, section in reversed(list(enumerate(base)))}
    pieces: list[bytes | Copied] = []
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
    """Return where a section stands in the base, where it is expected first.

    Short sections stand there many times; any of them but the expected one would end
    the run that is copied.
    """
    if expected < len(base) and base[expected] == section:
        return expected
    return places.get(section)


def _count_equal(sections: list[bytes], at: int, base: list[bytes], place: int) -> int:
    most = min(len(sections) - at, len(base) - place)
    count = 1
    while count < most and sections[at + count] == base[place + count]:
        count += 1
    return count
