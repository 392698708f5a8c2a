"""Detects answers that have stalled."""

import time

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.http._answer import ClientAnswer

INTERVAL = 0.25
"""Seconds between two checks, and the maximum delay of a timeout."""


class StallMonitor:
    """Checks all answers in progress periodically for timeouts.

    A timer for each read costs as much as parsing a streamed event. Checking all
    answers at an interval costs almost nothing, and these timeouts need no better
    precision.
    """

    def __init__(self) -> None:
        self._answers: set[ClientAnswer] = set()
        self._task: curio.Task | None = None

    async def add(self, answer: ClientAnswer) -> None:
        """Start monitoring an answer."""
        self._answers.add(answer)
        if self._task is None:
            self._task = await spawn_background(self._run)

    def remove(self, answer: ClientAnswer) -> None:
        """Stop monitoring an answer."""
        self._answers.discard(answer)

    async def close(self) -> None:
        """Stop monitoring all answers."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        while True:
            await curio.sleep(INTERVAL)
            now = time.monotonic()
            for answer in self._answers:
                answer.shut_if_stalled(now)
