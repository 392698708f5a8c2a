"""A bound on what a process holds for its clients together, on all its servers."""

import os
import resource
import sys
from collections.abc import Callable

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http._errors import MemoryExhausted
from bronzepoint_common.logs import get_logger

CONNECTION_BYTES = 24 << 10
"""Bytes that an open connection takes besides what it has received."""
MEMORY_SHARE = 0.2
"""Share of the machine's memory that is held for clients."""
RESERVED_DESCRIPTORS = 200
"""Descriptors that aren't available for connections."""
DESCRIPTOR_SHARE = 0.6
"""Share of the other descriptors for clients; the rest is for targets and hosts."""
STALL_TIME = 1.0
"""Seconds without progress after which an incomplete request or answer is stalled."""
LOG_INTERVAL = 5.0
"""Minimum seconds between two log lines about closed connections."""

_log = get_logger("http")


class ClientMemory:
    """Shares the memory for requests and unread answers between all connections.

    If there is no room, connections that wait for their client are closed: stalled ones
    first, of these the one that holds most, and of equal ones the one without progress
    for longest. So ordinary requests, which are small and soon complete, are served
    beside clients that send large ones and don't end them. Requests that are being
    worked on stay.

    Args:
        max_bytes: Maximum bytes held for all connections.
        max_connections: Maximum number of open connections.

    Attributes:
        held: Bytes held.
        closed: Number of connections that were closed to make room.
    """

    def __init__(self, max_bytes: int, max_connections: int) -> None:
        self.held = 0
        self.closed = 0
        self._max_bytes = max_bytes
        self._max_connections = max_connections
        self._shares: set[ConnectionShare] = set()
        self._logged_at = float("-inf")
        self._logged_count = 0

    def open(self, close: Callable[[], None]) -> "ConnectionShare | None":
        """Admit a connection; return None if all others are at work.

        Args:
            close: Closes the connection to make room for others.
        """
        if len(self._shares) >= self._max_connections and not self._close_one(None):
            return None
        share = ConnectionShare(self, close)
        if not self.make_room(CONNECTION_BYTES, share):
            return None
        self._shares.add(share)
        share.held = CONNECTION_BYTES
        self.held += CONNECTION_BYTES
        return share

    def make_room(self, size: int, share: "ConnectionShare") -> bool:
        """Return whether a connection may hold so many more bytes."""
        while self.held + size > self._max_bytes:
            if not self._close_one(share, size):
                return False
        return True

    def remove(self, share: "ConnectionShare") -> None:
        """Forget a connection that is closed, and what it holds."""
        if share in self._shares:
            self._shares.remove(share)
            self.held -= share.held
            share.held = 0
            share.closed = True

    def _close_one(self, asking: "ConnectionShare | None", size: int = 0) -> bool:
        """Close the connection that gives way; return False if it is the asking one."""
        waiting = [s for s in self._shares if not s.at_work and s is not asking]
        if not waiting:
            return False
        stalled_since = monotonic() - STALL_TIME
        found = max(
            waiting,
            key=lambda s: (s.is_stalled(stalled_since), s.held, -s.progress_at),
        )
        is_larger = asking is not None and asking.held + size > found.held
        if is_larger and not found.is_stalled(stalled_since):
            return False
        self.remove(found)
        self.closed += 1
        self._log_closed()
        found.close()
        return True

    def _log_closed(self) -> None:
        if monotonic() - self._logged_at < LOG_INTERVAL:
            return
        self._logged_at = monotonic()
        _log.warning(
            "connections closed to make room",
            count=self.closed - self._logged_count,
            held_bytes=self.held,
            max_bytes=self._max_bytes,
            connections=len(self._shares),
            max_connections=self._max_connections,
        )
        self._logged_count = self.closed


class ConnectionShare:
    """What one connection holds of the memory.

    Attributes:
        held: Bytes held.
        progress_at: Monotonic seconds at which its client last sent or read something.
        at_work: Whether a whole request is being worked on.
        closed: Whether the connection was closed or had to give way; it holds nothing
            any more.
        close: Closes the connection.
    """

    def __init__(self, memory: ClientMemory, close: Callable[[], None]) -> None:
        self.held = 0
        self.progress_at = monotonic()
        self.at_work = False
        self.closed = False
        self.close = close
        self._memory = memory

    def resize(self, size: int) -> None:
        """Hold so many bytes of requests and answers.

        Raises:
            MemoryExhausted: There is no room for more, as other connections hold less
                or are being worked on, or this one had to give way.
        """
        if self.closed:
            raise MemoryExhausted()
        self.progress_at = monotonic()
        change = CONNECTION_BYTES + size - self.held
        if change > 0 and not self._memory.make_room(change, self):
            raise MemoryExhausted()
        self.held += change
        self._memory.held += change

    def is_stalled(self, since: float) -> bool:
        """Return whether a request or answer has made no progress since then."""
        return self.held > CONNECTION_BYTES and self.progress_at < since

    def end(self) -> None:
        """Give everything back; the connection is closed."""
        self._memory.remove(self)


def client_memory(
    memory_bytes: float = 0, max_descriptors: int = 0, max_bytes: int = 0
) -> ClientMemory:
    """Return the bound for a machine.

    Args:
        memory_bytes: Memory of the machine; 0: as the system says.
        max_descriptors: Descriptors of the process; 0: as the system says.
        max_bytes: Bytes to hold for clients; 0: a share of the memory.
    """
    if not memory_bytes:
        memory_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    if not max_descriptors:
        max_descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if max_descriptors == resource.RLIM_INFINITY:
            max_descriptors = sys.maxsize
    available = max(1, max_descriptors - RESERVED_DESCRIPTORS)
    return ClientMemory(
        max_bytes or int(MEMORY_SHARE * memory_bytes),
        max(1, int(DESCRIPTOR_SHARE * available)),
    )


def unlimited_memory() -> ClientMemory:
    """Return a bound that nothing reaches, for servers whose clients are trusted."""
    return ClientMemory(sys.maxsize, sys.maxsize)


__all__ = ["ClientMemory", "ConnectionShare", "client_memory", "unlimited_memory"]
