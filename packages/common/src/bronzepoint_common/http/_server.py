"""HTTP server: accepts connections and runs one task for each."""

import errno
import socket
from collections.abc import Awaitable, Callable
from enum import Enum

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.http._address import format_address, parse_address
from bronzepoint_common.http._client_memory import ClientMemory, unlimited_memory
from bronzepoint_common.http._errors import (
    HttpError,
    MemoryExhausted,
    TooManyConnections,
)
from bronzepoint_common.http._exchange import Exchange
from bronzepoint_common.http._limits import HttpLimits
from bronzepoint_common.http._server_connection import IDLE_GRACE, ServerConnection
from bronzepoint_common.http._wire import Wire

Handler = Callable[[Exchange], Awaitable[None]]
ErrorAnswer = Callable[[HttpError], tuple[int, dict[str, str], bytes]]

BACKLOG = 1024
"""Connections that the kernel queues until they are accepted."""
ACCEPT_PAUSE = 0.05
"""Seconds to wait before accepting again when file descriptors or memory run out."""
MAX_REFUSED = 64
"""Connections beyond the limit that are answered with 503 at the same time; further
ones are closed without an answer."""
RETRY_AFTER = "1"
"""Seconds after which stalled requests have made room for others."""
RESOURCE_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ServerState(Enum):
    """Lifecycle states of a server."""

    NEW = "new"
    SERVING = "serving"
    CLOSING = "closing"
    CLOSED = "closed"


class HttpServer:
    """Serves HTTP/1.1 on one address.

    Args:
        handler: Called for each request; must answer it before it returns.
        limits: Limits on sizes, connections and times.
        on_error: Returns status, headers and body of the answer to an error.
        memory: Bound that this server shares with the others of the process; None:
            there is none, as its clients are trusted.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits,
        on_error: ErrorAnswer | None = None,
        memory: ClientMemory | None = None,
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._on_error = on_error or plain_answer
        self._memory = memory or unlimited_memory()
        self._state = ServerState.NEW
        self._listener: curio.io.Socket | None = None
        self._accepting: curio.Task | None = None
        self._tasks: dict[ServerConnection, curio.Task] = {}
        self._refused = 0
        self._draining = False
        self._address = ""

    @property
    def address(self) -> str:
        """Address that the server listens on, with the actual port."""
        return self._address

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._tasks)

    async def start(self, address: str) -> None:
        """Listen on ``host:port``; port 0 selects a free port."""
        host, port = parse_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        listener = curio.network.tcp_server_socket(host, port, family, BACKLOG)
        self._listener = listener
        self._address = format_address(*listener.getsockname()[:2])
        self._state = ServerState.SERVING
        self._accepting = await spawn_background(self._accept_all)

    async def _accept_all(self) -> None:
        while True:
            try:
                sock, _ = await self._listener.accept()
            except OSError as exc:
                # The task must not end here: after a burst that uses up all
                # descriptors, the process would run but accept no connections.
                if exc.errno in RESOURCE_ERRORS:
                    await curio.sleep(ACCEPT_PAUSE)
                continue
            await self._handle_connection(sock)

    async def _handle_connection(self, sock: curio.io.Socket) -> None:
        try:
            peer = format_address(*sock.getpeername()[:2])
            wire = Wire(sock)
        except OSError:
            await sock.close()
            return
        conn = ServerConnection(wire, peer, self._handler, self._limits, self._on_error)
        if self._draining:
            conn.close_when_done()
        if len(self._tasks) < self._limits.max_connections and self._admit(conn):
            task = await curio.spawn(self._serve, conn, daemon=True)
            self._tasks[conn] = task
        elif self._refused < MAX_REFUSED:
            await curio.spawn(self._refuse, conn, daemon=True)
        else:
            await wire.close()

    def _admit(self, conn: ServerConnection) -> bool:
        share = self._memory.open(conn.give_way)
        if share is not None:
            conn.share = share
        return share is not None

    async def _serve(self, conn: ServerConnection) -> None:
        try:
            await conn.serve()
        finally:
            conn.share.end()
            self._tasks.pop(conn, None)

    async def _refuse(self, conn: ServerConnection) -> None:
        self._refused += 1
        try:
            await conn.refuse(TooManyConnections(self._limits.max_connections))
        finally:
            self._refused -= 1

    def start_draining(self) -> None:
        """Announce in all further answers that their connections close.

        Callers move to other hosts at their own pace, while new connections are
        still accepted; `close` is called after that.
        """
        self._draining = True
        for conn in self._tasks:
            conn.close_when_done()

    async def close(self, timeout: float) -> None:
        """Stop accepting, finish exchanges in progress, close idle connections.

        Args:
            timeout: Seconds after which remaining exchanges are cancelled.
        """
        if self._state is not ServerState.SERVING:
            return
        self._state = ServerState.CLOSING
        await self._stop_accepting()
        for conn in self._tasks:
            conn.close_when_done()
        # A caller may just be sending its next request on an idle connection. If the
        # connection were closed at once, the caller would get a reset, not an answer.
        await self._wait_for_tasks(min(IDLE_GRACE, timeout))
        for conn in self._tasks:
            conn.close_if_idle()
        await self._wait_for_tasks(timeout)
        for task in list(self._tasks.values()):
            await task.cancel()
        self._state = ServerState.CLOSED

    async def _wait_for_tasks(self, seconds: float) -> None:
        if seconds <= 0 or not self._tasks:
            return
        async with curio.ignore_after(seconds):
            for task in list(self._tasks.values()):
                await task.wait()

    async def _stop_accepting(self) -> None:
        await self._accepting.cancel()
        # Closing the listener resets connections that are established but not yet
        # accepted, in the middle of their first request; so they are accepted first.
        while True:
            try:
                sock, _ = self._listener._socket.accept()
            except OSError:
                break
            await self._handle_connection(curio.io.Socket(sock))
        await self._listener.close()


def plain_answer(exc: HttpError) -> tuple[int, dict[str, str], bytes]:
    """Return an answer to an error as plain text."""
    headers = {"Content-Type": "text/plain"}
    if isinstance(exc, MemoryExhausted):
        headers["Retry-After"] = RETRY_AFTER
    return exc.status, headers, f"{exc}\n".encode()
