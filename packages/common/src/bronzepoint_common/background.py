"""Tasks that serve for the life of their owner and outlive unexpected errors."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio
import logbook

from bronzepoint_common.clock import monotonic

RESTART_MIN = 0.05
"""Seconds before the first restart of a task; doubles with each further one."""
RESTART_MAX = 2.0
"""Maximum seconds before a restart."""
STABLE_TIME = 10.0
"""Seconds without an error after which the next restart is the first one again."""

Work = Callable[..., Awaitable[None]]

# `get_logger` is out of reach: its module imports that of the metrics, which imports
# this one.
_log = logbook.Logger("tasks")


async def spawn_background(work: Work, *args: Any) -> curio.Task:
    """Spawn a daemon task with `keep_running`; its owner cancels it."""
    return await curio.spawn(keep_running, work, *args, daemon=True)


async def keep_running(work: Work, *args: Any) -> None:
    """Run ``work`` until it returns, and again after an unexpected error.

    An error that ends the only task of a service is otherwise seen by nobody: the
    process stays alive and ready, but the service is gone until its next restart.
    """
    pause = RESTART_MIN
    while True:
        began = monotonic()
        try:
            await work(*args)
            return
        except Exception:
            if monotonic() - began > STABLE_TIME:
                pause = RESTART_MIN
            _log.exception(
                "background task failed",
                task=getattr(work, "__qualname__", repr(work)),
                restart_seconds=pause,
            )
        await curio.sleep(pause)
        pause = min(2 * pause, RESTART_MAX)


__all__ = ["keep_running", "spawn_background"]
