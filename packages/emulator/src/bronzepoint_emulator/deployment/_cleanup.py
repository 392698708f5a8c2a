"""Ends deployments however the harness ends."""

import atexit
import signal
import threading
from collections.abc import Callable
from types import FrameType

SIGNAL_STATUS = 128
_OPEN: list[Callable[[], None]] = []


def watch(close: Callable[[], None]) -> None:
    """Call ``close`` when this process ends, unless ``forget`` comes first.

    SIGTERM ends a Python process without any clean-up; it becomes SystemExit here, so
    that context managers run. SIGKILL leaves the kernel's death signal to the
    children.
    """
    if not _OPEN:
        atexit.register(_close_all)
        _turn_sigterm_into_exit()
    _OPEN.append(close)


def forget(close: Callable[[], None]) -> None:
    """Drop what ``watch`` was told."""
    if close in _OPEN:
        _OPEN.remove(close)


def _close_all() -> None:
    for close in list(_OPEN):
        close()


def _turn_sigterm_into_exit() -> None:
    if threading.current_thread() is not threading.main_thread():
        return
    if signal.getsignal(signal.SIGTERM) is signal.SIG_DFL:
        signal.signal(signal.SIGTERM, _exit)


def _exit(number: int, frame: FrameType | None) -> None:
    raise SystemExit(SIGNAL_STATUS + number)
