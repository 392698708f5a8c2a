"""One link: it accepts connections and carries their bytes, or doesn't."""

import struct
from enum import Enum

import curio
from curio import socket
from curio.io import Socket

from bronzepoint_schema.generated.emulator import LinkFault, LinkMode, LinkSpec

CHUNK = 65536
QUEUED_CHUNKS = 64
LINGER_RESET = struct.pack("ii", 1, 0)


class Direction(Enum):
    """Which way bytes go, as seen from the side that connects."""

    forward = "forward"
    backward = "backward"


_HELD = {
    LinkMode.cut: {Direction.forward, Direction.backward},
    LinkMode.cut_forward: {Direction.forward},
    LinkMode.cut_backward: {Direction.backward},
}


class LinkReset(Exception):
    """The link's connection must be reset, not closed in an orderly way."""


class Link:
    """Carries every connection of one link through one task each.

    A cut holds bytes back in silence and lets nothing be noticed: connections stay
    open, ends of stream are held as well, and after the cut heals what was held is
    delivered, as TCP does when a network partition ends.

    Args:
        spec: Where it listens and where it leads to.
    """

    def __init__(self, spec: LinkSpec) -> None:
        self.spec = spec
        self.fault = LinkFault(link=spec.link, delay=spec.delay)
        self._changed = curio.Event()
        self._listener: Socket | None = None
        self._accepting: curio.Task | None = None
        self._connections: set[curio.Task] = set()

    async def start(self) -> None:
        """Listen and accept connections."""
        self._listener = await _listen(self.spec.listen)
        self._accepting = await curio.spawn(self._accept, self._listener, daemon=True)

    async def close(self) -> None:
        """Stop listening and drop every connection."""
        await self._stop_listening()
        await self._drop_connections()

    async def _stop_listening(self) -> None:
        if self._accepting is None or self._listener is None:
            return
        await self._accepting.cancel()
        await self._listener.close()
        self._accepting = self._listener = None

    async def _drop_connections(self) -> None:
        for task in list(self._connections):
            await task.cancel()

    async def change(self, fault: LinkFault) -> None:
        """Bring a fault onto the link, or take it away."""
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
            near, _ = await listener.accept()
            task = await curio.spawn(self._carry, near, daemon=True)
            self._connections.add(task)

    async def _carry(self, near: Socket) -> None:
        far = None
        end = _reset
        try:
            if self.fault.mode is LinkMode.reset:
                return
            await self._pass(Direction.forward)
            far = await _connect(self.spec.connect)
            await self._carry_both(near, far)
            # Both ends came and were passed on. A reset now would drop the last bytes
            # that the kernel still holds for a slow reader.
            end = _close
        except (OSError, LinkReset):
            return
        finally:
            # A connection that isn't carried to its end is reset on both sides, so
            # that neither takes a cut stream for a whole one.
            await end(near)
            if far is not None:
                await end(far)
            self._connections.discard(await curio.current_task())

    async def _carry_both(self, near: Socket, far: Socket) -> None:
        async with curio.TaskGroup(wait=all) as group:
            await group.spawn(self._pump, Direction.forward, near, far)
            await group.spawn(self._pump, Direction.backward, far, near)
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
        """Queue what arrives with the time at which it is due on the other side."""
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
            await self._pass(direction)
            if chunk is None:
                raise LinkReset
            if not chunk:
                await sink.shutdown(socket.SHUT_WR)
                return
            if direction is Direction.backward:
                chunk = self._before_cut(chunk, sent)
                sent += len(chunk)
            await sink.sendall(chunk)
            if direction is Direction.backward and sent == self.fault.cut_after:
                raise LinkReset

    def _before_cut(self, chunk: bytes, sent: int) -> bytes:
        limit = self.fault.cut_after
        if limit < 0 or sent > limit:
            return chunk
        return chunk[: limit - sent]

    async def _pass(self, direction: Direction) -> None:
        """Wait until the link carries bytes that way."""
        while direction in _HELD.get(self.fault.mode, ()):
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
    """Close a socket; bytes still on their way are delivered."""
    await sock.close()


async def _reset(sock: Socket) -> None:
    """Close a socket; bytes still on their way are dropped with a reset."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    except OSError:
        pass
    await sock.close()
