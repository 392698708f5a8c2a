"""Finds answers of which no further piece comes."""

import time

import curio

from bronzepoint_common.http._answer import ClientAnswer

INTERVAL = 0.25
"""Seconds between two looks; by so much a timeout may come late."""


class StallWatch:
    """Looks at all answers in progress now and then.

    A timer for each read costs as much as parsing a streamed event. One look at all
    answers every quarter of a second costs next to nothing, and these timeouts need
    no better precision.
    """

    def __init__(self) -> None:
        self._answers: set[ClientAnswer] = set()
        self._task: curio.Task | None = None

    async def add(self, answer: ClientAnswer) -> None:
        """Begin to look after an answer."""
        self._answers.add(answer)
        if self._task is None:
            self._task = await curio.spawn(self._run, daemon=True)

    def remove(self, answer: ClientAnswer) -> None:
        """Look after it no more."""
        self._answers.discard(answer)

    async def close(self) -> None:
        """Stop looking."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        while True:
            await curio.sleep(INTERVAL)
            now = time.monotonic()
            for answer in self._answers:
                answer.stall(now)
