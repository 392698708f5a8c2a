"""The newest version of a document, and what led to it."""

from collections import deque

from bronzepoint_common.documents._delta import NO_BASE, apply_delta, make_delta
from bronzepoint_schema.generated.documents import DocumentDelta

KEPT_BYTES = 256 * 1024
"""Bytes of deltas kept for those that are a few versions behind: 2,000 changes of a
route or two. Who is further behind gets the whole document."""


class UnknownBase(Exception):
    """A delta doesn't begin at the version that is held."""

    def __init__(self, delta: DocumentDelta, held: int) -> None:
        super().__init__(
            f"The delta from version {delta.base_version} to {delta.version} doesn't "
            f"fit version {held}: ask for what leads on from there."
        )


class DocumentHistory:
    """One document, its version, and the deltas of its last versions.

    Args:
        version: Version held at first; `NO_BASE`: none.
        content: That document.
        kept_bytes: Bytes of deltas that are kept.

    Attributes:
        version: Version held.
        content: The document.
    """

    def __init__(
        self,
        version: int = NO_BASE,
        content: bytes = b"",
        kept_bytes: int = KEPT_BYTES,
    ) -> None:
        self.version = version
        self.content = content
        self._kept_bytes = kept_bytes
        self._deltas: deque[DocumentDelta] = deque()
        self._bytes = 0

    def take(self, delta: DocumentDelta) -> None:
        """Go on to the version that a delta leads to.

        Raises:
            UnknownBase: It begins at another version than the one held.
            DeltaMismatch: It is damaged.
        """
        self._go_on(delta, self.content_after(delta))

    def replace(self, version: int, content: bytes) -> None:
        """Go on to a version that came whole."""
        delta = make_delta(version, content, self.version, self.content)
        self._go_on(delta, content)

    def content_after(self, delta: DocumentDelta) -> bytes:
        """Return the document that a delta leads to.

        Raises:
            UnknownBase: It begins at another version than the one held.
            DeltaMismatch: It is damaged.
        """
        if delta.base_version == NO_BASE:
            return apply_delta(delta)
        if delta.base_version != self.version:
            raise UnknownBase(delta, self.version)
        return apply_delta(delta, self.content)

    def since(self, version: int) -> list[DocumentDelta] | None:
        """Return what leads from a version to the one held; None: it isn't kept."""
        found: list[DocumentDelta] = []
        known = self.version
        for delta in reversed(self._deltas):
            if known == version:
                break
            found.append(delta)
            known = delta.base_version
        return found[::-1] if known == version else None

    def whole(self) -> DocumentDelta:
        """Return the document held as a delta without a base."""
        return make_delta(self.version, self.content)

    def _go_on(self, delta: DocumentDelta, content: bytes) -> None:
        if delta.base_version == NO_BASE:
            self._deltas.clear()
            self._bytes = 0
        else:
            self._deltas.append(delta)
            self._bytes += len(delta.pieces)
        while self._bytes > self._kept_bytes:
            self._bytes -= len(self._deltas.popleft().pieces)
        self.version, self.content = delta.version, content
