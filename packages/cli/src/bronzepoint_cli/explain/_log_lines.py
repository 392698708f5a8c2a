"""Lines of a host's log."""

from collections.abc import Iterable, Iterator
from datetime import datetime
from typing import Any

import msgspec
from msgspec import Struct

RESERVED = ("time", "level", "logger", "host", "message", "exception")

_decoder = msgspec.json.Decoder(dict[str, Any])


class LogLine(Struct):
    """One line.

    Attributes:
        at: Seconds since 1970, by the clock of its host.
        host: The host that wrote it.
        message: What it tells.
        fields: The rest of it, by name.
    """

    at: float
    host: str
    message: str
    fields: dict[str, Any]

    @property
    def request(self) -> str:
        """Identifier of the request that it speaks of; empty: of none."""
        return str(self.fields.get("request", ""))


def read_log_lines(lines: Iterable[str], request_id: str) -> Iterator[LogLine]:
    """Yield the lines that may belong to a request's story.

    Lines of other requests are left out unread, as are those that are no log lines.
    Whatever stands before a line's first brace, such as a collector's own time and
    host, is passed over.

    Args:
        lines: Lines of one or several logs.
        request_id: The request.
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
    fields = {name: v for name, v in values.items() if name not in RESERVED}
    return LogLine(at, host, message, fields)
