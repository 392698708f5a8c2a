"""The receiving side: connections that peers have dialled."""

import errno
import socket
from collections.abc import Awaitable, Callable

import curio
from curio.traps import _read_wait

from bronzepoint_common.peers._errors import FrameRejected
from bronzepoint_common.peers._stream import (
    MAX_FRAME_BYTES,
    FrameBuffer,
    family,
    prepare,
)
from bronzepoint_common.settings import split_address

Receive = Callable[[bytes], Awaitable[None]]
"""Takes one frame; raises FrameRejected where the sender is none of ours."""

_BACKLOG = 256
_READ_BYTES = 65536
_MAX_UNPROVED = 64
"""Connections at once whose sender has not shown the cluster key yet."""
_PROOF_TIMEOUT = 10.0
"""Seconds in which it must."""
_FULL_PAUSE = 0.1
"""Seconds to wait where this process has no descriptor left for a connection."""


class Listener:
    """Accepts connections; one task reads each of them.

    Args:
        address: ``host:port`` to listen on.
        receive: Takes each frame.
        rejected: Told why a connection was closed.
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
        self._unproved = 0

    async def start(self) -> None:
        """Listen.

        Raises:
            OSError: The address can't be listened on.
        """
        host, port = split_address(self._address)
        self._sock = socket.create_server(
            (host, port), family=family(host), backlog=_BACKLOG
        )
        self._sock.setblocking(False)
        self._accepting = await curio.spawn(self._accept, self._sock, daemon=True)

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
                # A peer that left at once, or too many open files: neither may end
                # this task, or no host could connect any more.
                if exc.errno in (errno.EMFILE, errno.ENFILE):
                    await curio.sleep(_FULL_PAUSE)
                continue
            if self._unproved >= _MAX_UNPROVED:
                # Anybody can connect; who has no key must not use up our descriptors.
                self._rejected("unproved")
                sock.close()
                continue
            sock.setblocking(False)
            reader = await curio.spawn(self._read, sock, daemon=True)
            self._readers.add(reader)

    async def _read(self, sock: socket.socket) -> None:
        try:
            prepare(sock)
            buffer = FrameBuffer()
            if await self._read_proof(sock, buffer):
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

    async def _read_proof(self, sock: socket.socket, buffer: FrameBuffer) -> bool:
        """Read the first frame; True where its sender has the key."""
        self._unproved += 1
        try:
            async with curio.ignore_after(_PROOF_TIMEOUT):
                return await self._read_frame(sock, buffer)
            self._rejected("unproved")
            return False
        finally:
            self._unproved -= 1

    async def _read_frame(self, sock: socket.socket, buffer: FrameBuffer) -> bool:
        """Read one frame and hand it on; False at the end of the connection."""
        while (frame := buffer.next_frame()) is None:
            try:
                data = sock.recv(_READ_BYTES)
            except BlockingIOError:
                await _read_wait(sock)
                continue
            if not data:
                return False
            buffer.feed(data)
        await self._receive(frame)
        return True
