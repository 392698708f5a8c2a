"""A stream for log lines that never waits for its reader."""

import os
import select
from collections import deque

from bronzepoint_common.clock import monotonic

PIECE = select.PIPE_BUF
"""Bytes of one write: a pipe that is ready for some takes so many without a wait."""
MOST_BACKLOG = 256 * 1024
"""Bytes that are kept for a reader that has stopped, or reads slowly."""
RATE = 256 * 1024
"""Bytes a second that are taken,"""
BURST = 1024 * 1024
"""and bytes that are taken at once."""


class LogBacklogFull(OSError):
    """A line isn't taken: its reader has stopped, or there are too many lines."""

    def __init__(self) -> None:
        super().__init__(
            "The log's reader has stopped or lines come too fast: let whatever reads "
            "this process's output run, or raise [log] level."
        )


class LogStream:
    """Writes text to a descriptor that may be a pipe, a socket, a terminal or a file.

    A blocking write would stop the event loop, and with it all callers, for as long as
    the reader of a pipe stands still. The descriptor isn't made non-blocking, since
    other processes may share it: it is asked whether it takes a piece instead.

    Args:
        fd: Descriptor to write to.
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
        """Take text, and write what can be written at once.

        Raises:
            LogBacklogFull: It isn't taken.
        """
        data = text.encode("utf-8", "backslashreplace")
        self._refill()
        self.flush()
        if self._backlog_size + len(data) > MOST_BACKLOG or self._allowance < len(data):
            raise LogBacklogFull
        self._allowance -= len(data)
        for start in range(0, len(data), PIECE):
            self._backlog.append(data[start : start + PIECE])
        self._backlog_size += len(data)
        self.flush()
        return len(text)

    def flush(self) -> None:
        """Write what the reader takes.

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
