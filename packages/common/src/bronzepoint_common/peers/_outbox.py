"""The sending side towards one peer."""

import socket
from collections import deque
from collections.abc import Callable
from typing import Self

import curio
from curio.traps import _read_wait, _write_wait

from bronzepoint_common.peers._stream import connect, frame_head

_QUEUED_FRAMES = 128
"""Frames kept for a peer that is slow or away; beyond it the oldest are dropped."""
_CONNECT_TIMEOUT = 2.0
_RETRY_MIN = 0.05
_RETRY_MAX = 0.5
"""Seconds between two attempts to connect."""


class Outbox:
    """Dials one peer, dials again after each loss, and sends it frames.

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
        self._partial = b""
        self._sock: socket.socket | None = None
        self._writable = curio.Event()
        self._task: curio.Task | None = None
        self._closed = False
        wake(self)

    def send(self, frame: bytes) -> bool:
        """Send one frame, or keep it; False where an older one was dropped for it."""
        self._frames.append(frame_head(frame) + frame)
        if self._sock is None or self._partial:
            return self._keep_bounded()
        self._write(self._sock)
        if self._frames or self._partial:
            self._wake(self)
        return self._keep_bounded()

    def close(self) -> None:
        """Drop what is queued; the task ends and closes the connection."""
        self._closed = True
        self._frames.clear()
        if self._sock is not None:
            _shut_down(self._sock)
        self._wake(self)

    async def attend(self) -> None:
        """Start the task, or let it write what waits."""
        if self._task is None and not self._closed:
            self._task = await curio.spawn(self._run, daemon=True)
            return
        await self._writable.set()

    async def cancel(self) -> None:
        """End the task and close the connection at once."""
        self._closed = True
        if self._task is not None:
            await self._task.cancel()

    async def _run(self) -> None:
        delay = _RETRY_MIN
        while not self._closed:
            sock = await connect(self.address, _CONNECT_TIMEOUT)
            if sock is None:
                await curio.sleep(delay)
                delay = min(2 * delay, _RETRY_MAX)
                continue
            delay = _RETRY_MIN
            await self._use(sock)
            await curio.sleep(delay)

    async def _use(self, sock: socket.socket) -> None:
        """Send over one connection until it is lost."""
        self._sock = sock
        # What the lost connection took of a frame is gone with it.
        self._partial = b""
        writer = await curio.spawn(self._write_waiting, sock, daemon=True)
        try:
            # The peer never sends anything here: readable means lost.
            await _read_wait(sock)
        finally:
            self._sock = None
            # Nobody may wait for the descriptor when it is closed: its number is soon
            # that of another connection.
            await writer.cancel()
            sock.close()

    async def _write_waiting(self, sock: socket.socket) -> None:
        while True:
            self._write(sock)
            if self._frames or self._partial:
                await _write_wait(sock)
                continue
            self._writable.clear()
            await self._writable.wait()

    def _write(self, sock: socket.socket) -> None:
        """Write as much as the socket takes."""
        try:
            while self._partial or self._frames:
                data = self._partial or self._frames.popleft()
                self._partial = data
                sent = sock.send(data)
                self._partial = data[sent:]
        except BlockingIOError:
            return
        except OSError:
            # The task sees the loss too; until then nothing more is written here.
            _shut_down(sock)

    def _keep_bounded(self) -> bool:
        if len(self._frames) <= _QUEUED_FRAMES:
            return True
        self._frames.popleft()
        return False


def _shut_down(sock: socket.socket) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
