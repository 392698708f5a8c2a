"""Structured logs: one JSON object per line, with the message and typed fields."""

import io
import sys
import traceback
from datetime import UTC, datetime
from typing import Any, Protocol

import curio
import logbook
import msgspec

from bronzepoint_common.log_stream import LogStream
from bronzepoint_common.metrics import Metrics
from bronzepoint_schema.generated.settings import LogSection
from bronzepoint_schema.ids import HostName

RESERVED = frozenset({"time", "level", "logger", "host", "message", "exception"})
"""Standard fields of a line; a custom field with one of these names gets a ``_``
appended."""


FLUSH_INTERVAL = 0.5
"""Seconds between two attempts to write buffered lines."""


class LogFileError(Exception):
    """The log file can't be opened."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(
            f"Log file {path} can't be opened ({reason}): create its folder and give "
            "this user write access, or leave [log] file empty for standard error."
        )


class LineStream(Protocol):
    """An output stream for log lines."""

    def write(self, text: str) -> int:
        """Accept a line; raises OSError if it is rejected."""

    def flush(self) -> None:
        """Write accepted lines as far as possible without blocking."""


class JsonLinesHandler(logbook.Handler):
    """Writes each record as one line with a JSON object.

    Args:
        stream: Output stream of the lines.
        level: Minimum level that is written.
        host: Name of this host, a field of each line.
        metrics: Counts errors as ``log.errors``, and dropped lines as
            ``log.lost_lines``.
    """

    def __init__(
        self,
        stream: LineStream,
        level: str,
        host: str,
        metrics: Metrics | None = None,
    ) -> None:
        super().__init__(level=logbook.lookup_level(level.upper()))
        self._stream = stream
        self._host = host
        self._metrics = metrics if metrics is not None else Metrics()
        self._encoder = msgspec.json.Encoder(enc_hook=str)
        self._lost = 0

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record.

        Writing fails when the disk is full or the reader of the stream has stopped. An
        error must not end the request that logs, so the line is dropped and counted;
        the next line that can be written carries the count in ``lost_lines``.
        """
        if record.level >= logbook.ERROR:
            self._metrics.incr("log.errors")
        line = self._encode(record)
        try:
            self._stream.write(line)
            self._stream.flush()
        except (OSError, ValueError):
            self._lost += 1
            self._metrics.incr("log.lost_lines")
            return
        self._lost = 0

    def flush(self) -> None:
        """Write lines that are buffered for a slow reader."""
        try:
            self._stream.flush()
        except (OSError, ValueError):
            # `emit` counts the lines that are lost because of this.
            return

    async def flush_periodically(self) -> None:
        """Flush at an interval, so that buffered lines don't wait for new ones."""
        while True:
            await curio.sleep(FLUSH_INTERVAL)
            self.flush()

    def _encode(self, record: logbook.LogRecord) -> str:
        fields: dict[str, Any] = {
            "time": datetime.now(UTC).isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "logger": record.channel,
            "host": self._host,
            "message": _message(record),
        }
        for name, value in record.kwargs.items():
            fields[f"{name}_" if name in RESERVED else name] = value
        if record.exc_info:
            fields["exception"] = _format_exception(record.exc_info)
        if self._lost:
            fields["lost_lines"] = self._lost
        return self._encoder.encode(fields).decode() + "\n"


def _message(record: logbook.LogRecord) -> str:
    """Return the formatted message, or the raw one if formatting fails.

    A brace in text from outside the program would raise inside the logging call and
    end the task that logs.
    """
    try:
        return str(record.message)
    except TypeError:
        return str(record.msg)


def _format_exception(exc_info: Any) -> str:
    exc = sys.exception() if exc_info is True else exc_info[1]
    return "".join(traceback.format_exception(exc))


def get_logger(name: str) -> logbook.Logger:
    """Return the logger of a module.

    Keyword arguments of its methods become fields of the line:
    ``log.warning("Target ejected", target=name, failures=3)``.
    """
    return logbook.Logger(name)


def setup_logs(section: LogSection, host: HostName | str) -> JsonLinesHandler:
    """Send all logs of this process to the configured file or standard error.

    Raises:
        LogFileError: The file can't be opened for appending.
    """
    handler = JsonLinesHandler(_open_stream(section.file), section.level, host)
    handler.push_application()
    return handler


def _open_stream(path: str) -> LineStream:
    if not path:
        if isinstance(sys.stderr, io.TextIOWrapper):
            return LogStream(sys.stderr.fileno())
        return sys.stderr
    try:
        return open(path, "a", encoding="utf-8", errors="backslashreplace")
    except OSError as exc:
        raise LogFileError(path, exc.strerror or str(exc)) from exc


__all__ = ["JsonLinesHandler", "LogFileError", "get_logger", "setup_logs"]
