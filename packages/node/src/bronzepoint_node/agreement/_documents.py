"""Changes of the catalogue document: their encoding in the log and their effect."""

import msgspec

from bronzepoint_common.documents import NO_BASE, DocumentHistory, make_delta
from bronzepoint_schema.generated.agreement import (
    Change,
    PatchDocument,
    ReplaceDocument,
)
from bronzepoint_schema.generated.documents import DocumentDelta

DocumentOp = ReplaceDocument | PatchDocument


def document_version(op: DocumentOp) -> int:
    """Return the document version after a change."""
    match op:
        case ReplaceDocument(version=version):
            return version
        case PatchDocument(delta=delta):
            return delta.version


def compress_document(version: int, content: bytes) -> PatchDocument:
    """Return a whole document compressed for the leader, to about 1/20 of its size."""
    return PatchDocument(make_delta(version, content))


def delta_encode_document(change: Change, newest: DocumentHistory) -> Change:
    """Return a change of the document that carries only the difference.

    A whole document in each entry would cost every voter the size of the catalogue on
    disk, in memory and on the network.

    Args:
        change: The change.
        newest: Document after all entries of the log; the change is applied to it.
    """
    version = document_version(change.op)
    if version > newest.version:
        content = _content(change.op, newest)
        delta = make_delta(version, content, newest.version, newest.content)
    else:
        # A newer version precedes it in the log, so its content is never applied.
        delta = DocumentDelta(version, NO_BASE, 0, b"")
    return msgspec.structs.replace(change, op=PatchDocument(delta))


def apply_document(held: DocumentHistory, op: DocumentOp) -> bool:
    """Apply a change of the document; return False if a newer version is held."""
    if document_version(op) <= held.version:
        return False
    match op:
        case ReplaceDocument(version=version, content=content):
            held.replace(version, content)
        case PatchDocument(delta=delta):
            held.take(delta)
    return True


def _content(op: DocumentOp, newest: DocumentHistory) -> bytes:
    match op:
        case ReplaceDocument(content=content):
            return content
        case PatchDocument(delta=delta):
            return newest.content_after(delta)
