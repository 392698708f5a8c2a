"""Closes deployments when the harness process exits."""

import atexit
import signal
import threading
from collections.abc import Callable
from types import FrameType

SIGNAL_STATUS_BASE = 128
"""Added to a signal's number to give the exit status."""
_CLOSE_CALLBACKS: list[Callable[[], None]] = []


def register(close: Callable[[], None]) -> None:
    """Call ``close`` when this process exits, until it is unregistered.

    By default, SIGTERM ends a Python process without any clean-up. The handler raises
    SystemExit instead, so that context managers run. After SIGKILL, the children end
    by the parent-death signal that the kernel sends them.
    """
    if not _CLOSE_CALLBACKS:
        atexit.register(_close_all)
        _exit_on_sigterm()
    _CLOSE_CALLBACKS.append(close)


def unregister(close: Callable[[], None]) -> None:
    """Remove a callback added by ``register``."""
    if close in _CLOSE_CALLBACKS:
        _CLOSE_CALLBACKS.remove(close)


def _close_all() -> None:
    for close in list(_CLOSE_CALLBACKS):
        close()


def _exit_on_sigterm() -> None:
    if threading.current_thread() is not threading.main_thread():
        return
    if signal.getsignal(signal.SIGTERM) is signal.SIG_DFL:
        signal.signal(signal.SIGTERM, _exit)


def _exit(number: int, frame: FrameType | None) -> None:
    raise SystemExit(SIGNAL_STATUS_BASE + number)
