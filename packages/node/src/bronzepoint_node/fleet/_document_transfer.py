"""Parts of the catalogue document received so far."""

import msgspec

from bronzepoint_common.documents import NO_BASE
from bronzepoint_schema.generated.documents import DocumentDelta, DocumentPart

_decoder = msgspec.msgpack.Decoder(list[DocumentDelta])


class DocumentTransfer:
    """Collects the parts of the deltas that lead from one version to a newer one.

    Received parts are kept when an answer is late or a host is lost, and any core host
    with the same deltas may send the rest.

    Attributes:
        version: Version that the parts lead to; -1 before the first part.
        base_version: Version that the deltas are applied to.
        size: Bytes of all parts together.
        seconds: Seconds that the answers with the parts took.
    """

    def __init__(self) -> None:
        self.version = NO_BASE
        self.base_version = NO_BASE
        self.size = 0
        self.seconds = 0.0
        self._content = bytearray()

    @property
    def offset(self) -> int:
        """Bytes received."""
        return len(self._content)

    def take(self, part: DocumentPart, seconds: float) -> bool:
        """Append a part that took ``seconds``; return whether it was the next one."""
        same = (part.version, part.base_version, part.size)
        if same != (self.version, self.base_version, self.size):
            self._begin(part)
        if part.offset != self.offset:
            return False
        self._content += part.content
        self.seconds += seconds
        return True

    @property
    def is_whole(self) -> bool:
        """Return whether all parts have been received."""
        return 0 < self.size <= self.offset

    def deltas(self) -> list[DocumentDelta]:
        """Decode the deltas from all parts.

        Raises:
            msgspec.MsgspecError: The content can't be decoded.
        """
        return _decoder.decode(bytes(self._content))

    def _begin(self, part: DocumentPart) -> None:
        self.version, self.base_version = part.version, part.base_version
        self.size = part.size
        self.seconds = 0.0
        self._content.clear()
