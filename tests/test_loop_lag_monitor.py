"""A blocked event loop is reported in the log and in the metrics."""

import time
import unittest

import curio
import logbook
from nose2.tools import params

from bronzepoint_common.loop_lag_monitor import (
    INTERVAL,
    MIN_LOGGED_DELAY,
    LoopLagMonitor,
)
from bronzepoint_common.metrics import Metrics

BLOCK_TIME = 2 * (INTERVAL + MIN_LOGGED_DELAY)
"""Seconds for which the event loop is blocked."""


def block_asleep():
    time.sleep(BLOCK_TIME)


def block_busy():
    end = time.process_time() + BLOCK_TIME
    while time.process_time() < end:
        pass


def watch(block):
    """Block a loop once.

    Returns:
        Log lines of late timers, the maximum delay in ms, and whether it lagged.
    """

    async def main():
        metrics = Metrics()
        loop_lag_monitor = LoopLagMonitor(metrics)
        await loop_lag_monitor.start()
        await curio.sleep(0.01)
        block()
        await curio.sleep(0.01)
        await loop_lag_monitor.close()
        longest = metrics.percentiles()["loop.late_ms.max"]
        return longest, loop_lag_monitor.lag.is_lagging

    with logbook.TestHandler() as handler:
        longest, is_lagging = curio.run(main)
    lines = [r.kwargs for r in handler.records if r.message == "event loop late"]
    return lines, longest, is_lagging


class TestLoopLagMonitor(unittest.TestCase):
    @params((block_asleep, False), (block_busy, True))
    def test_line_shows_whether_the_process_itself_was_busy(self, block, busy):
        (line,), longest, is_lagging = watch(block)
        self.assertGreaterEqual(longest, MIN_LOGGED_DELAY * 1000)
        self.assertGreaterEqual(line["seconds"], MIN_LOGGED_DELAY)
        self.assertEqual(line["cpu_seconds"] >= BLOCK_TIME, busy)
        # Only a loop held up by its own work is overloaded after a single delay.
        self.assertEqual(line["counted"] >= MIN_LOGGED_DELAY, busy)
        self.assertIs(is_lagging, busy)


if __name__ == "__main__":
    unittest.main()
