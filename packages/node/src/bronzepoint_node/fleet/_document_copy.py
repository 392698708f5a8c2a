"""An entry host's copy of the catalogue document."""

import msgspec

from bronzepoint_common.documents import (
    NO_BASE,
    DeltaMismatch,
    DocumentHistory,
    UnknownBase,
)
from bronzepoint_common.logs import get_logger
from bronzepoint_schema.generated.documents import DocumentPart
from bronzepoint_schema.ids import HostName

from ._document_transfer import DocumentTransfer

NO_PART = -1
"""Offset that requests no part."""

_log = get_logger("follower")


class DocumentCopy:
    """The document that is held, and the transfer of a newer version.

    One core host at a time sends the parts. At a start, several core hosts are queried
    at once, and the link would carry the same parts several times.

    Attributes:
        transfer: Parts of the next version received so far.
    """

    def __init__(self) -> None:
        self.transfer = DocumentTransfer()
        self._documents = DocumentHistory(max_delta_bytes=0)
        self._sender: HostName | None = None

    @property
    def version(self) -> int:
        """Version that is held; -1 if there is none."""
        return self._documents.version

    @property
    def content(self) -> bytes:
        """The document that is held."""
        return self._documents.content

    def wanted_from(self, core: HostName) -> int:
        """Return the offset that a core host should send from, or NO_PART."""
        return self.transfer.offset if self._sender in (None, core) else NO_PART

    def take(self, core: HostName, part: DocumentPart | None, seconds: float) -> bool:
        """Store a part that a core host has sent; return whether it was useful.

        Args:
            core: The core host.
            part: The next part; None if the host has none.
            seconds: Seconds that the answer took.
        """
        if part is None or self._sender not in (None, core):
            return False
        # A late part may be based on a version that has been replaced since.
        applies = part.base_version in (NO_BASE, self.version)
        if part.version <= self.version or not applies:
            return False
        if not self.transfer.take(part, seconds):
            return False
        self._sender = core
        return not self.transfer.is_whole or self._apply(core)

    def release(self, core: HostName) -> None:
        """Let any core host send the next part, if this one has been the sender."""
        if self._sender == core:
            self._sender = None

    def _apply(self, core: HostName) -> bool:
        """Apply the complete transfer; return False if it can't be read."""
        self._sender = None
        transfer, self.transfer = self.transfer, DocumentTransfer()
        try:
            for delta in transfer.deltas():
                self._documents.take(delta)
        except (DeltaMismatch, UnknownBase, msgspec.MsgspecError) as exc:
            # The held document may be the damaged one, so a whole one is requested.
            self._documents = DocumentHistory(max_delta_bytes=0)
            _log.error("document not read", core=core, reason=str(exc))
            return False
        return True
