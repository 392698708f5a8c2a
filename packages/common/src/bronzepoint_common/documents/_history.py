"""The newest version of a document and its latest deltas."""

from collections import deque

from bronzepoint_common.documents._delta import NO_BASE, apply_delta, make_delta
from bronzepoint_schema.generated.documents import DocumentDelta

MAX_DELTA_BYTES = 256 * 1024
"""Maximum bytes of deltas kept for hosts that are a few versions behind: about 2,000
changes of one or two routes. Hosts that are further behind get the whole document."""


class UnknownBase(Exception):
    """The base of a delta isn't the current version."""

    def __init__(self, delta: DocumentDelta, current: int) -> None:
        super().__init__(
            f"The delta from version {delta.base_version} to {delta.version} doesn't "
            f"apply to version {current}: request the deltas from that version on."
        )


class DocumentHistory:
    """A document, its version, and the deltas between its latest versions.

    Args:
        version: Initial version; `NO_BASE`: none.
        content: Initial document.
        max_delta_bytes: Maximum bytes of deltas that are kept.

    Attributes:
        version: Current version.
        content: Current document.
    """

    def __init__(
        self,
        version: int = NO_BASE,
        content: bytes = b"",
        max_delta_bytes: int = MAX_DELTA_BYTES,
    ) -> None:
        self.version = version
        self.content = content
        self._max_delta_bytes = max_delta_bytes
        self._deltas: deque[DocumentDelta] = deque()
        self._bytes = 0

    def take(self, delta: DocumentDelta) -> None:
        """Apply a delta to the document.

        Raises:
            UnknownBase: The base of the delta isn't the current version.
            DeltaMismatch: The delta is damaged.
        """
        self._advance(delta, self.content_after(delta))

    def replace(self, version: int, content: bytes) -> None:
        """Replace the document by a new version that was received whole."""
        delta = make_delta(version, content, self.version, self.content)
        self._advance(delta, content)

    def content_after(self, delta: DocumentDelta) -> bytes:
        """Return the document that a delta would lead to, without applying it.

        Raises:
            UnknownBase: The base of the delta isn't the current version.
            DeltaMismatch: The delta is damaged.
        """
        if delta.base_version == NO_BASE:
            return apply_delta(delta)
        if delta.base_version != self.version:
            raise UnknownBase(delta, self.version)
        return apply_delta(delta, self.content)

    def since(self, version: int) -> list[DocumentDelta] | None:
        """Return the deltas from a version to the current one; None: not kept."""
        found: list[DocumentDelta] = []
        known = self.version
        for delta in reversed(self._deltas):
            if known == version:
                break
            found.append(delta)
            known = delta.base_version
        return found[::-1] if known == version else None

    def whole(self) -> DocumentDelta:
        """Return the current document as a delta without a base."""
        return make_delta(self.version, self.content)

    def _advance(self, delta: DocumentDelta, content: bytes) -> None:
        if delta.base_version == NO_BASE:
            self._deltas.clear()
            self._bytes = 0
        else:
            self._deltas.append(delta)
            self._bytes += len(delta.pieces)
        while self._bytes > self._max_delta_bytes:
            self._bytes -= len(self._deltas.popleft().pieces)
        self.version, self.content = delta.version, content
