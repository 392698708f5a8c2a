"""Tests of tasks that outlive unexpected errors."""

import unittest
from unittest import mock

import curio
from logbook import TestHandler as LogCapture
from nose2.tools import params

from bronzepoint_common import background
from bronzepoint_common.background import keep_running, spawn_background
from bronzepoint_node.core import TargetReader
from bronzepoint_node.core import _target_reader as target_reader

MAX_WAIT = 10.0
"""Seconds after which a task counts as ended."""


class Failing:
    """Work that fails a number of times before it returns or goes on."""

    def __init__(self, failures, goes_on=False):
        self.runs = 0
        self._failures = failures
        self._goes_on = goes_on

    async def work(self):
        self.runs += 1
        if self.runs <= self._failures:
            raise RuntimeError(f"error {self.runs}")
        while self._goes_on:
            await curio.sleep(1.0)


@mock.patch.object(background, "RESTART_MIN", 0.001)
class TestKeepRunning(unittest.TestCase):
    @params(0, 1, 3)
    def test_work_is_restarted_after_each_error(self, failures):
        """Guards against a service that is gone for good after one error."""
        failing = Failing(failures)
        with LogCapture() as log:
            curio.run(keep_running, failing.work)
        self.assertEqual(failing.runs, failures + 1)
        errors = [r for r in log.records if r.message == "background task failed"]
        self.assertEqual(len(errors), failures)
        for record in errors:
            self.assertIn("Failing.work", record.kwargs["task"])

    def test_pause_grows_up_to_a_limit(self):
        """Guards against a task that fills the log by failing at once each time."""
        failing = Failing(8)
        with (
            LogCapture() as log,
            mock.patch.object(background, "RESTART_MAX", 0.004),
        ):
            curio.run(keep_running, failing.work)
        pauses = [record.kwargs["restart_seconds"] for record in log.records]
        self.assertEqual(pauses, [0.001, 0.002] + [0.004] * 6)

    @params(0, 2)
    def test_cancelled_task_is_not_restarted(self, failures):
        """Guards against a service that goes on after its owner has closed it."""
        failing = Failing(failures, goes_on=True)

        async def main():
            task = await spawn_background(failing.work)
            while failing.runs <= failures:
                await curio.sleep(0.001)
            await task.cancel()
            return task.terminated

        self.assertTrue(curio.run(main))
        self.assertEqual(failing.runs, failures + 1)


class TestServices(unittest.TestCase):
    @mock.patch.object(target_reader, "READ_INTERVAL", 0.01)
    def test_list_is_read_again_after_an_unexpected_error(self):
        """Guards against a core host that keeps a list for good after one bad page."""
        reads = []

        async def read():
            reads.append(None)
            if len(reads) == 1:
                raise RecursionError("too many levels")
            return []

        async def main():
            reader = TargetReader(read, {}.get)
            await reader.start()
            async with curio.ignore_after(MAX_WAIT):
                while reader.newest() is None:
                    await curio.sleep(0.01)
            await reader.close()
            return reader.newest()

        self.assertIsNotNone(curio.run(main))


if __name__ == "__main__":
    unittest.main()
