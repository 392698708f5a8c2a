"""SIGTERM and SIGINT as something a task can wait for."""

import signal
import socket

from curio.traps import _read_wait

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignals:
    """Turns the signals that ask for an end into awaitable events.

    The interpreter writes a byte to a socket for each signal. A handler that touched
    curio's own primitives would run between any two steps of the kernel, which they do
    not allow for; a readable socket is an event like any other.
    """

    def __init__(self) -> None:
        self._reader, self._writer = socket.socketpair()
        self._reader.setblocking(False)
        self._writer.setblocking(False)

    def start(self) -> None:
        """Take over the signals; call it from the main thread."""
        signal.set_wakeup_fd(self._writer.fileno())
        for number in STOP_SIGNALS:
            signal.signal(number, _ignore)

    def close(self) -> None:
        """Give the signals back to their defaults."""
        for number in STOP_SIGNALS:
            signal.signal(number, signal.SIG_DFL)
        signal.set_wakeup_fd(-1)
        self._reader.close()
        self._writer.close()

    async def wait(self) -> None:
        """Return once for each signal that came."""
        while True:
            await _read_wait(self._reader)
            if self._reader.recv(1):
                return


def _ignore(number: int, frame: object) -> None:
    """Do nothing: the byte on the socket is what counts."""
