"""A log reader that stops: writing doesn't block, and dropped lines are counted."""

import json
import os
import unittest

from bronzepoint_common.log_stream import BURST, MAX_BACKLOG, LogBacklogFull, LogStream
from bronzepoint_common.logs import JsonLinesHandler, get_logger
from bronzepoint_common.metrics import Metrics

LINE = "x" * 999 + "\n"

log = get_logger("test")


class Pipe:
    """A pipe that is read only by calls of `read`."""

    def __enter__(self):
        self.read_end, self.write_end = os.pipe()
        return self

    def __exit__(self, *exc_info):
        os.close(self.read_end)
        os.close(self.write_end)

    def read(self, size=1 << 20):
        """Return the data in the pipe, without blocking."""
        os.set_blocking(self.read_end, False)
        try:
            return os.read(self.read_end, size)
        except BlockingIOError:
            return b""


def fill(stream, max_lines):
    """Write lines until one is rejected; return how many were accepted."""
    for number in range(max_lines):
        try:
            stream.write(LINE)
        except LogBacklogFull:
            return number
    return max_lines


def read_rest(pipe, stream):
    """Return all buffered data, as read by a reader that resumes."""
    found = b""
    while piece := pipe.read():
        found += piece
        stream.flush()
    return found


class TestReaderThatStops(unittest.TestCase):
    def test_lines_are_buffered_up_to_a_limit_and_in_order(self):
        """Guards against a host that blocks because its log isn't read."""
        with Pipe() as pipe:
            stream = LogStream(pipe.write_end)
            accepted = fill(stream, 2 * MAX_BACKLOG // len(LINE))
            found = read_rest(pipe, stream)
        self.assertGreaterEqual(accepted * len(LINE), MAX_BACKLOG - len(LINE))
        self.assertLess(accepted, 2 * MAX_BACKLOG // len(LINE))
        self.assertEqual(found.decode(), LINE * accepted)

    def test_dropped_lines_are_counted(self):
        metrics = Metrics()
        with Pipe() as pipe:
            stream = LogStream(pipe.write_end)
            handler = JsonLinesHandler(stream, "info", "h", metrics)
            with handler.applicationbound():
                fill(stream, BURST)
                for number in range(5):
                    log.info("lost", text=LINE, number=number)
                read_rest(pipe, stream)
                log.info("kept")
                handler.flush()
            (line,) = pipe.read().splitlines()
        self.assertEqual(json.loads(line)["lost_lines"], 5)
        self.assertEqual(metrics.counters()["log.lost_lines"], 5)

    def test_write_to_a_closed_pipe_is_counted_and_raises_nothing(self):
        read_end, write_end = os.pipe()
        os.close(read_end)
        metrics = Metrics()
        handler = JsonLinesHandler(LogStream(write_end), "info", "h", metrics)
        with handler.applicationbound():
            log.info("not read")
            handler.flush()
        os.close(write_end)
        self.assertEqual(metrics.counters()["log.lost_lines"], 1)


class TestVolume(unittest.TestCase):
    def test_lines_beyond_the_rate_limit_are_dropped(self):
        with open(os.devnull, "wb") as sink:
            stream = LogStream(sink.fileno())
            stream._refill = lambda: None
            accepted = fill(stream, 2 * BURST // len(LINE))
        self.assertEqual(accepted, BURST // len(LINE))


if __name__ == "__main__":
    unittest.main()
