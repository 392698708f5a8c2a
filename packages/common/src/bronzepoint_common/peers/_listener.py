"""The receiving side: accepts connections from peers."""

import errno
import socket
from collections.abc import Awaitable, Callable

import curio
from curio.traps import _read_wait

from bronzepoint_common.background import spawn_background
from bronzepoint_common.peers._errors import FrameRejected
from bronzepoint_common.peers._stream import (
    MAX_FRAME_BYTES,
    FrameBuffer,
    family,
    set_options,
)
from bronzepoint_common.settings import split_address

Receive = Callable[[bytes, bool], Awaitable[None]]
"""Handles a frame, and whether it is the first one of its connection; raises
FrameRejected if it is invalid or its sender lacks the cluster key."""

_BACKLOG = 256
"""Connections that the kernel queues until they are accepted."""
_READ_BYTES = 65536
"""Maximum bytes of one read."""
_MAX_UNAUTHENTICATED = 64
"""Maximum open connections whose sender hasn't proved yet that it has the cluster
key."""
_AUTHENTICATION_TIMEOUT = 10.0
"""Seconds in which the first valid frame must arrive on a connection."""
_ACCEPT_PAUSE = 0.1
"""Seconds to wait before accepting again when file descriptors run out."""


class Listener:
    """Accepts connections and reads each of them in a task.

    Args:
        address: ``host:port`` to listen on.
        receive: Called with each frame.
        rejected: Called with the reason when a connection is rejected.
    """

    def __init__(
        self, address: str, receive: Receive, rejected: Callable[[str], None]
    ) -> None:
        self._address = address
        self._receive = receive
        self._rejected = rejected
        self._sock: socket.socket | None = None
        self._accepting: curio.Task | None = None
        self._readers: set[curio.Task] = set()
        self._unauthenticated = 0

    async def start(self) -> None:
        """Start listening.

        Raises:
            OSError: The address can't be listened on.
        """
        host, port = split_address(self._address)
        self._sock = socket.create_server(
            (host, port), family=family(host), backlog=_BACKLOG
        )
        self._sock.setblocking(False)
        self._accepting = await spawn_background(self._accept, self._sock)

    async def close(self) -> None:
        """Stop listening and close all connections."""
        if self._accepting is not None:
            await self._accepting.cancel()
        for reader in list(self._readers):
            await reader.cancel()
        if self._sock is not None:
            self._sock.close()

    async def _accept(self, listening: socket.socket) -> None:
        while True:
            try:
                sock, _ = listening.accept()
            except BlockingIOError:
                await _read_wait(listening)
                continue
            except OSError as exc:
                # The peer has already disconnected, or there are too many open files.
                # This must not end the task, or no host could connect any more.
                if exc.errno in (errno.EMFILE, errno.ENFILE):
                    await curio.sleep(_ACCEPT_PAUSE)
                continue
            if self._unauthenticated >= _MAX_UNAUTHENTICATED:
                # Any program can connect; one without the cluster key must not use up
                # the file descriptors of this process.
                self._rejected("unproved")
                sock.close()
                continue
            sock.setblocking(False)
            reader = await curio.spawn(self._read, sock, daemon=True)
            self._readers.add(reader)

    async def _read(self, sock: socket.socket) -> None:
        try:
            set_options(sock)
            buffer = FrameBuffer()
            if await self._read_first_frame(sock, buffer):
                buffer.max_bytes = MAX_FRAME_BYTES
                while await self._read_frame(sock, buffer):
                    pass
        except FrameRejected as exc:
            self._rejected(exc.reason)
        except OSError:
            pass
        finally:
            sock.close()
            self._readers.discard(await curio.current_task())

    async def _read_first_frame(self, sock: socket.socket, buffer: FrameBuffer) -> bool:
        """Read the first frame; return whether its sender has the cluster key."""
        self._unauthenticated += 1
        try:
            async with curio.ignore_after(_AUTHENTICATION_TIMEOUT):
                return await self._read_frame(sock, buffer, is_first=True)
            self._rejected("unproved")
            return False
        finally:
            self._unauthenticated -= 1

    async def _read_frame(
        self, sock: socket.socket, buffer: FrameBuffer, is_first: bool = False
    ) -> bool:
        """Read one frame and pass it on; return False at the end of the connection."""
        while (frame := buffer.next_frame()) is None:
            # A short read has emptied the socket, so a further one would only fail:
            # most messages come alone.
            if buffer.last_read < _READ_BYTES:
                await _read_wait(sock)
            try:
                data = sock.recv(_READ_BYTES)
            except BlockingIOError:
                buffer.last_read = 0
                continue
            if not data:
                return False
            buffer.feed(data)
        await self._receive(frame, is_first)
        return True
