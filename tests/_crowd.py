"""Clients that send far more than they should, and leave their connections open."""

import socket
from itertools import repeat

SEND_TIMEOUT = 1.0
"""Seconds after which a connection whose data isn't read is left as it is."""
RECEIVE_BUFFER = 4096
"""Bytes of an answer that the kernel keeps for a client."""
LARGE_CHUNK = b"10000\r\n" + bytes(0x10000) + b"\r\n"
"""A chunk of 64 KB."""
SMALL_CHUNKS = b"1\r\nx\r\n" * 0x2000
"""Chunks of one byte."""


def head(method, path, *lines):
    """Return the head of a request with further header lines."""
    listed = (
        f"{method} {path} HTTP/1.1",
        "Host: h.example",
        "X-Bronzepoint-Request-Id: crowd",
        "X-Bronzepoint-Deadline-Ms: 60000",
        *lines,
    )
    return "\r\n".join([*listed, "", ""]).encode()


def chunked(method, path, chunk, count):
    """Return the parts of a chunked request that isn't ended."""
    return [head(method, path, "Transfer-Encoding: chunked"), *repeat(chunk, count)]


def announced(method, path, size, sent):
    """Return the parts of a request whose announced body is sent in part."""
    parts = repeat(bytes(0x10000), sent // 0x10000)
    return [head(method, path, f"Content-Length: {size}"), *parts]


def open_head(size):
    """Return the parts of a head that isn't ended."""
    return [b"GET / HTTP/1.1\r\nHost: h.example\r\nX-Filler: " + b"x" * size]


class Crowd:
    """Connections that each send the same and stay open.

    Args:
        address: Host and port.
        count: Number of connections.
    """

    def __init__(self, address, count):
        self._address = address
        self._count = count
        self._socks = []

    def send(self, parts):
        """Connect and send the parts on each connection, as far as they are read."""
        for _ in range(self._count):
            try:
                sock = self._connect()
            except OSError:
                continue
            try:
                for part in parts:
                    sock.sendall(part)
            except OSError:
                continue

    def _connect(self):
        sock = socket.socket()
        self._socks.append(sock)
        sock.settimeout(SEND_TIMEOUT)
        # The kernel takes little of an answer that isn't read.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.connect(self._address)
        return sock

    def close(self):
        """Close all connections."""
        for sock in self._socks:
            sock.close()


__all__ = [
    "Crowd",
    "LARGE_CHUNK",
    "SMALL_CHUNKS",
    "announced",
    "chunked",
    "head",
    "open_head",
]
