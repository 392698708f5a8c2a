"""Frames on TCP connections: a length of four bytes, then the frame."""

import socket

import curio
from curio.traps import _write_wait

from bronzepoint_common.peers._errors import FrameRejected
from bronzepoint_common.settings import split_address

MAX_FRAME_BYTES = 64 * 1024 * 1024
UNPROVED_BYTES = 64 * 1024
"""Bound of a connection's first frame, before its sender has shown the cluster key."""
_LENGTH_BYTES = 4
_USER_TIMEOUT_MS = 2500
"""Time that sent bytes may stay unacknowledged before the connection is given up."""
_KEEPALIVE_IDLE = 10
_KEEPALIVE_INTERVAL = 5
_KEEPALIVE_PROBES = 3


def family(host: str) -> socket.AddressFamily:
    """Return the address family of an IP number."""
    return socket.AF_INET6 if ":" in host else socket.AF_INET


def frame_head(frame: bytes) -> bytes:
    """Return what goes before a frame."""
    return len(frame).to_bytes(_LENGTH_BYTES)


class FrameBuffer:
    """Cuts what comes from a connection into frames.

    Attributes:
        max_bytes: Bound of a frame; whoever writes a length has us keep that much.
    """

    def __init__(self) -> None:
        self.max_bytes = UNPROVED_BYTES
        self._data = bytearray()

    def feed(self, data: bytes) -> None:
        """Take what came."""
        self._data += data

    def next_frame(self) -> bytes | None:
        """Return the next frame that is whole; None: there is none yet.

        Raises:
            FrameRejected: A frame longer than any of ours.
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
    """Return a connection to ``host:port``; None where there is none in time."""
    host, port = split_address(address)
    sock = socket.socket(family(host))
    sock.setblocking(False)
    try:
        async with curio.ignore_after(timeout):
            await _connect(sock, (host, port))
            prepare(sock)
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


def prepare(sock: socket.socket) -> None:
    """Set the options that every connection between hosts needs.

    After a silent cut TCP doubles the time between its own retries up to two minutes,
    and control messages would stay away that long after the cut has healed. Giving the
    connection up early and dialling again brings them back within a second.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
