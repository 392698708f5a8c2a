"""Monitors the lag of the event loop."""

import time

import curio

from bronzepoint_common.background import spawn_background
from bronzepoint_common.clock import monotonic
from bronzepoint_common.lag import Lag
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics

INTERVAL = 0.2
"""Seconds between two measurements."""
MIN_LOGGED_DELAY = 0.25
"""Seconds by which a measurement must be late to be logged."""
MIN_LOG_INTERVAL = 1.0
"""Minimum seconds between two such log lines."""

_log = get_logger("loop")


class LoopLagMonitor:
    """Measures how late a periodic timer of this process fires.

    The processor time used in the meantime shows the cause: it is close to the delay
    if a task didn't yield, and small if the process itself wasn't scheduled. What
    counts as overload follows from both.

    Args:
        metrics: Records the delays as ``loop.late_ms``.

    Attributes:
        lag: Whether the process is overloaded.
    """

    def __init__(self, metrics: Metrics) -> None:
        self.lag = Lag()
        self._metrics = metrics
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start measuring."""
        self._task = await spawn_background(self._run)

    async def close(self) -> None:
        """Stop measuring."""
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
            cpu_seconds = time.process_time() - used
            self._metrics.timing("loop.late_ms", late * 1000)
            if self.lag.record(late, now, cpu_seconds):
                message = "lags" if self.lag.is_lagging else "lags no more"
                _log.warning(message, average=round(self.lag.seconds, 3))
            if late < MIN_LOGGED_DELAY or now < next_line_at:
                continue
            next_line_at = now + MIN_LOG_INTERVAL
            _log.warning(
                "event loop late",
                seconds=round(late, 3),
                cpu_seconds=round(cpu_seconds, 3),
                counted=round(self.lag.counted, 3),
            )


__all__ = ["LoopLagMonitor"]
