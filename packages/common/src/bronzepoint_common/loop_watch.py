"""Watches how late the event loop runs."""

import time

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.lag import Lag
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics

INTERVAL = 0.2
"""Seconds between two looks."""
LATE = 0.25
"""Seconds by which a look must be late for a line in the log,"""
LINE_INTERVAL = 1.0
"""and least seconds between two such lines."""

_log = get_logger("loop")


class LoopWatch:
    """Measures by how much a timer of this process fires late.

    The processor time that was used meanwhile tells why: about as much as the delay
    where a task didn't give way, little where the process was held up from outside.

    Args:
        metrics: Where the delays are counted, as ``loop.late_ms``.

    Attributes:
        lag: Whether the process keeps up.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.lag = Lag()
        self._metrics = metrics
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Begin to look."""
        self._task = await curio.spawn(self._run, daemon=True)

    async def close(self) -> None:
        """Stop looking."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None

    async def _run(self) -> None:
        next_line_at = monotonic()
        while True:
            began, used = monotonic(), time.process_time()
            await curio.sleep(INTERVAL)
            now = monotonic()
            late = now - began - INTERVAL
            self._metrics.timing("loop.late_ms", late * 1000)
            if self.lag.note(late, now):
                message = "lags" if self.lag.is_lagging else "lags no more"
                _log.warning(message, average=round(self.lag.seconds, 3))
            if late < LATE or now < next_line_at:
                continue
            next_line_at = now + LINE_INTERVAL
            _log.warning(
                "event loop late",
                seconds=round(late, 3),
                cpu_seconds=round(time.process_time() - used, 3),
            )


__all__ = ["LoopWatch"]
