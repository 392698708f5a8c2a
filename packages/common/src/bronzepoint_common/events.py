"""Splits a byte stream into complete server-sent events."""

import re

EVENT_STREAM = "text/event-stream"
"""Content type of a stream of server-sent events."""
_END = re.compile(rb"\r?\n\r?\n|\r\r")
_LINE_END = re.compile(rb"\r\n|\r|\n")
MAX_EVENT = 1 << 20
"""Maximum bytes of one event, which is held back until it is complete."""
SEPARATOR_SIZE = 4
"""Maximum bytes of the end of an event."""
COMMENT = b":"
"""First byte of a line that belongs to no event."""
_ID = re.compile(rb"(?:^|\r)id:[ \t]?([^\r\n]*)", re.MULTILINE)


class EventTooLong(Exception):
    """An event doesn't end within ``MAX_EVENT`` bytes."""


class EventSplitter:
    """Buffers a stream of server-sent events and releases complete events only.

    A target may stop in the middle of an event. If the partial event were sent on, the
    target that resumes the stream would send the same event again, and the caller would
    read both as one.

    Attributes:
        last_id: Id of the latest complete event; None: none yet.
        count: Number of complete events so far.
    """

    def __init__(self, last_id: str | None = None) -> None:
        self.last_id = last_id
        self.count = 0
        self._buffer = bytearray()

    def feed(self, data: bytes) -> bytes:
        """Add ``data`` and return the events that it completes.

        Raises:
            EventTooLong: The event that has begun is too long.
        """
        # What was there holds no end, but may hold the beginning of one.
        searched = max(0, len(self._buffer) - SEPARATOR_SIZE + 1)
        self._buffer += data
        ends = [match.end() for match in _END.finditer(self._buffer, searched)]
        end = ends[-1] if ends else 0
        unfinished = len(self._buffer) - end
        if unfinished > MAX_EVENT:
            raise EventTooLong(f"no end of an event in {unfinished} bytes")
        self.count += len(ends)
        whole = bytes(self._buffer[:end])
        del self._buffer[:end]
        for match in _ID.finditer(whole):
            self.last_id = match.group(1).decode("latin-1").strip()
        return whole

    @property
    def is_inside_event(self) -> bool:
        """Whether the data so far ends inside an event, so that the rest is missing."""
        *lines, unfinished = _LINE_END.split(bytes(self._buffer))
        if unfinished:
            return True
        return any(line and not line.startswith(COMMENT) for line in lines)

    def discard_partial(self) -> None:
        """Discard a partial event, before another target resumes after ``last_id``."""
        self._buffer.clear()

    def remainder(self) -> bytes:
        """Return the bytes after the last complete event."""
        return bytes(self._buffer)


def is_event_stream(headers: dict[str, str]) -> bool:
    """Return whether an answer's headers declare a stream of server-sent events."""
    return headers.get("content-type", "").lower().startswith(EVENT_STREAM)


def may_be_events(headers: dict[str, str]) -> bool:
    """Return whether a body with these headers can be read as server-sent events."""
    if headers.get("content-encoding", "identity") != "identity":
        return False
    return "content-type" not in headers or is_event_stream(headers)


__all__ = [
    "EVENT_STREAM",
    "EventSplitter",
    "EventTooLong",
    "is_event_stream",
    "may_be_events",
]
