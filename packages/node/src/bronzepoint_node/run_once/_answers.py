"""How much of an answer is kept for resends."""

from bronzepoint_schema.generated.run_once import StoredAnswer

MAX_STORED_BODY = 16 * 1024
"""Bytes of a body; each copy keeps it in memory for the lifetime of its key."""
MAX_STORED_HEADERS = 4 * 1024
"""Bytes of all header names and values together."""


def bound_answer(answer: StoredAnswer) -> StoredAnswer:
    """Return the answer, or its status alone where it is too large to keep."""
    header_bytes = sum(len(name) + len(value) for name, value in answer.headers.items())
    if len(answer.body) <= MAX_STORED_BODY and header_bytes <= MAX_STORED_HEADERS:
        return answer
    return StoredAnswer(status=answer.status, body=b"", complete=False)
