"""Framing on TCP connections: a length of four bytes, then the frame."""

import socket

import curio
from curio.traps import _write_wait

from bronzepoint_common.peers._errors import FrameRejected
from bronzepoint_common.settings import split_address

MAX_FRAME_BYTES = 64 * 1024 * 1024
MAX_FIRST_FRAME_BYTES = 64 * 1024
"""Maximum bytes of the first frame of a connection, before its sender has proved that
it has the cluster key."""
_LENGTH_BYTES = 4
_USER_TIMEOUT_MS = 2500
"""Milliseconds for which sent data may stay unacknowledged before the kernel closes the
connection."""
_KEEPALIVE_IDLE = 10
"""Seconds without data before the first keepalive probe."""
_KEEPALIVE_INTERVAL = 5
"""Seconds between two keepalive probes."""
_KEEPALIVE_PROBES = 3
"""Unanswered keepalive probes after which the connection is closed."""


def family(host: str) -> socket.AddressFamily:
    """Return the address family of an IP address."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def frame_head(frame: bytes) -> bytes:
    """Return the length prefix of a frame."""
    return len(frame).to_bytes(_LENGTH_BYTES)


class FrameBuffer:
    """Splits the data received on a connection into frames.

    Attributes:
        max_bytes: Maximum bytes of a frame, since a sender determines by the length
            prefix how much data is buffered.
        last_read: Bytes that were added last.
    """

    def __init__(self) -> None:
        self.max_bytes = MAX_FIRST_FRAME_BYTES
        self.last_read = 0
        self._data = bytearray()

    def feed(self, data: bytes) -> None:
        """Add received data."""
        self._data += data
        self.last_read = len(data)

    def next_frame(self) -> bytes | None:
        """Return the next complete frame; None: there is none yet.

        Raises:
            FrameRejected: The frame is longer than max_bytes.
        """
        if len(self._data) < _LENGTH_BYTES:
            return None
        length = int.from_bytes(self._data[:_LENGTH_BYTES])
        if length > self.max_bytes:
            raise FrameRejected("length")
        end = _LENGTH_BYTES + length
        if len(self._data) < end:
            return None
        frame = bytes(self._data[_LENGTH_BYTES:end])
        del self._data[:end]
        return frame


async def connect(address: str, timeout: float) -> socket.socket | None:
    """Connect to ``host:port``; return None if that fails or times out (seconds)."""
    host, port = split_address(address)
    try:
        sock = socket.socket(family(host))
    except OSError:  # too many open files
        return None
    sock.setblocking(False)
    try:
        async with curio.ignore_after(timeout):
            await _connect(sock, (host, port))
            set_options(sock)
            return sock
    except OSError:
        pass
    except BaseException:
        sock.close()
        raise
    sock.close()
    return None


async def _connect(sock: socket.socket, address: tuple[str, int]) -> None:
    try:
        sock.connect(address)
    except BlockingIOError:
        await _write_wait(sock)
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error:
        raise OSError(error, "connection failed")


def set_options(sock: socket.socket) -> None:
    """Set the socket options of connections between hosts.

    During a network partition TCP doubles its retransmission timeout up to two minutes,
    and control messages would be delayed by that much after the partition has ended.
    Closing the connection early and connecting again restores them within a second.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
