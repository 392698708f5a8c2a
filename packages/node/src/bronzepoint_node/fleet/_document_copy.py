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
"""Offset that says that no part is wanted."""

_log = get_logger("follower")


class DocumentCopy:
    """The document as far as it has come, and the parts of what is still lacking.

    One host of the core sends the parts. Sent by all that are asked at a start, they
    would take up the link several times.

    Attributes:
        transfer: What has come of the next versions.
    """

    def __init__(self) -> None:
        self.transfer = DocumentTransfer()
        self._documents = DocumentHistory(kept_bytes=0)
        self._sender: HostName | None = None

    @property
    def version(self) -> int:
        """Version that is held; -1: none."""
        return self._documents.version

    @property
    def content(self) -> bytes:
        """The document that is held."""
        return self._documents.content

    def wanted_from(self, core: HostName) -> int:
        """Return the offset of the part that a host should send."""
        return self.transfer.offset if self._sender in (None, core) else NO_PART

    def take(self, core: HostName, part: DocumentPart | None, seconds: float) -> bool:
        """Take what a host has sent; False: it brought nothing further.

        Args:
            core: The host.
            part: The next part; None: it has none.
            seconds: Time that its answer took.
        """
        if part is None or self._sender not in (None, core):
            return False
        # What comes late may lead on from a version that is held no more.
        leads_on = part.base_version in (NO_BASE, self.version)
        if part.version <= self.version or not leads_on:
            return False
        if not self.transfer.take(part, seconds):
            return False
        self._sender = core
        return not self.transfer.is_whole or self._apply(core)

    def release(self, core: HostName) -> None:
        """Let any host send the next part, if this one did so far."""
        if self._sender == core:
            self._sender = None

    def _apply(self, core: HostName) -> bool:
        """Go on to the version that the parts lead to."""
        self._sender = None
        transfer, self.transfer = self.transfer, DocumentTransfer()
        try:
            for delta in transfer.deltas():
                self._documents.take(delta)
        except (DeltaMismatch, UnknownBase, msgspec.MsgspecError) as exc:
            # What is held may be what is damaged: the whole document is asked for.
            self._documents = DocumentHistory(kept_bytes=0)
            _log.error("document not read", core=core, reason=str(exc))
            return False
        return True
