"""An event loop that stands still shows in the log and in the metrics."""

import time
import unittest

import curio
import logbook
from nose2.tools import params

from bronzepoint_common.loop_watch import INTERVAL, LATE, LoopWatch
from bronzepoint_common.metrics import Metrics

HELD_UP = 2 * (INTERVAL + LATE)
"""Seconds for which the loop gets no turn."""


def sleep_on():
    time.sleep(HELD_UP)


def compute_on():
    end = time.process_time() + HELD_UP
    while time.process_time() < end:
        pass


def watch(block):
    """Return the lines and the longest delay of a loop that is blocked once."""

    async def main():
        metrics = Metrics()
        loop_watch = LoopWatch(metrics)
        await loop_watch.start()
        await curio.sleep(0.01)
        block()
        await curio.sleep(0.01)
        await loop_watch.close()
        return metrics.percentiles()["loop.late_ms.max"]

    with logbook.TestHandler() as handler:
        longest = curio.run(main)
    lines = [r.kwargs for r in handler.records if r.message == "event loop late"]
    return lines, longest


class TestLoopWatch(unittest.TestCase):
    @params((sleep_on, False), (compute_on, True))
    def test_line_tells_whether_the_process_itself_was_busy(self, block, busy):
        (line,), longest = watch(block)
        self.assertGreaterEqual(longest, LATE * 1000)
        self.assertGreaterEqual(line["seconds"], LATE)
        self.assertEqual(line["cpu_seconds"] >= HELD_UP, busy)


if __name__ == "__main__":
    unittest.main()
