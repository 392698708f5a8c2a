"""Pool of idle keep-alive connections to servers."""

import math
import time
from collections import deque

import h11
from msgspec import Struct

from bronzepoint_common.http._wire import Wire

MAX_IDLE_CONNECTIONS = 64
"""Maximum idle connections per address; more would only use up file descriptors."""
PRUNE_INTERVAL = 5.0
"""Seconds between two removals of connections that were idle for too long."""


class IdleConnection(Struct):
    """A connection on which all exchanges so far were completed by both sides."""

    conn: h11.Connection
    wire: Wire
    since: float


class ConnectionPool:
    """Keeps idle connections by address; the most recently used is reused first.

    Args:
        idle_timeout: Seconds after which an idle connection is closed.
    """

    def __init__(self, idle_timeout: float) -> None:
        self._idle_timeout = idle_timeout
        self._idle: dict[str, deque[IdleConnection]] = {}
        self._next_prune = time.monotonic() + PRUNE_INTERVAL
        self._closed = False

    async def take(
        self, address: str, max_idle: float = math.inf
    ) -> IdleConnection | None:
        """Take a connection that was idle for at most ``max_idle`` seconds."""
        idle = self._idle.get(address)
        while idle:
            if time.monotonic() - idle[-1].since > max_idle:
                return None
            connection = idle.pop()
            # Data on an idle connection is a late or duplicate answer. If the
            # connection were reused, this would be read as the answer to the next
            # request, and a caller would get another caller's answer. The end of
            # the stream means that the server has closed the connection.
            if connection.wire.poll() is None:
                return connection
            await connection.wire.close()
        return None

    def has_recent(self, address: str, max_idle: float) -> bool:
        """Return whether a connection is kept that was used within ``max_idle`` s."""
        idle = self._idle.get(address)
        if not idle or time.monotonic() - idle[-1].since > max_idle:
            return False
        return idle[-1].wire.poll() is None

    async def put(self, address: str, conn: h11.Connection, wire: Wire) -> None:
        """Keep a connection if its exchange is complete, otherwise close it."""
        states = (conn.our_state, conn.their_state)
        if states != (h11.DONE, h11.DONE) or conn.trailing_data[0] or self._closed:
            await wire.close()
            return
        conn.start_next_cycle()
        await self._keep(address, conn, wire)

    async def add(self, address: str, conn: h11.Connection, wire: Wire) -> None:
        """Keep a connection that has not been used yet."""
        if self._closed:
            await wire.close()
            return
        await self._keep(address, conn, wire)

    async def _keep(self, address: str, conn: h11.Connection, wire: Wire) -> None:
        idle = self._idle.setdefault(address, deque())
        idle.append(IdleConnection(conn, wire, time.monotonic()))
        if len(idle) > MAX_IDLE_CONNECTIONS:
            await idle.popleft().wire.close()
        await self._prune()

    async def _prune(self) -> None:
        now = time.monotonic()
        if now < self._next_prune:
            return
        self._next_prune = now + PRUNE_INTERVAL
        for address, idle in list(self._idle.items()):
            while idle and now - idle[0].since > self._idle_timeout:
                await idle.popleft().wire.close()
            if not idle:
                del self._idle[address]

    async def close(self) -> None:
        """Close all idle connections; connections put back later are closed too."""
        self._closed = True
        for idle in self._idle.values():
            while idle:
                await idle.popleft().wire.close()
