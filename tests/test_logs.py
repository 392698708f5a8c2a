"""Log lines are valid JSON objects, for any message and with a full disk."""

import io
import json
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from nose2.tools import params

from bronzepoint_common.logs import (
    JsonLinesHandler,
    LogFileError,
    get_logger,
    setup_logs,
)
from bronzepoint_common.metrics import Metrics
from bronzepoint_schema.generated.settings import LogSection
from bronzepoint_schema.ids import HostName

log = get_logger("bronzepoint.test")


class FullDisk(io.StringIO):
    """A stream that rejects its first lines, as a full disk does."""

    refusals = 2

    def write(self, text: str) -> int:
        if self.refusals:
            self.refusals -= 1
            raise OSError(28, "No space left on device")
        return super().write(text)


class JsonLines(unittest.TestCase):
    def setUp(self):
        self.stream = io.StringIO()

    def read(self, act, level="debug", stream=None) -> list[dict]:
        stream = stream or self.stream
        with JsonLinesHandler(stream, level, "bkk-1").applicationbound():
            act()
        return [json.loads(line) for line in stream.getvalue().splitlines()]

    def test_fields(self):
        (line,) = self.read(lambda: log.warning("Target ejected", target="t1", n=3))
        self.assertEqual(line["level"], "warning")
        self.assertEqual(line["logger"], "bronzepoint.test")
        self.assertEqual(line["host"], "bkk-1")
        self.assertEqual(line["message"], "Target ejected")
        self.assertEqual((line["target"], line["n"]), ("t1", 3))

    @params("two\nlines", "brace {", "brace {}", "field {none}", 'quote " and \\', "ß")
    def test_message_stays_on_one_line(self, text):
        (line,) = self.read(lambda: log.info(text, n=1))
        self.assertEqual(line["message"], text)

    def test_reserved_field_keeps_its_meaning(self):
        (line,) = self.read(lambda: log.info("x", message=7, time="t"))
        self.assertEqual((line["message"], line["message_"]), ("x", 7))
        self.assertEqual(line["time_"], "t")

    def test_exception_group_is_written_whole(self):
        def act():
            try:
                raise ExceptionGroup("both", [ValueError("one"), KeyError("two")])
            except ExceptionGroup:
                log.exception("failed")

        (line,) = self.read(act)
        self.assertIn("ValueError: one", line["exception"])
        self.assertIn("KeyError: 'two'", line["exception"])

    def test_level(self):
        lines = self.read(lambda: (log.info("no"), log.error("yes")), "warning")
        self.assertEqual([line["message"] for line in lines], ["yes"])

    def test_lines_lost_by_a_full_disk_are_counted(self):
        """Guards against requests that fail while the disk of the log is full.

        The write of a log line raises, and the error ends the task that serves the
        request.
        """

        def act():
            for number in range(4):
                log.info("line", number=number)

        lines = self.read(act, stream=FullDisk())
        self.assertEqual([line["number"] for line in lines], [2, 3])
        self.assertEqual([line.get("lost_lines") for line in lines], [2, None])

    @params(("info", 0), ("warning", 0), ("error", 1), ("critical", 1))
    def test_errors_are_counted(self, level, count):
        """Guards against failures of background tasks that no metric shows."""
        metrics = Metrics()
        with JsonLinesHandler(io.StringIO(), "info", "h", metrics).applicationbound():
            getattr(log, level)("line")
        self.assertEqual(metrics.counters().get("log.errors", 0), count)


class LogFiles(unittest.TestCase):
    def test_file_is_appended_to(self):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "log"
            path.write_text('{"old":1}\n')
            handler = setup_logs(LogSection(file=str(path)), HostName("h"))
            self.addCleanup(handler.pop_application)
            log.info("new")
            handler.close()
            self.assertEqual(len(path.read_text().splitlines()), 2)

    def test_file_that_cannot_be_opened(self):
        with self.assertRaisesRegex(LogFileError, "create its folder"):
            setup_logs(LogSection(file="/nonexistent/folder/log"), HostName("h"))
