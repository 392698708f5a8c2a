"""Answers that a client gets: whole, or piece by piece."""

import time

import h11
from msgspec import Struct

from bronzepoint_common.http._errors import (
    AnswerCut,
    AnswerMalformed,
    AnswerTimeout,
)
from bronzepoint_common.http._wire import Wire

LINE_END = b"\r\n"


class Answer(Struct):
    """A whole answer; header names are lower-case."""

    status: int
    headers: dict[str, str]
    body: bytes


class ClientAnswer:
    """An answer in progress.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name.
        complete: True once the end of the answer was read.
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
        self._address = address
        self.timeout = timeout
        self._chunked = "transfer-encoding" in headers
        self._unparsed = True
        self._waiting_since = 0.0
        self._stalled = False

    def chunks(self) -> "ClientAnswer":
        """Iterate over the body; each piece is all that one read brought.

        Raises:
            AnswerCut: It ended before it was whole.
            AnswerTimeout: No further piece came in time.
            AnswerMalformed: It isn't valid HTTP.
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
        """Read the next piece; b"" at the end of the whole answer."""
        piece = self._parsed() if self._unparsed else b""
        while not piece and not self.complete:
            self._conn.receive_data(await self._receive())
            piece = self._parsed()
        return piece

    def stall(self, now: float) -> None:
        """End the connection if an awaited piece is overdue; for `StallWatch`."""
        if self._waiting_since and now - self._waiting_since > self.timeout:
            self._stalled = True
            self._wire.shut()

    def _parsed(self) -> bytes:
        """Join what h11 can parse of the bytes read so far."""
        parts: list[bytes] = []
        while True:
            try:
                event = self._conn.next_event()
            except h11.RemoteProtocolError as exc:
                raise self._broken(exc) from exc
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
        # Saves h11 a fruitless attempt for each event of a stream: between two
        # chunks only the line end of the last one can be left.
        left = self._conn.trailing_data[0]
        return event.chunk_end and len(left) <= len(LINE_END)

    def _broken(self, exc: h11.RemoteProtocolError) -> AnswerCut | AnswerMalformed:
        if self._conn.trailing_data[1]:
            return AnswerCut(self._address)
        return AnswerMalformed(self._address, str(exc))

    async def _receive(self) -> bytes:
        self._waiting_since = time.monotonic()
        try:
            data = await self._wire.receive_next()
        except OSError:
            # Passed on as the end, a reset would make a part of an answer that ends
            # with its connection look whole.
            if not self._stalled:
                raise AnswerCut(self._address) from None
            data = b""
        finally:
            self._waiting_since = 0.0
        if data:
            return data
        if self._stalled:
            raise AnswerTimeout(self._address, self.timeout)
        return b""
