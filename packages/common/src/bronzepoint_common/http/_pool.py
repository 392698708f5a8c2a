"""Kept connections to servers."""

import math
import time
from collections import deque

import h11
from msgspec import Struct

from bronzepoint_common.http._wire import Wire

MAX_KEPT = 64
"""Kept connections to one address; more would only hold descriptors."""
PRUNE_INTERVAL = 5.0
"""Seconds between two looks for connections that were kept too long."""


class KeptConnection(Struct):
    """A connection on which all exchanges so far were whole on both sides."""

    conn: h11.Connection
    wire: Wire
    since: float


class ConnectionPool:
    """Keeps idle connections by address; the one used last is reused first.

    Args:
        keep_time: Seconds after which an idle connection is closed.
    """

    def __init__(self, keep_time: float) -> None:
        self._keep_time = keep_time
        self._kept: dict[str, deque[KeptConnection]] = {}
        self._next_prune = time.monotonic() + PRUNE_INTERVAL
        self._closed = False

    async def take(
        self, address: str, max_idle: float = math.inf
    ) -> KeptConnection | None:
        """Take a connection that was idle for ``max_idle`` seconds at most."""
        kept = self._kept.get(address)
        while kept:
            if time.monotonic() - kept[-1].since > max_idle:
                return None
            connection = kept.pop()
            # Bytes on an idle connection belong to no request of ours: a late
            # or second answer. Reused, it would be taken for the answer to the
            # next request, and a caller would get another caller's answer.
            # The end of the stream means that the server has closed it.
            if connection.wire.poll() is None:
                return connection
            await connection.wire.close()
        return None

    async def put(self, address: str, conn: h11.Connection, wire: Wire) -> None:
        """Keep a connection whose exchange is whole; closes it where it isn't."""
        states = (conn.our_state, conn.their_state)
        if states != (h11.DONE, h11.DONE) or conn.trailing_data[0] or self._closed:
            await wire.close()
            return
        conn.start_next_cycle()
        kept = self._kept.setdefault(address, deque())
        kept.append(KeptConnection(conn, wire, time.monotonic()))
        if len(kept) > MAX_KEPT:
            await kept.popleft().wire.close()
        await self._prune()

    async def _prune(self) -> None:
        now = time.monotonic()
        if now < self._next_prune:
            return
        self._next_prune = now + PRUNE_INTERVAL
        for address, kept in list(self._kept.items()):
            while kept and now - kept[0].since > self._keep_time:
                await kept.popleft().wire.close()
            if not kept:
                del self._kept[address]

    async def close(self) -> None:
        """Close all kept connections; later ones are closed when put back."""
        self._closed = True
        for kept in self._kept.values():
            while kept:
                await kept.popleft().wire.close()
