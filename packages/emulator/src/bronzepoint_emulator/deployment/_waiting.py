"""Waiting for a state that can be observed, never for a measured time."""

import http.client
import time
from collections.abc import Callable
from typing import TypeVar

from bronzepoint_emulator.deployment._errors import (
    DeploymentError,
    NotReached,
    ProcessEnded,
)

T = TypeVar("T")
PATIENCE = 30.0
POLL = 0.05
NOT_YET = (OSError, http.client.HTTPException, DeploymentError, ValueError, KeyError)


def wait_until(
    condition: Callable[[], T],
    what: str,
    timeout: float = PATIENCE,
) -> T:
    """Poll until the condition gives something true.

    A condition that can't be asked yet (a refused connection, an answer of another
    kind) counts as not reached.

    Args:
        condition: What is polled.
        what: Name of the state, for the error.
        timeout: Seconds after which it is given up; generous, since it decides
            nothing but how long a failing test takes.

    Returns:
        What the condition gave.

    Raises:
        NotReached: With what was seen last.
        ProcessEnded: At once, where the condition checks a process that has ended.
    """
    deadline = time.monotonic() + timeout
    last = "nothing"
    while True:
        try:
            value = condition()
            if value:
                return value
            last = repr(value)
        except ProcessEnded:
            raise
        except NOT_YET as exc:
            last = repr(exc)
        if time.monotonic() > deadline:
            raise NotReached(what, timeout, last)
        time.sleep(POLL)
