"""Answers that a client gets: whole, or piece by piece."""

import curio
import h11
from msgspec import Struct

from bronzepoint_common.http._errors import (
    AnswerCut,
    AnswerMalformed,
    AnswerTimeout,
)
from bronzepoint_common.http._wire import Wire


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
        while not self.complete:
            piece = self._parsed()
            if piece:
                return piece
            if not self.complete:
                self._conn.receive_data(await self._receive())
        return b""

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
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _broken(self, exc: h11.RemoteProtocolError) -> AnswerCut | AnswerMalformed:
        if self._conn.trailing_data[1]:
            return AnswerCut(self._address)
        return AnswerMalformed(self._address, str(exc))

    async def _receive(self) -> bytes:
        try:
            return await self._wire.receive(self.timeout)
        except curio.TaskTimeout:
            raise AnswerTimeout(self._address, self.timeout) from None
        except OSError:
            raise AnswerCut(self._address) from None
