"""The sending side: the connection to one peer and its queue."""

import socket
from collections import deque
from collections.abc import Callable
from typing import Self

import curio
from curio.traps import _read_wait, _write_wait

from bronzepoint_common.background import spawn_background
from bronzepoint_common.clock import monotonic
from bronzepoint_common.peers._stream import connect, frame_head

_MAX_QUEUED_FRAMES = 128
"""Maximum frames queued for a slow or unreachable peer; the oldest are dropped."""
_MAX_QUEUED_BYTES = 512 * 1024
"""Maximum bytes queued behind the oldest frame. With a limit on the number of frames
alone, large frames for 70 peers would fill the memory that a host has for control
messages."""
_FIRST_CONNECT_TIMEOUT = 0.4
"""Timeout in seconds of the first attempt to connect: twice the longest round trip. A
host that is powered off or still booting drops the SYN packet, and the kernel resends
it only after a second: when all hosts start together, this would delay the first
election by a second."""
_MAX_CONNECT_TIMEOUT = 2.0
"""Maximum timeout in seconds of an attempt to connect; it doubles with each failure."""
_RETRY_MIN = 0.05
"""Seconds between the first two attempts to connect; doubles with each failure."""
_RETRY_MAX = 1.0
"""Maximum seconds between two attempts to connect."""
_MAX_CONNECT_TIME = 10.0
"""Seconds without a connection after which the queued frames are dropped. Otherwise one
message to a host that is gone for good would cause attempts to connect for ever."""
_IDLE_TIMEOUT = 60.0
"""Seconds without a frame after which the connection is closed."""


class Outbox:
    """Sends frames to one peer; connects to it when there is a frame to send.

    A host knows more peers than it sends messages to, and also dead ones. Keeping
    connections to all of them would cost more than all messages.

    A frame is written directly to the socket if that doesn't block. Otherwise it is
    queued, and the task writes it as soon as the peer reads again.

    Args:
        address: The peer's ``host:port``.
        wake: Called if the task has something to do; see `resume`.
    """

    def __init__(self, address: str, wake: Callable[[Self], None]) -> None:
        self.address = address
        self._wake = wake
        self._frames: deque[bytes] = deque()
        self._queued_bytes = 0
        self._partial = b""
        self._sock: socket.socket | None = None
        self._connected_at = 0.0
        self._sent = 0
        self._has_work = curio.Event()
        self._task: curio.Task | None = None
        self._closed = False

    def send(self, frame: bytes) -> bool:
        """Send or queue a frame; return False if older ones were dropped for it."""
        self._frames.append(frame_head(frame) + frame)
        self._queued_bytes += len(self._frames[-1])
        self._sent += 1
        if self._partial:
            return self._drop_excess()
        if self._sock is not None:
            self._write(self._sock)
        if self._has_waiting():
            self._wake(self)
        return self._drop_excess()

    @property
    def waiting_bytes(self) -> int:
        """Return the number of bytes that aren't written to the socket yet."""
        return self._queued_bytes + len(self._partial)

    def renew(self, opened_before: float) -> None:
        """Replace a connection that may be silent, unless frames are queued for it.

        What has been written to it is delivered if it does carry data: it is closed,
        not reset.

        Args:
            opened_before: Monotonic seconds; a younger connection is kept.
        """
        if self._sock is None or self._has_waiting():
            return
        if self._connected_at < opened_before:
            _shut_down(self._sock)
            self._sock = None

    def close(self) -> None:
        """Drop what is queued; the task ends and closes the connection."""
        self._closed = True
        self._drop_queued()
        if self._sock is not None:
            _shut_down(self._sock)
        self._wake(self)

    async def resume(self) -> None:
        """Start the task, or let it write queued frames."""
        if self._task is None and not self._closed:
            self._task = await spawn_background(self._run)
            return
        await self._has_work.set()

    async def cancel(self) -> None:
        """Cancel the task and close the connection at once."""
        self._closed = True
        if self._task is not None:
            await self._task.cancel()

    async def _run(self) -> None:
        delay, timeout = _RETRY_MIN, _FIRST_CONNECT_TIMEOUT
        connecting_since = monotonic()
        while not self._closed:
            if not self._has_waiting():
                self._has_work.clear()
                await self._has_work.wait()
                connecting_since = monotonic()
                continue
            sock = await connect(self.address, timeout)
            timeout = min(2 * timeout, _MAX_CONNECT_TIMEOUT)
            if sock is not None:
                delay, timeout = _RETRY_MIN, _FIRST_CONNECT_TIMEOUT
                await self._send_over(sock)
                connecting_since = monotonic()
            elif monotonic() - connecting_since > _MAX_CONNECT_TIME:
                self._drop_queued()
            await curio.sleep(delay)
            delay = min(2 * delay, _RETRY_MAX)

    async def _send_over(self, sock: socket.socket) -> None:
        """Send over one connection until it is lost or idle."""
        self._sock, self._connected_at = sock, monotonic()
        writer = await curio.spawn(self._write_waiting, sock, daemon=True)
        try:
            await self._wait_lost(sock)
        finally:
            self._sock = None
            # The peer drops a partial frame, so the rest of it is useless.
            self._partial = b""
            # No task may wait for the descriptor when it is closed, since its number
            # can be reused by another connection.
            await writer.cancel()
            sock.close()

    async def _wait_lost(self, sock: socket.socket) -> None:
        """Return when the connection is lost, or idle for _IDLE_TIMEOUT."""
        sent = -1
        while sent != self._sent:
            sent = self._sent
            async with curio.ignore_after(_IDLE_TIMEOUT):
                # The peer never sends on this connection: readable means lost.
                await _read_wait(sock)
                return

    async def _write_waiting(self, sock: socket.socket) -> None:
        while sock is self._sock:
            self._write(sock)
            if self._has_waiting():
                await _write_wait(sock)
                continue
            self._has_work.clear()
            await self._has_work.wait()

    def _write(self, sock: socket.socket) -> None:
        """Write as many queued frames as possible without blocking."""
        try:
            while self._has_waiting():
                data = self._partial or self._next_frame()
                self._partial = data
                sent = sock.send(data)
                self._partial = data[sent:]
        except BlockingIOError:
            return
        except OSError:
            # The shutdown wakes up `_wait_lost`, which ends the connection.
            _shut_down(sock)

    def _next_frame(self) -> bytes:
        frame = self._frames.popleft()
        self._queued_bytes -= len(frame)
        return frame

    def _has_waiting(self) -> bool:
        return bool(self._frames or self._partial)

    def _drop_queued(self) -> None:
        self._frames.clear()
        self._queued_bytes = 0

    def _drop_excess(self) -> bool:
        """Drop the oldest frames beyond the limits; return whether none was dropped."""
        dropped = False
        while self._is_over_bound():
            self._next_frame()
            dropped = True
        return not dropped

    def _is_over_bound(self) -> bool:
        if not self._frames:
            return False
        # The oldest frame itself doesn't count, so that small frames don't displace a
        # snapshot that is larger than the limit.
        behind = self._queued_bytes - len(self._frames[0])
        return len(self._frames) > _MAX_QUEUED_FRAMES or behind > _MAX_QUEUED_BYTES


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
