"""Answers that a client receives: whole, or piece by piece."""

import time
from enum import Enum

import h11
from msgspec import Struct

from bronzepoint_common.http._errors import (
    AnswerCut,
    AnswerMalformed,
    AnswerTimeout,
)
from bronzepoint_common.http._wire import Wire

LINE_END = b"\r\n"


class Framing(Enum):
    """How the end of an answer's body is marked."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_CLOSE = "connection close"


class Answer(Struct):
    """A whole answer; header names are lower-case."""

    status: int
    headers: dict[str, str]
    body: bytes


class ClientAnswer:
    """An answer whose body is being received.

    Attributes:
        address: Address of the server.
        status: HTTP status.
        headers: Header values by lower-case name.
        complete: True once the end of the answer has been read.
        framing: How the end of the body is marked.
        timeout: Seconds to wait for each further piece.
    """

    def __init__(
        self,
        conn: h11.Connection,
        wire: Wire,
        address: str,
        timeout: float,
        status: int,
        headers: dict[str, str],
    ) -> None:
        self.status = status
        self.headers = headers
        self.complete = False
        self._conn = conn
        self._wire = wire
        self.address = address
        self.timeout = timeout
        self.framing = _framing_of(headers)
        self._chunked = self.framing is Framing.CHUNKED
        self._unparsed = True
        self._waiting_since = 0.0
        self._stalled = False

    def chunks(self) -> "ClientAnswer":
        """Iterate over the body; each piece contains the data of one read.

        Raises:
            AnswerCut: The answer is truncated.
            AnswerTimeout: No further piece arrived in time.
            AnswerMalformed: The answer isn't valid HTTP.
        """
        return self

    def __aiter__(self) -> "ClientAnswer":
        return self

    async def __anext__(self) -> bytes:
        piece = await self.read()
        if not piece:
            raise StopAsyncIteration
        return piece

    async def read(self) -> bytes:
        """Read the next piece; b"" at the end of the answer."""
        piece = self._parse_received() if self._unparsed else b""
        while not piece and not self.complete:
            self._conn.receive_data(await self._receive())
            piece = self._parse_received()
        return piece

    def shut_if_stalled(self, now: float) -> None:
        """Shut the connection down if the next piece is overdue; for `StallMonitor`."""
        if self._waiting_since and now - self._waiting_since > self.timeout:
            self._stalled = True
            self._wire.shut_down()

    def _parse_received(self) -> bytes:
        """Return the body data that h11 can parse from the bytes read so far."""
        parts: list[bytes] = []
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as exc:
                raise self._parse_error(exc) from exc
            if event is h11.NEED_DATA:
                break
            if not isinstance(event, h11.Data):
                self.complete = True
                break
            parts.append(event.data)
            if self._chunked and self._is_parsed(event):
                break
        self._unparsed = False
        return bytes(parts[0]) if len(parts) == 1 else b"".join(parts)

    def _is_parsed(self, event: h11.Data) -> bool:
        # Between two chunks only the line end of the last one can be left. This saves
        # an h11 call without a result for each event of a stream.
        unparsed = self._conn.trailing_data[0]
        return event.chunk_end and len(unparsed) <= len(LINE_END)

    def _parse_error(self, exc: h11.RemoteProtocolError) -> AnswerCut | AnswerMalformed:
        if self._conn.trailing_data[1]:
            return AnswerCut(self.address)
        return AnswerMalformed(self.address, str(exc))

    async def _receive(self) -> bytes:
        self._waiting_since = time.monotonic()
        try:
            data = await self._wire.receive_next()
        except OSError:
            # An answer without a length ends with its connection: if a reset were
            # treated as the end, a truncated answer would look complete.
            if not self._stalled:
                raise AnswerCut(self.address) from None
            data = b""
        finally:
            self._waiting_since = 0.0
        if data:
            return data
        if self._stalled:
            raise AnswerTimeout(self.address, self.timeout)
        return b""


def _framing_of(headers: dict[str, str]) -> Framing:
    if "transfer-encoding" in headers:
        return Framing.CHUNKED
    if "content-length" in headers:
        return Framing.LENGTH
    return Framing.CONNECTION_CLOSE
