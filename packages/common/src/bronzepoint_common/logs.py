"""Logs as JSON lines: one object a line, with typed fields beside the message."""

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
"""Fields that each line may have; a caller's field of that name gets a ``_`` after."""


FLUSH_INTERVAL = 0.5
"""Seconds between two looks whether the log's reader takes what was kept for it."""


class LogFileError(Exception):
    """The log file can't be opened."""

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(
            f"Log file {path} can't be opened ({reason}): create its folder and let "
            "this user write there, or leave [log] file empty for standard error."
        )


class LineStream(Protocol):
    """What lines are written to."""

    def write(self, text: str) -> int:
        """Take a line; raises OSError where it doesn't."""

    def flush(self) -> None:
        """Write what was taken, as far as that needs no wait."""


class JsonLinesHandler(logbook.Handler):
    """Writes each record as one JSON object on a line of its own.

    Args:
        stream: Where the lines go.
        level: Least level that is written.
        host: Name of this host, a field of each line.
        metrics: Counts lines that were dropped, as ``log.lost_lines``.
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

        A full disk raises here, and so does a stream whose reader has stopped. A log
        line is worth less than the request that wrote it, so the line is dropped and
        counted; the next line that can be written carries the count in ``lost_lines``.
        """
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
        """Write what was kept for a reader that was slow."""
        try:
            self._stream.flush()
        except (OSError, ValueError):
            # The next line that is lost by it is counted.
            return

    async def flush_periodically(self) -> None:
        """Flush now and then: a reader that goes on needs no further line for it."""
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
    """Return the formatted message, or the bare one where it can't be formatted.

    A brace in a message that came from elsewhere would raise inside the logging call
    and end the task that logs.
    """
    try:
        return str(record.message)
    except TypeError:
        return str(record.msg)


def _format_exception(exc_info: Any) -> str:
    exc = sys.exception() if exc_info is True else exc_info[1]
    return "".join(traceback.format_exception(exc))


def get_logger(name: str) -> logbook.Logger:
    """Return the logger of one module.

    Keyword arguments of its methods become fields of the line:
    ``log.warning("Target ejected", target=name, failures=3)``.
    """
    return logbook.Logger(name)


def setup_logs(section: LogSection, host: HostName | str) -> JsonLinesHandler:
    """Send all logs of this process where the settings say.

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
