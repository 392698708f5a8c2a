"""Limits on the size of the answers that are stored for resends."""

from bronzepoint_schema.generated.run_once import StoredAnswer

MAX_STORED_BODY = 16 * 1024
"""Maximum bytes of a body; each replica keeps it in memory until the key expires."""
MAX_STORED_HEADERS = 4 * 1024
"""Maximum bytes of all header names and values together."""


def bound_answer(answer: StoredAnswer) -> StoredAnswer:
    """Return the answer, or only its status if it is too large to store."""
    header_bytes = sum(len(name) + len(value) for name, value in answer.headers.items())
    if len(answer.body) <= MAX_STORED_BODY and header_bytes <= MAX_STORED_HEADERS:
        return answer
    return StoredAnswer(status=answer.status, body=b"", complete=False)
