"""Tasks that end by themselves or with their owner."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio


class Background:
    """Runs tasks nobody waits for; a curio task group would keep each ended one."""

    def __init__(self) -> None:
        self._tasks: set[curio.Task] = set()

    async def spawn(self, work: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Start a task."""
        self._tasks.add(await curio.spawn(self._run, work, args, daemon=True))

    async def close(self) -> None:
        """Cancel what still runs."""
        for task in list(self._tasks):
            await task.cancel()
        self._tasks.clear()

    async def _run(
        self, work: Callable[..., Awaitable[None]], args: tuple[Any, ...]
    ) -> None:
        try:
            await work(*args)
        finally:
            self._tasks.discard(await curio.current_task())
