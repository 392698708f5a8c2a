"""A TCP connection whose reads and writes have timeouts."""

import errno
import socket
import struct
from collections.abc import Awaitable, Callable

import curio
from curio.traps import _read_wait, _write_wait

READ_SIZE = 65536
"""Maximum bytes of one read."""
MAX_READY_READS = 16
"""Consecutive reads without waiting after which the task yields. curio switches tasks
only when one has to wait, so a peer that always has data ready would otherwise starve
all other tasks."""
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""SO_LINGER value with a timeout of 0 s: closing the socket sends RST."""
DELIVER_ON_CLOSE = struct.pack("ii", 0, 0)
"""SO_LINGER value that is off: closing the socket delivers written data, then FIN."""


class Wire:
    """A connected socket whose timeouts cost nothing while data is available.

    A timer is set only if a read or a write has to wait.

    The kernel reports a reset once, to whatever uses the socket next; reads after that
    return the end of the data as if the peer had closed the connection in order. So the
    reset is recorded here, and reading the end raises it again.

    Attributes:
        closed: Whether it was closed. Tasks that read or write then get an OSError.
        sent: Bytes written since this was last set to 0.
    """

    def __init__(self, sock: curio.io.Socket) -> None:
        self._sock = sock
        self._fd = sock._fileno
        self._recv = sock._socket.recv
        self._send = sock._socket.send
        self._ready_reads = 0
        self._waiting = 0
        self.closed = False
        self.sent = 0
        self._rest = memoryview(b"")
        self._failure: OSError | None = None
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    async def receive(self, timeout: float) -> bytes:
        """Read available data, waiting for some if necessary; b"" at the end.

        Raises:
            curio.TaskTimeout: Nothing arrived within ``timeout`` seconds.
            OSError: The connection failed.
        """
        if self._ready_reads >= MAX_READY_READS:
            # Yields before the read: a task cancelled here loses no data.
            self._ready_reads = 0
            await curio.sleep(0)
        try:
            data = self._read()
        except BlockingIOError:
            self._ready_reads = 0
            return await self._receive_later(timeout)
        self._ready_reads += 1
        return data

    async def _receive_later(self, timeout: float) -> bytes:
        async with curio.timeout_after(timeout):
            while True:
                await self._wait(_read_wait)
                try:
                    return self._read()
                except BlockingIOError:
                    continue

    async def receive_next(self) -> bytes:
        """Wait for data and read it, without a timeout; b"" at the end.

        For the pieces of an answer in progress, where most reads have to wait: no
        read is tried before the wait, and no timer is set. `StallMonitor` detects
        timeouts.

        Raises:
            OSError: The connection failed.
        """
        while True:
            await self._wait(_read_wait)
            try:
                return self._read()
            except BlockingIOError:
                continue

    def _read(self) -> bytes:
        """Read without blocking; b"" at the end.

        Raises:
            BlockingIOError: There is no data.
            OSError: The connection failed, now or at an earlier read or write.
        """
        try:
            data = self._recv(READ_SIZE)
        except BlockingIOError:
            raise
        except OSError as exc:
            self._record_failure(exc)
            raise
        if not data and self._failure is not None:
            raise ConnectionResetError(self._failure.errno, self._failure.strerror)
        return data

    def _record_failure(self, exc: OSError) -> None:
        """Record that the connection was reset.

        EPIPE doesn't show that: where no other error comes first, the peer has ended
        its data in order, or this host has shut down its own direction.
        """
        if exc.errno != errno.EPIPE:
            self._failure = exc

    async def _wait(self, wait: Callable[[curio.io._Fd], Awaitable[None]]) -> None:
        """Wait until the socket can be read or written.

        Raises:
            OSError: The connection was closed by another task.
        """
        self._check_open()
        self._waiting += 1
        try:
            await wait(self._fd)
        finally:
            self._waiting -= 1
            if self.closed and not self._waiting:
                await self._sock.close()
        self._check_open()

    def _check_open(self) -> None:
        if self.closed:
            raise ConnectionAbortedError(errno.ECONNABORTED, "closed by this host")

    async def send(self, data: bytes, timeout: float) -> None:
        """Write all data.

        Raises:
            curio.TaskTimeout: The peer accepted nothing within ``timeout`` seconds.
            OSError: The connection failed.
        """
        if not self.send_now(data):
            await self.send_rest(timeout)

    def send_now(self, data: bytes) -> bool:
        """Write as much as possible without blocking.

        Returns:
            False if data is left or an error occurred: call `send_rest` then.
        """
        if self._rest:
            # A cancelled send left a part of its data: the peer must get that first.
            self._rest = memoryview(bytes(self._rest) + data)
            return False
        try:
            sent = self._send(data)
        except BlockingIOError:
            sent = 0
        except OSError as exc:
            self._record_failure(exc)
            sent = 0
        self.sent += sent
        if sent == len(data):
            return True
        # A copy: a view would keep the part that is sent in memory, too.
        self._rest = memoryview(data[sent:])
        return False

    async def send_rest(self, timeout: float) -> None:
        """Write the data left by `send_now`; raises the same errors as `send`."""
        while self._rest:
            # The timeout is per piece: a slow reader is served, a stalled one is not.
            async with curio.timeout_after(timeout):
                await self._wait(_write_wait)
            try:
                sent = self._send(self._rest)
            except BlockingIOError:
                sent = 0
            except OSError as exc:
                self._record_failure(exc)
                raise
            self.sent += sent
            self._rest = self._rest[sent:]
            if len(self._rest) < len(self._rest.obj) // 2:
                self._rest = memoryview(bytes(self._rest))

    @property
    def unsent(self) -> int:
        """Number of bytes left by `send_now` and not yet written by `send_rest`."""
        return len(self._rest)

    def poll(self) -> bytes | None:
        """Read without blocking: None if there is no data, b"" at the end."""
        try:
            return self._read()
        except BlockingIOError:
            return None
        except OSError:
            return b""

    def has_ended(self) -> bool:
        """Return whether the peer has closed and all its data has been read."""
        try:
            return not self._recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError as exc:
            self._record_failure(exc)
            return True

    def finish_sending(self) -> None:
        """Shut down the sending direction; the peer may still send."""
        self._shutdown(socket.SHUT_WR)

    def finish_receiving(self) -> None:
        """Shut down the receiving direction; received data can still be read."""
        self._shutdown(socket.SHUT_RD)

    def shut_down(self) -> None:
        """Shut down both directions; the descriptor stays open until ``close``.

        A task that waits to read from the socket wakes up and reads the end.
        """
        self._shutdown(socket.SHUT_RDWR)

    def _shutdown(self, how: int) -> None:
        try:
            self._sock._socket.shutdown(how)
        except OSError:
            return

    def reset_on_close(self) -> None:
        """Make ``close`` send RST, which the peer can't mistake for an ordinary end."""
        self._set_linger(RESET_ON_CLOSE)

    def deliver_on_close(self) -> None:
        """Make ``close`` deliver written data again, after `reset_on_close`."""
        self._set_linger(DELIVER_ON_CLOSE)

    def _set_linger(self, value: bytes) -> None:
        try:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
        except OSError:
            return

    async def close(self) -> None:
        """Close; written data is still delivered, except after `reset_on_close`.

        While other tasks wait for the socket, the last of them closes it: a wait for a
        closed descriptor ends the event loop, and so the whole process.
        """
        if self.closed:
            return
        self.closed = True
        if self._waiting:
            # Wakes a reader; a writer has a timeout.
            self.finish_receiving()
            return
        await self._sock.close()
