"""Lines whose reader stops: nothing waits for it, and what is dropped is counted."""

import json
import os
import unittest

from bronzepoint_common.log_stream import BURST, MOST_BACKLOG, LogBacklogFull, LogStream
from bronzepoint_common.logs import JsonLinesHandler, get_logger
from bronzepoint_common.metrics import Metrics

LINE = "x" * 999 + "\n"

log = get_logger("test")


class Pipe:
    """A pipe whose reader stands still until it is asked."""

    def __enter__(self):
        self.read_end, self.write_end = os.pipe()
        return self

    def __exit__(self, *exc_info):
        os.close(self.read_end)
        os.close(self.write_end)

    def read(self, size=1 << 20):
        """Return what lies in the pipe."""
        os.set_blocking(self.read_end, False)
        try:
            return os.read(self.read_end, size)
        except BlockingIOError:
            return b""


def fill(stream, most):
    """Write lines until one isn't taken; return how many were."""
    for number in range(most):
        try:
            stream.write(LINE)
        except LogBacklogFull:
            return number
    return most


def read_on(pipe, stream):
    """Return all that still comes through, as the reader goes on."""
    found = b""
    while piece := pipe.read():
        found += piece
        stream.flush()
    return found


class TestReaderThatStops(unittest.TestCase):
    def test_lines_are_kept_up_to_a_bound_and_come_in_order(self):
        """Guards against a host that stops where nobody reads its log."""
        with Pipe() as pipe:
            stream = LogStream(pipe.write_end)
            taken = fill(stream, 2 * MOST_BACKLOG // len(LINE))
            found = read_on(pipe, stream)
        self.assertGreaterEqual(taken * len(LINE), MOST_BACKLOG - len(LINE))
        self.assertLess(taken, 2 * MOST_BACKLOG // len(LINE))
        self.assertEqual(found.decode(), LINE * taken)

    def test_what_is_dropped_is_counted(self):
        metrics = Metrics()
        with Pipe() as pipe:
            stream = LogStream(pipe.write_end)
            handler = JsonLinesHandler(stream, "info", "h", metrics)
            with handler.applicationbound():
                fill(stream, BURST)
                for number in range(5):
                    log.info("lost", text=LINE, number=number)
                read_on(pipe, stream)
                log.info("kept")
                handler.flush()
            (line,) = pipe.read().splitlines()
        self.assertEqual(json.loads(line)["lost_lines"], 5)
        self.assertEqual(metrics.counters()["log.lost_lines"], 5)

    def test_reader_that_is_gone_ends_nothing(self):
        read_end, write_end = os.pipe()
        os.close(read_end)
        metrics = Metrics()
        handler = JsonLinesHandler(LogStream(write_end), "info", "h", metrics)
        with handler.applicationbound():
            log.info("nobody hears")
            handler.flush()
        os.close(write_end)
        self.assertEqual(metrics.counters()["log.lost_lines"], 1)


class TestVolume(unittest.TestCase):
    def test_lines_that_come_too_fast_are_dropped(self):
        with open(os.devnull, "wb") as sink:
            stream = LogStream(sink.fileno())
            stream._refill = lambda: None
            taken = fill(stream, 2 * BURST // len(LINE))
        self.assertEqual(taken, BURST // len(LINE))


if __name__ == "__main__":
    unittest.main()
