"""Loopback ports, reserved across the processes of this machine."""

import fcntl
import os
import random
import socket
import tempfile
from pathlib import Path

LOOPBACK = "127.0.0.1"
# Ports are below the kernel's ephemeral range. Otherwise an outgoing connection could
# get a picked port as its source port before the daemon binds it, and the daemon would
# occasionally fail to start with "address in use".
FIRST_PORT = 10000
LAST_PORT = 32000
BLOCK_SIZE = 250
"""Number of ports in a block."""


class PortBlock:
    """A block of ports, reserved by a file lock until it is closed.

    Test processes pick ports concurrently. If each bound a port, closed it and passed
    on its number, two of them could pick the same one. The lock prevents that, and the
    kernel releases it when its holder dies.
    """

    def __init__(self) -> None:
        self._lock = -1
        self._ports: list[int] = []

    def start(self) -> None:
        """Lock an unused block.

        Raises:
            RuntimeError: All blocks are locked by other deployments.
        """
        folder = Path(tempfile.gettempdir()) / f"bronzepoint-ports-{os.getuid()}"
        folder.mkdir(exist_ok=True)
        blocks = list(range(FIRST_PORT, LAST_PORT - BLOCK_SIZE, BLOCK_SIZE))
        random.shuffle(blocks)
        for first in blocks:
            if self._try_lock(folder / str(first)):
                self._ports = list(range(first, first + BLOCK_SIZE))
                return
        raise RuntimeError("No free block of ports: stop other deployments first.")

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
        raise RuntimeError("The block of ports is exhausted: increase BLOCK_SIZE.")

    def close(self) -> None:
        """Release the block."""
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
