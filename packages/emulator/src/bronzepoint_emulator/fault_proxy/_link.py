"""One link: a TCP forwarder with configurable faults."""

import struct
from enum import Enum

import curio
from curio import socket
from curio.io import Socket

from bronzepoint_schema.generated.emulator import LinkFault, LinkMode, LinkSpec

CHUNK = 65536
"""Bytes read from a socket at once."""
QUEUED_CHUNKS = 64
"""Chunks buffered per direction before reading pauses."""
LINGER_RESET = struct.pack("ii", 1, 0)
"""Value of SO_LINGER that makes close() send a TCP reset."""


class Direction(Enum):
    """Direction of bytes, relative to the side that connects."""

    forward = "forward"
    backward = "backward"


_BLOCKED_DIRECTIONS = {
    LinkMode.cut: {Direction.forward, Direction.backward},
    LinkMode.cut_forward: {Direction.forward},
    LinkMode.cut_backward: {Direction.backward},
}


class LinkReset(Exception):
    """The connection must be reset instead of closed in an orderly way."""


class Link:
    """Forwards the connections of one link, each in a task of its own.

    The mode ``cut`` simulates a network partition: connections stay open, but bytes
    and ends of stream are buffered. They are delivered once the mode changes, as TCP
    does when a partition heals.

    Args:
        spec: Addresses that it listens on and connects to, and its delay (s).
    """

    def __init__(self, spec: LinkSpec) -> None:
        self.spec = spec
        self.fault = LinkFault(link=spec.link, delay=spec.delay)
        self._changed = curio.Event()
        self._listener: Socket | None = None
        self._accept_task: curio.Task | None = None
        self._connections: set[curio.Task] = set()

    async def start(self) -> None:
        """Start listening and accepting connections."""
        self._listener = await _listen(self.spec.listen)
        self._accept_task = await curio.spawn(self._accept, self._listener, daemon=True)

    async def close(self) -> None:
        """Stop listening and drop every connection."""
        await self._stop_listening()
        await self._drop_connections()

    async def _stop_listening(self) -> None:
        if self._accept_task is None or self._listener is None:
            return
        await self._accept_task.cancel()
        await self._listener.close()
        self._accept_task = self._listener = None

    async def _drop_connections(self) -> None:
        for task in list(self._connections):
            await task.cancel()

    async def set_fault(self, fault: LinkFault) -> None:
        """Replace the link's fault; the default fault clears it."""
        self.fault = fault
        changed, self._changed = self._changed, curio.Event()
        await changed.set()
        if fault.mode in (LinkMode.reset, LinkMode.refuse):
            await self._drop_connections()
        if fault.mode is LinkMode.refuse:
            await self._stop_listening()
        elif self._listener is None:
            await self.start()

    async def _accept(self, listener: Socket) -> None:
        while True:
            client, _ = await listener.accept()
            task = await curio.spawn(self._forward, client, daemon=True)
            self._connections.add(task)

    async def _forward(self, client: Socket) -> None:
        server = None
        close_socket = _reset
        try:
            if self.fault.mode is LinkMode.reset:
                return
            await self._wait_until_open(Direction.forward)
            server = await _connect(self.spec.connect)
            await self._forward_both_ways(client, server)
            # Both directions reached their end of stream. A reset now would drop the
            # last bytes that the kernel still buffers for a slow reader.
            close_socket = _close
        except (OSError, LinkReset):
            return
        finally:
            # A connection that failed before its end of stream is reset on both
            # sides, so that neither treats a truncated stream as complete.
            await close_socket(client)
            if server is not None:
                await close_socket(server)
            self._connections.discard(await curio.current_task())

    async def _forward_both_ways(self, client: Socket, server: Socket) -> None:
        async with curio.TaskGroup(wait=all) as group:
            await group.spawn(self._pump, Direction.forward, client, server)
            await group.spawn(self._pump, Direction.backward, server, client)
        if any(group.exceptions):
            raise LinkReset

    async def _pump(self, direction: Direction, source: Socket, sink: Socket) -> None:
        queue = curio.Queue(maxsize=QUEUED_CHUNKS)
        reader = await curio.spawn(self._read, source, queue, daemon=True)
        try:
            await self._write(direction, queue, sink)
        finally:
            await reader.cancel()

    async def _read(self, source: Socket, queue: curio.Queue) -> None:
        """Queue each chunk with the time at which to forward it."""
        while True:
            try:
                chunk = await source.recv(CHUNK)
            except OSError:
                chunk = None
            due = await curio.clock() + self.fault.delay
            await queue.put((due, chunk))
            if not chunk:
                return

    async def _write(
        self, direction: Direction, queue: curio.Queue, sink: Socket
    ) -> None:
        sent = 0
        while True:
            due, chunk = await queue.get()
            now = await curio.clock()
            if due > now:
                await curio.sleep(due - now)
            await self._wait_until_open(direction)
            if chunk is None:
                raise LinkReset
            if not chunk:
                await sink.shutdown(socket.SHUT_WR)
                return
            if direction is Direction.backward:
                chunk = self._truncate(chunk, sent)
                sent += len(chunk)
            await sink.sendall(chunk)
            if direction is Direction.backward and sent == self.fault.cut_after:
                raise LinkReset

    def _truncate(self, chunk: bytes, sent: int) -> bytes:
        limit = self.fault.cut_after
        if limit < 0 or sent > limit:
            return chunk
        return chunk[: limit - sent]

    async def _wait_until_open(self, direction: Direction) -> None:
        """Wait until the link forwards bytes in this direction."""
        while direction in _BLOCKED_DIRECTIONS.get(self.fault.mode, ()):
            await self._changed.wait()


async def _listen(address: str) -> Socket:
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(128)
    return listener


async def _connect(address: str) -> Socket:
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        await sock.connect((host, int(port)))
    except BaseException:
        await sock.close()
        raise
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


async def _close(sock: Socket) -> None:
    """Close a socket; buffered bytes are still delivered."""
    await sock.close()


async def _reset(sock: Socket) -> None:
    """Reset a connection; buffered bytes are dropped."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    except OSError:
        pass
    await sock.close()
