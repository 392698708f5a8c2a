"""Transfer of the catalogue document to entry hosts in parts of bounded size."""

from collections import OrderedDict

import msgspec

from bronzepoint_common.documents import NO_BASE, DocumentHistory
from bronzepoint_schema.generated.documents import DocumentDelta, DocumentPart

PART_BYTES = 32 * 1024
"""Bytes of one part, which takes 0.05 s on a link of 5 Mbit/s. A larger answer could
exceed its timeout each time, be dropped and be requested again without end."""
MAX_FEEDS = 16
"""Maximum number of feeds kept, so that hosts can finish a transfer in progress."""

_encoder = msgspec.msgpack.Encoder()


class DocumentFeed:
    """Serves each host the next part of the deltas from its version to a newer one.

    A host that is a few versions behind gets the missing deltas. Any other host gets a
    whole document, possibly an older version, and then the deltas since. A change
    therefore doesn't restart a transfer in progress.
    """

    def __init__(self) -> None:
        self._feeds: OrderedDict[tuple[int, int], bytes] = OrderedDict()

    def next_part(
        self, documents: DocumentHistory, held_version: int, version: int, offset: int
    ) -> DocumentPart | None:
        """Return the next part for a host, or None if it is up to date.

        Args:
            documents: History of the document in effect.
            held_version: Version that the host holds.
            version: Version that its current transfer leads to; -1 without a transfer.
            offset: Bytes of the transfer that it has received.
        """
        if held_version >= documents.version:
            return None
        base = self._find_base(held_version, version)
        if base is None:
            base, version = self._start_feed(documents, held_version)
            offset = 0
        self._feeds.move_to_end((base, version))
        feed = self._feeds[base, version]
        part = feed[offset : offset + PART_BYTES]
        return DocumentPart(version, base, len(feed), offset, part)

    def _find_base(self, held_version: int, version: int) -> int | None:
        """Return the base version of a host's current feed, or None without one."""
        for base in (held_version, NO_BASE):
            if (base, version) in self._feeds:
                return base
        return None

    def _start_feed(
        self, documents: DocumentHistory, held_version: int
    ) -> tuple[int, int]:
        """Return the base and the final version of a feed for a host."""
        deltas = documents.since(held_version) if held_version != NO_BASE else None
        if deltas is not None:
            return held_version, self._store(held_version, deltas)
        for base, version in self._feeds:
            if base == NO_BASE and documents.since(version) is not None:
                return NO_BASE, version
        return NO_BASE, self._store(NO_BASE, [documents.whole()])

    def _store(self, base: int, deltas: list[DocumentDelta]) -> int:
        version = deltas[-1].version
        self._feeds[base, version] = _encoder.encode(deltas)
        while len(self._feeds) > MAX_FEEDS:
            self._feeds.popitem(last=False)
        return version
