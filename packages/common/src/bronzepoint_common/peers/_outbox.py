"""The sending side towards one peer."""

import socket
from collections import deque
from collections.abc import Callable
from typing import Self

import curio
from curio.traps import _read_wait, _write_wait

from bronzepoint_common.peers._stream import connect, frame_head

_QUEUED_FRAMES = 128
"""Frames kept for a peer that is slow or away; beyond it the oldest are dropped,"""
_QUEUED_BYTES = 512 * 1024
"""and beyond this many bytes behind the oldest. Bounded by their number alone, large
frames for 70 peers would fill the memory that a host has for control."""
_CONNECT_FIRST = 0.4
"""Seconds for the first connection: two of the longest trips there and back. A host
without power drops the opening packet, and the kernel sends it again after a second:
when all hosts start together, that second passed before they could elect a leader."""
_CONNECT_TIMEOUT = 2.0
_RETRY_MIN = 0.05
_RETRY_MAX = 1.0
"""Seconds between two attempts to connect."""
_IDLE_TIMEOUT = 60.0
"""Seconds without a frame after which the connection is closed."""


class Outbox:
    """Sends frames to one peer; dials it where there is one to send.

    A host knows more peers than it talks to, and dead ones too: dialling all of them
    for good would cost more than all of its messages.

    A frame goes straight to the socket where it takes all of it; what it does not take
    waits, and the task writes it as soon as the peer reads on.

    Args:
        address: The peer's ``host:port``.
        wake: Called where the task has something to do; see `attend`.
    """

    def __init__(self, address: str, wake: Callable[[Self], None]) -> None:
        self.address = address
        self._wake = wake
        self._frames: deque[bytes] = deque()
        self._queued_bytes = 0
        self._partial = b""
        self._sock: socket.socket | None = None
        self._sent = 0
        self._wanted = curio.Event()
        self._task: curio.Task | None = None
        self._closed = False

    def send(self, frame: bytes) -> bool:
        """Send one frame, or keep it; False where an older one was dropped for it."""
        self._frames.append(frame_head(frame) + frame)
        self._queued_bytes += len(self._frames[-1])
        self._sent += 1
        if self._partial:
            return self._keep_bounded()
        if self._sock is not None:
            self._write(self._sock)
        if self._has_waiting():
            self._wake(self)
        return self._keep_bounded()

    @property
    def waiting_bytes(self) -> int:
        """Return the bytes that the connection hasn't taken yet."""
        return self._queued_bytes + len(self._partial)

    def close(self) -> None:
        """Drop what is queued; the task ends and closes the connection."""
        self._closed = True
        self._frames.clear()
        self._queued_bytes = 0
        if self._sock is not None:
            _shut_down(self._sock)
        self._wake(self)

    async def attend(self) -> None:
        """Start the task, or let it write what waits."""
        if self._task is None and not self._closed:
            self._task = await curio.spawn(self._run, daemon=True)
            return
        await self._wanted.set()

    async def cancel(self) -> None:
        """End the task and close the connection at once."""
        self._closed = True
        if self._task is not None:
            await self._task.cancel()

    async def _run(self) -> None:
        delay, patience = _RETRY_MIN, _CONNECT_FIRST
        while not self._closed:
            if not self._has_waiting():
                self._wanted.clear()
                await self._wanted.wait()
                continue
            sock = await connect(self.address, patience)
            patience = min(2 * patience, _CONNECT_TIMEOUT)
            if sock is not None:
                delay, patience = _RETRY_MIN, _CONNECT_FIRST
                await self._use(sock)
            await curio.sleep(delay)
            delay = min(2 * delay, _RETRY_MAX)

    async def _use(self, sock: socket.socket) -> None:
        """Send over one connection until it is lost."""
        self._sock = sock
        writer = await curio.spawn(self._write_waiting, sock, daemon=True)
        try:
            await self._wait_lost(sock)
        finally:
            self._sock = None
            # What the lost connection took of a frame is gone with it.
            self._partial = b""
            # Nobody may wait for the descriptor when it is closed: its number is soon
            # that of another connection.
            await writer.cancel()
            sock.close()

    async def _wait_lost(self, sock: socket.socket) -> None:
        """Return when the connection is lost, or nothing was sent for a while."""
        sent = -1
        while sent != self._sent:
            sent = self._sent
            async with curio.ignore_after(_IDLE_TIMEOUT):
                # The peer never sends anything here: readable means lost.
                await _read_wait(sock)
                return

    async def _write_waiting(self, sock: socket.socket) -> None:
        while True:
            self._write(sock)
            if self._has_waiting():
                await _write_wait(sock)
                continue
            self._wanted.clear()
            await self._wanted.wait()

    def _write(self, sock: socket.socket) -> None:
        """Write as much as the socket takes."""
        try:
            while self._has_waiting():
                data = self._partial or self._next_frame()
                self._partial = data
                sent = sock.send(data)
                self._partial = data[sent:]
        except BlockingIOError:
            return
        except OSError:
            # The task sees the loss too; until then nothing more is written here.
            _shut_down(sock)

    def _next_frame(self) -> bytes:
        frame = self._frames.popleft()
        self._queued_bytes -= len(frame)
        return frame

    def _has_waiting(self) -> bool:
        return bool(self._frames or self._partial)

    def _keep_bounded(self) -> bool:
        dropped = False
        while self._is_over_bound():
            self._next_frame()
            dropped = True
        return not dropped

    def _is_over_bound(self) -> bool:
        if not self._frames:
            return False
        # The bytes behind the oldest frame count, so that small ones don't push out a
        # snapshot that is larger than the bound.
        behind = self._queued_bytes - len(self._frames[0])
        return len(self._frames) > _QUEUED_FRAMES or behind > _QUEUED_BYTES


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
