"""Detects that this process has resumed after it didn't run for a while."""

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.clock import monotonic

INTERVAL = 0.1
"""Seconds between two readings of the clock."""


class PauseDetector:
    """Tells messages that may have waited for this process from new ones.

    What arrives while a process doesn't run is read as soon as it resumes, and nothing
    in it shows how long it has waited.

    Args:
        min_pause: Seconds between two readings above which the process has paused.
        catch_up: Seconds after a pause in which messages from before are read.
    """

    def __init__(self, min_pause: float, catch_up: float) -> None:
        self._min_pause = min_pause
        self._catch_up = catch_up
        self._read_at = monotonic()
        self._resumed_at = float("-inf")
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start reading the clock."""
        self._read_at = monotonic()
        self._task = await spawn_background(self._run)

    async def close(self) -> None:
        """Stop reading the clock."""
        if self._task is not None:
            await self._task.cancel()

    def has_just_resumed(self) -> bool:
        """Return whether a message read now may be from before a pause."""
        now = monotonic()
        if now - self._read_at > self._min_pause:
            self._resumed_at = now
        self._read_at = now
        return now - self._resumed_at < self._catch_up

    async def _run(self) -> None:
        while True:
            self.has_just_resumed()
            await curio.sleep(INTERVAL)


__all__ = ["PauseDetector"]
