"""Polling for observable states, instead of sleeping for fixed times."""

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
MAX_WAIT = 30.0
"""Seconds to wait for a state, by default."""
POLL = 0.05
"""Seconds between two polls."""
RETRIED_ERRORS = (
    OSError,
    http.client.HTTPException,
    DeploymentError,
    ValueError,
    KeyError,
)
"""Errors of a condition that count as not reached yet."""


def wait_until(
    condition: Callable[[], T],
    what: str,
    timeout: float = MAX_WAIT,
) -> T:
    """Poll until the condition returns a true value.

    A condition that raises a connection error or fails to parse an answer counts as
    not reached yet.

    Args:
        condition: Function to poll.
        what: Description of the state, for the error message.
        timeout: Seconds to wait. The default is generous, since it only affects how
            long a failing test takes.

    Returns:
        The value that the condition returned.

    Raises:
        NotReached: The timeout passed; the message has the last value or error.
        ProcessEnded: The condition raised it; passed on immediately.
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
        except RETRIED_ERRORS as exc:
            last = repr(exc)
        if time.monotonic() > deadline:
            raise NotReached(what, timeout, last)
        time.sleep(POLL)
