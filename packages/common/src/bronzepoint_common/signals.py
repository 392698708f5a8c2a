"""Waiting for the signals that end a process."""

import signal
import socket
from types import FrameType
from typing import Self

import curio

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class SignalWaiter:
    """Waits for SIGINT or SIGTERM inside curio.

    Python's handlers run between two bytecodes, so curio, blocked in its selector,
    would not see a flag that they set; the wake-up descriptor makes the selector
    return.
    """

    def __init__(self) -> None:
        near, far = socket.socketpair()
        near.setblocking(False)
        far.setblocking(False)
        self._near = curio.io.Socket(near)
        self._far = far

    async def __aenter__(self) -> Self:
        for number in STOP_SIGNALS:
            signal.signal(number, _ignore)
        signal.set_wakeup_fd(self._far.fileno())
        return self

    async def wait(self) -> None:
        """Return when a signal has come."""
        await self._near.recv(1)

    async def __aexit__(self, *error: object) -> None:
        signal.set_wakeup_fd(-1)
        await self._near.close()
        self._far.close()


def _ignore(number: int, frame: FrameType | None) -> None:
    """Let the wake-up descriptor tell of the signal."""
