"""Background tasks, cancelled when their owner closes."""

from collections.abc import Awaitable, Callable
from typing import Any

import curio


class BackgroundTasks:
    """Runs tasks that are not joined.

    A curio task group would keep a reference to every task that has ended.
    """

    def __init__(self) -> None:
        self._tasks: set[curio.Task] = set()

    async def spawn(self, work: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Start a task."""
        self._tasks.add(await curio.spawn(self._run, work, args, daemon=True))

    async def close(self) -> None:
        """Cancel the tasks that still run."""
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
