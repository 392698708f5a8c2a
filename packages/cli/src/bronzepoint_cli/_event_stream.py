"""Parser for the part of ``text/event-stream`` that chat completions use."""

from collections.abc import Iterator

END = "[DONE]"
"""Data of the last event of a complete answer."""

DATA = b"data:"
"""Prefix of the lines that hold an event's data."""


class EventStream:
    """Splits the bytes of an answer into event data."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, chunk: bytes) -> Iterator[str]:
        """Yield the data of each event completed by this chunk."""
        *events, self._buffer = (self._buffer + chunk).split(b"\n\n")
        for event in events:
            lines = (line.strip() for line in event.splitlines())
            data = [line[len(DATA) :].strip() for line in lines if line[:5] == DATA]
            if data:
                yield b"\n".join(data).decode("utf-8", "replace")


__all__ = ["END", "EventStream"]
