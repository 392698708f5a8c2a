"""Waiting for the signals that end a process."""

import signal
import socket
from collections.abc import Sequence
from types import FrameType
from typing import Self

import curio

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class SignalWaiter:
    """Waits for signals, SIGINT and SIGTERM by default, inside curio.

    Python's handlers run between two bytecodes, so curio, blocked in its selector,
    would not see a flag that they set; the wake-up descriptor makes the selector
    return.
    """

    def __init__(self, signals: Sequence[signal.Signals] = STOP_SIGNALS) -> None:
        self._signals = signals
        near, far = socket.socketpair()
        near.setblocking(False)
        far.setblocking(False)
        self._near = curio.io.Socket(near)
        self._far = far

    async def __aenter__(self) -> Self:
        for number in self._signals:
            signal.signal(number, _ignore)
        signal.set_wakeup_fd(self._far.fileno())
        return self

    async def wait(self) -> signal.Signals:
        """Return the next signal that has come."""
        return signal.Signals((await self._near.recv(1))[0])

    async def __aexit__(self, *error: object) -> None:
        signal.set_wakeup_fd(-1)
        await self._near.close()
        self._far.close()


def _ignore(number: int, frame: FrameType | None) -> None:
    """Let the wake-up descriptor tell of the signal."""
