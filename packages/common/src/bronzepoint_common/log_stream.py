"""A non-blocking output stream for log lines."""

import os
import select
from collections import deque

from bronzepoint_common.clock import monotonic

MAX_WRITE = select.PIPE_BUF
"""Maximum bytes of one write: a pipe that is ready for writing accepts this many
without blocking."""
MAX_BACKLOG = 256 * 1024
"""Maximum bytes that are buffered while the reader is slow or has stopped."""
RATE = 256 * 1024
"""Bytes a second that the stream accepts on average."""
BURST = 1024 * 1024
"""Bytes that the stream accepts at once after a pause."""


class LogBacklogFull(OSError):
    """A line was rejected: the reader has stopped, or lines arrive too fast."""

    def __init__(self) -> None:
        super().__init__(
            "The reader of the log has stopped or lines are written too fast: resume "
            "or restart the program that reads this process's output, or raise [log] "
            "level."
        )


class LogStream:
    """Writes text to a descriptor that may be a pipe, a socket, a terminal or a file.

    A blocking write would stop the event loop, and with it all requests, for as long as
    the reader of a pipe doesn't read. The descriptor isn't made non-blocking, since
    other processes may share it; it is polled for writability before each write.

    Args:
        fd: File descriptor to write to.
    """

    def __init__(self, fd: int) -> None:
        self._fd = fd
        self._backlog: deque[bytes] = deque()
        self._backlog_size = 0
        self._allowance = float(BURST)
        self._refilled_at = monotonic()
        self._poll = select.poll()
        self._poll.register(fd, select.POLLOUT)

    def write(self, text: str) -> int:
        """Buffer text and write as much as possible without blocking.

        Raises:
            LogBacklogFull: The text exceeds the backlog or the rate limit.
        """
        data = text.encode("utf-8", "backslashreplace")
        self._refill()
        self.flush()
        if self._backlog_size + len(data) > MAX_BACKLOG or self._allowance < len(data):
            raise LogBacklogFull
        self._allowance -= len(data)
        for start in range(0, len(data), MAX_WRITE):
            self._backlog.append(data[start : start + MAX_WRITE])
        self._backlog_size += len(data)
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write buffered text until the descriptor would block.

        Raises:
            OSError: The descriptor can't be written to.
        """
        while self._backlog and self._poll.poll(0):
            piece = self._backlog.popleft()
            self._backlog_size -= len(piece)
            left = piece[os.write(self._fd, piece) :]
            if left:
                self._backlog.appendleft(left)
                self._backlog_size += len(left)

    def _refill(self) -> None:
        now = monotonic()
        self._allowance += RATE * (now - self._refilled_at)
        self._allowance = min(float(BURST), self._allowance)
        self._refilled_at = now


__all__ = ["LogBacklogFull", "LogStream"]
