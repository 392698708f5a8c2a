"""Changes of the catalogue document: what of them the log holds, and what they do."""

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
    """Return the version that a change leads to."""
    match op:
        case ReplaceDocument(version=version):
            return version
        case PatchDocument(delta=delta):
            return delta.version


def pack_document(version: int, content: bytes) -> PatchDocument:
    """Return a whole document as it travels to the leader: a twentieth of its bytes."""
    return PatchDocument(make_delta(version, content))


def shorten_document(change: Change, newest: DocumentHistory) -> Change:
    """Return a change of the document that carries only what differs.

    Kept and sent whole, each change costs every voter the size of the catalogue, on its
    disk, in its memory and on its links.

    Args:
        change: The change.
        newest: What is held where the log ends: the change will be applied to it.
    """
    version = document_version(change.op)
    if version > newest.version:
        content = _content(change.op, newest)
        delta = make_delta(version, content, newest.version, newest.content)
    else:
        # Overtaken where it stands in the log, so it is accepted without a look.
        delta = DocumentDelta(version, NO_BASE, 0, b"")
    return msgspec.structs.replace(change, op=PatchDocument(delta))


def apply_document(held: DocumentHistory, op: DocumentOp) -> bool:
    """Take a change of the document; False where it is overtaken."""
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
