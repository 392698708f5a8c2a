"""What entry hosts lack of the catalogue document, in parts of bounded size."""

from collections import OrderedDict

import msgspec

from bronzepoint_common.documents import NO_BASE, DocumentHistory
from bronzepoint_schema.generated.documents import DocumentDelta, DocumentPart

PART_BYTES = 32 * 1024
"""Bytes of one part: 0.05 s of a link of 5 Mbit/s. An answer that takes longer than
its timeout is dropped, and asked for again without end."""
KEPT_FEEDS = 16
"""Feeds that are kept, so that hosts that are in the middle of one can go on."""

_encoder = msgspec.msgpack.Encoder()


class DocumentFeed:
    """Gives each host the next part of what leads from its version to a newer one.

    A host that is a few versions behind gets their deltas, any other one the whole
    document as it was a while ago and then the deltas since: one that is in the middle
    of it must not begin anew with each change.
    """

    def __init__(self) -> None:
        self._feeds: OrderedDict[tuple[int, int], bytes] = OrderedDict()

    def next_part(
        self, documents: DocumentHistory, held: int, version: int, offset: int
    ) -> DocumentPart | None:
        """Return a host's next part; None: it lacks nothing.

        Args:
            documents: What is in force.
            held: Version that the host holds.
            version: Version that its parts lead to; -1: it has none.
            offset: Bytes of parts that it has.
        """
        if held >= documents.version:
            return None
        base = self._base_of(held, version)
        if base is None:
            base, version = self._begin(documents, held)
            offset = 0
        self._feeds.move_to_end((base, version))
        feed = self._feeds[base, version]
        part = feed[offset : offset + PART_BYTES]
        return DocumentPart(version, base, len(feed), offset, part)

    def _base_of(self, held: int, version: int) -> int | None:
        """Return where the feed begins that a host is in the middle of; None: none."""
        for base in (held, NO_BASE):
            if (base, version) in self._feeds:
                return base
        return None

    def _begin(self, documents: DocumentHistory, held: int) -> tuple[int, int]:
        """Return where a feed for a host begins, and where it leads to."""
        deltas = documents.since(held) if held != NO_BASE else None
        if deltas is not None:
            return held, self._keep(held, deltas)
        for base, version in self._feeds:
            if base == NO_BASE and documents.since(version) is not None:
                return NO_BASE, version
        return NO_BASE, self._keep(NO_BASE, [documents.whole()])

    def _keep(self, base: int, deltas: list[DocumentDelta]) -> int:
        version = deltas[-1].version
        self._feeds[base, version] = _encoder.encode(deltas)
        while len(self._feeds) > KEPT_FEEDS:
            self._feeds.popitem(last=False)
        return version
