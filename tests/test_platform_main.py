"""How the program of a host on the platform ends on errors."""

import unittest
from types import SimpleNamespace
from unittest import mock

import curio
from logbook import TestHandler as LogCapture
from nose2.tools import params

from bronzepoint_platform import _main
from bronzepoint_platform._settings import Limits


class FakeProgram:
    """A program that starts with an error, or that fails the event loop after it."""

    failure = ""

    def __init__(self, starts):
        self._starts = starts

    async def start(self):
        if not self._starts:
            raise OSError("address in use")
        await curio.spawn(self._use_closed_descriptor, daemon=True)

    async def _use_closed_descriptor(self):
        with open("/dev/null") as file:
            descriptor = file.fileno()
        await curio.traps._read_wait(descriptor)


class TestEnd(unittest.TestCase):
    @params(
        (False, "startup failed", False),
        (True, "ended by an unexpected error", True),
    )
    def test_error_of_the_event_loop_is_no_failed_start(self, starts, message, traced):
        """Guards against a log that blames the start for the end of a process."""
        settings = SimpleNamespace(
            node_name="h",
            ip="127.0.0.1",
            seeds=[],
            bootstrap=False,
            limits=Limits(),
        )
        with (
            LogCapture() as log,
            mock.patch.object(_main, "read_settings", lambda: settings),
            mock.patch.object(_main, "LogStream"),
            mock.patch.object(_main, "JsonLinesHandler") as handler,
            mock.patch.object(_main, "_program", lambda *args: FakeProgram(starts)),
        ):
            handler.return_value.flush_periodically = mock.AsyncMock()
            self.assertEqual(_main.main(["entry", "0"]), _main.EXIT_FAILED)
        errors = [r for r in log.records if r.level_name == "ERROR"]
        self.assertEqual([record.message for record in errors], [message])
        self.assertEqual(errors[0].exc_info is not None, traced)


if __name__ == "__main__":
    unittest.main()
