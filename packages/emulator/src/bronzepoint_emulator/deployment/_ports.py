"""Loopback ports that no other process of this machine takes in the meantime."""

import fcntl
import os
import random
import socket
import tempfile
from pathlib import Path

LOOPBACK = "127.0.0.1"
# Below the kernel's range for outgoing connections: a port that was free when it was
# picked would otherwise be taken as the source port of someone's connection before
# the daemon binds it, which shows as a rare "address in use" at start.
FIRST_PORT = 10000
LAST_PORT = 32000
BLOCK = 250


class PortBlock:
    """A block of ports held by a file lock for as long as this object is open.

    Several test processes pick ports at once. Binding, closing and handing the number
    on would let two of them pick the same one; the lock on the block excludes that,
    and the kernel drops it when the holder dies.
    """

    def __init__(self) -> None:
        self._lock = -1
        self._ports: list[int] = []

    def start(self) -> None:
        """Lock a free block.

        Raises:
            RuntimeError: All blocks are held; end other deployments first.
        """
        folder = Path(tempfile.gettempdir()) / f"bronzepoint-ports-{os.getuid()}"
        folder.mkdir(exist_ok=True)
        blocks = list(range(FIRST_PORT, LAST_PORT - BLOCK, BLOCK))
        random.shuffle(blocks)
        for first in blocks:
            if self._try_lock(folder / str(first)):
                self._ports = list(range(first, first + BLOCK))
                return
        raise RuntimeError("No free block of ports: end other deployments first.")

    def _try_lock(self, path: Path) -> bool:
        lock = os.open(path, os.O_CREAT | os.O_RDWR | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            return False
        self._lock = lock
        return True

    def address(self) -> str:
        """Return the next free ``host:port`` of the block."""
        while self._ports:
            port = self._ports.pop(0)
            if _can_bind(port):
                return f"{LOOPBACK}:{port}"
        raise RuntimeError("The block of ports is used up: make BLOCK larger.")

    def close(self) -> None:
        """Give the block back."""
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1


def _can_bind(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
