"""Parts of the catalogue document that have come so far."""

import msgspec

from bronzepoint_common.documents import NO_BASE
from bronzepoint_schema.generated.documents import DocumentDelta, DocumentPart

_decoder = msgspec.msgpack.Decoder(list[DocumentDelta])


class DocumentTransfer:
    """Collects the parts of the deltas that lead from one version to a newer one.

    What has come stays when an answer is late or a host is lost, and any host of the
    core that has the same deltas may send the rest.

    Attributes:
        version: Version that the parts lead to; -1: none has come.
        base_version: Version that the deltas are applied to.
        size: Bytes of all parts.
        seconds: Time that the answers with them took.
    """

    def __init__(self) -> None:
        self.version = NO_BASE
        self.base_version = NO_BASE
        self.size = 0
        self.seconds = 0.0
        self._content = bytearray()

    @property
    def offset(self) -> int:
        """Bytes that have come."""
        return len(self._content)

    def take(self, part: DocumentPart, seconds: float) -> bool:
        """Take a part, and the seconds it took; False: it isn't the next one."""
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
        """Tell whether all parts have come."""
        return 0 < self.size <= self.offset

    def deltas(self) -> list[DocumentDelta]:
        """Return what the parts hold together.

        Raises:
            msgspec.MsgspecError: It can't be read.
        """
        return _decoder.decode(bytes(self._content))

    def _begin(self, part: DocumentPart) -> None:
        self.version, self.base_version = part.version, part.base_version
        self.size = part.size
        self.seconds = 0.0
        self._content.clear()
