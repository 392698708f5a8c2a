"""Waits for the signals that stop a process."""

import signal
import socket
from collections.abc import Sequence
from types import FrameType
from typing import Self

import curio

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class SignalWaiter:
    """Waits for signals, SIGINT and SIGTERM by default, inside curio.

    Python runs signal handlers between two bytecodes, so curio, blocked in its
    selector, wouldn't notice a flag that they set; the wake-up descriptor makes the
    selector return.
    """

    def __init__(self, signals: Sequence[signal.Signals] = STOP_SIGNALS) -> None:
        self._signals = signals
        read_end, write_end = socket.socketpair()
        read_end.setblocking(False)
        write_end.setblocking(False)
        self._read_end = curio.io.Socket(read_end)
        self._write_end = write_end

    async def __aenter__(self) -> Self:
        for number in self._signals:
            signal.signal(number, _ignore)
        signal.set_wakeup_fd(self._write_end.fileno())
        return self

    async def wait(self) -> signal.Signals:
        """Wait for the next signal and return it."""
        return signal.Signals((await self._read_end.recv(1))[0])

    async def __aexit__(self, *error: object) -> None:
        signal.set_wakeup_fd(-1)
        await self._read_end.close()
        self._write_end.close()


def _ignore(number: int, frame: FrameType | None) -> None:
    """Do nothing: the wake-up descriptor reports the signal."""
