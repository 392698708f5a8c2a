"""Memory for the answers that are collected whole before they are sent to callers."""

MAX_ANSWER = 1 << 20
"""Maximum bytes of one answer that is collected whole."""
MAX_TOTAL = 16 << 20
"""Maximum bytes of all collected answers of this host."""


class BufferPool:
    """Counts the bytes of all answers that are being collected on this host."""

    def __init__(self) -> None:
        self.used = 0

    def open(self) -> "AnswerBuffer":
        """Return an empty buffer for one answer."""
        return AnswerBuffer(self)


class AnswerBuffer:
    """Collects the body of one answer, as long as there is memory for it.

    Use it as a context manager: its memory is released at the end.
    """

    def __init__(self, pool: BufferPool) -> None:
        self._pool = pool
        self._parts: list[bytes] = []
        self._size = 0

    def __enter__(self) -> "AnswerBuffer":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._pool.used -= self._size
        self._size = 0

    def add(self, piece: bytes) -> bool:
        """Add a piece; return whether there is memory for more."""
        self._parts.append(piece)
        self._size += len(piece)
        self._pool.used += len(piece)
        return self._size <= MAX_ANSWER and self._pool.used <= MAX_TOTAL

    def take(self) -> bytes:
        """Return the bytes collected so far, and release their memory."""
        found = b"".join(self._parts)
        self._parts.clear()
        self._pool.used -= self._size
        self._size = 0
        return found
