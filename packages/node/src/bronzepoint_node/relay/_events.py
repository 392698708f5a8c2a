"""Cutting a stream into whole events."""

import re

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ \t]?([^\r\n]*)", re.MULTILINE)


class EventSplitter:
    """Gives a stream of server-sent events on in whole events only.

    A target may stop in the middle of an event. What was sent of it would stand before
    the same event of the target that goes on, and the caller would read both as one.

    Attributes:
        last_id: Id of the newest event that was given on; None: none yet.
        count: Whole events that were given on.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.count = 0
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that ``data`` completes."""
        self._rest += data
        end = 0
        for match in _END.finditer(self._rest):
            end = match.end()
            self.count += 1
        whole, self._rest = self._rest[:end], self._rest[end:]
        for match in _ID.finditer(whole):
            self.last_id = match.group(1).decode("latin-1").strip()
        return whole

    def restart(self) -> None:
        """Drop a part of an event; another target begins behind ``last_id``."""
        self._rest = b""

    def rest(self) -> bytes:
        """Return what follows the last whole event."""
        return self._rest
