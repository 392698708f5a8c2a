"""Reads the log lines of hosts."""

from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any

import msgspec
from msgspec import Struct

RESERVED_KEYS = ("time", "level", "logger", "host", "message", "exception")
"""Keys of a log line that are not fields of its message."""

_decoder = msgspec.json.Decoder(dict[str, Any])


class LogLine(Struct):
    """One log line.

    Attributes:
        at: Unix seconds by the clock of the host.
        host: Host that wrote the line.
        message: Message text, without fields.
        fields: All other fields by name.
    """

    at: float
    host: str
    message: str
    fields: dict[str, Any]

    @property
    def request(self) -> str:
        """Id of the request that the line is about; empty if there is none."""
        return str(self.fields.get("request", ""))


def read_log_lines(lines: Iterable[str], request_id: str) -> Iterator[LogLine]:
    """Yield the log lines that may belong to a request's timeline.

    Skips lines of other requests without decoding them, and text that is no log line.
    Anything before the first brace of a line is ignored, such as a time and host added
    by a log collector.

    Args:
        lines: Lines of one or several logs.
        request_id: Id of the request.
    """
    for line in lines:
        if '"request"' in line and request_id not in line:
            continue
        found = _decode(line[max(0, line.find("{")) :])
        if found is not None:
            yield found


def _decode(text: str) -> LogLine | None:
    try:
        values = _decoder.decode(text)
        at = datetime.fromisoformat(values["time"]).timestamp()
        host, message = str(values["host"]), str(values["message"])
    except (msgspec.MsgspecError, KeyError, TypeError, ValueError):
        return None
    fields = {name: v for name, v in values.items() if name not in RESERVED_KEYS}
    return LogLine(at, host, message, fields)
