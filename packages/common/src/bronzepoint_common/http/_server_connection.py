"""A connection of a caller; its requests are served one after another."""

from collections.abc import Awaitable, Callable

import curio
import h11

from bronzepoint_common.http._client_memory import ConnectionShare
from bronzepoint_common.http._errors import (
    BadRequest,
    Disconnected,
    HandlerFailed,
    HeadTooLarge,
    HttpError,
    RequestTimeout,
)
from bronzepoint_common.http._exchange import Exchange
from bronzepoint_common.http._head import header_pairs, response_head
from bronzepoint_common.http._limits import HttpLimits
from bronzepoint_common.http._request import Request, request_of
from bronzepoint_common.http._wire import Wire
from bronzepoint_common.logs import get_logger

_log = get_logger("http")

HEAD_TOO_LARGE = 431
IDLE_GRACE = 0.5
"""Seconds for which a closing server still accepts a request on an idle connection."""
HEADER_LINE_OVERHEAD = len(b": \r\n")
"""Bytes of a header line besides its name and value."""
LINGER_TIME = 1.0
"""Maximum seconds for which unwanted data is read before a connection is closed."""
LINGER_BYTES = 1 << 20
"""Maximum bytes of unwanted data that are read before a connection is closed."""


class ServerConnection:
    """Reads requests, calls the handler for each, and answers invalid input.

    Attributes:
        share: What it holds of the memory for clients; set before `serve`.
    """

    share: ConnectionShare

    def __init__(
        self,
        wire: Wire,
        peer: str,
        handler: Callable[[Exchange], Awaitable[None]],
        limits: HttpLimits,
        on_error: Callable[[HttpError], tuple[int, dict[str, str], bytes]],
    ) -> None:
        self._wire = wire
        self._peer = peer
        self._handler = handler
        self._limits = limits
        self._on_error = on_error
        self._conn = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.max_head
        )
        self._exchange: Exchange | None = None
        self._closing = False
        self._received = 0

    def close_when_done(self) -> None:
        """Close after the exchange in progress, or after the next one."""
        self._closing = True
        if self._exchange is not None:
            self._exchange.announce_close()

    def close_if_idle(self) -> None:
        """Close if no exchange is in progress; requests received so far are served."""
        if self._exchange is None:
            self._wire.finish_receiving()

    def give_way(self) -> None:
        """Close at once to make room; the task of this connection ends it."""
        if self._exchange is None:
            self._wire.finish_receiving()
        else:
            self._wire.shut_down()

    async def serve(self) -> None:
        """Serve requests until either side closes."""
        try:
            while await self._serve_one():
                continue
        except Disconnected:
            return
        except HttpError as exc:
            await self._answer_error(exc)
        finally:
            await self._wire.close()

    async def refuse(self, exc: HttpError) -> None:
        """Answer with an error without reading a request, and close."""
        try:
            await self._answer_error(exc)
        finally:
            await self._wire.close()

    async def _serve_one(self) -> bool:
        request = await self._read_head()
        if request is None:
            return False
        exchange = Exchange(
            self._conn,
            self._wire,
            request,
            self._peer,
            self._limits,
            self.share,
            self._received,
            last=self._closing,
        )
        self._exchange = exchange
        try:
            await self._handle(exchange)
        finally:
            self._exchange = None
            self.share.at_work = False
        if exchange.aborted:
            return False
        return await self._start_next()

    async def _handle(self, exchange: Exchange) -> None:
        try:
            await self._handler(exchange)
        except HttpError:
            if not exchange.started and not exchange.aborted:
                raise
            await exchange.abort()
        except Exception:
            _log.exception("Handler failed", path=exchange.request.path)
            if not exchange.started and not exchange.aborted:
                raise HandlerFailed from None
            await exchange.abort()
        if exchange.aborted:
            return
        if not exchange.started:
            _log.error("Handler sent no answer", path=exchange.request.path)
            raise HandlerFailed
        if not exchange.ended:
            await exchange.abort()

    async def _start_next(self) -> bool:
        done = (self._conn.our_state, self._conn.their_state)
        if done == (h11.DONE, h11.DONE):
            if self.share.closed:
                return False
            self._conn.start_next_cycle()
            self._received = len(self._conn.trailing_data[0])
            self.share.resize(self._received)
            if self._received:
                # Curio switches tasks only when one has to wait: a client that sends
                # many requests at once would keep all other connections waiting.
                await curio.sleep(0)
            return True
        # The caller may still be sending the body. If the connection were closed at
        # once, the kernel would send RST, which can discard the answer in transit:
        # the caller would see a broken connection instead of the error.
        await self._linger()
        return False

    async def _read_head(self) -> Request | None:
        """Read the next head; None if the caller sends no further request."""
        event = self._next_event()
        if event is h11.NEED_DATA:
            data = await self._first_bytes()
            if not data:
                return None
            self._receive_data(data)
            event = self._next_event()
        if event is h11.NEED_DATA:
            event = await self._rest_of_head()
        if not isinstance(event, h11.Request):
            return None
        # h11 limits a head only while it is incomplete: one that arrives in a single
        # read would be accepted at any size.
        if _head_size(event) > self._limits.max_head:
            raise HeadTooLarge(self._limits.max_head)
        return request_of(event)

    async def _first_bytes(self) -> bytes:
        # An answer that was in progress when closing began may not have announced
        # that it is the last one, so one more request may arrive on this connection.
        timeout = IDLE_GRACE if self._closing else self._limits.idle_timeout
        try:
            return await self._wire.receive(timeout)
        except (curio.TaskTimeout, OSError):
            return b""

    async def _rest_of_head(self) -> h11.Event:
        timeout = self._limits.head_timeout
        try:
            async with curio.timeout_after(timeout):
                while True:
                    data = await self._wire.receive(timeout)
                    if not data:
                        raise Disconnected("it closed the connection during a head")
                    self._receive_data(data)
                    event = self._next_event()
                    if event is not h11.NEED_DATA:
                        return event
        except curio.TaskTimeout:
            raise RequestTimeout(timeout) from None
        except OSError as exc:
            raise Disconnected(str(exc)) from exc

    def _receive_data(self, data: bytes) -> None:
        self._received += len(data)
        self.share.resize(self._received)
        self._conn.receive_data(data)

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA]:
        try:
            return self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            if exc.error_status_hint == HEAD_TOO_LARGE:
                raise HeadTooLarge(self._limits.max_head) from exc
            raise BadRequest(str(exc)) from exc

    async def _answer_error(self, exc: HttpError) -> None:
        """Answer with an error; the connection can't be used afterwards."""
        status, headers, body = self._on_error(exc)
        pairs = [*header_pairs(headers), (b"Connection", b"close")]
        pairs.append((b"Content-Length", b"%d" % len(body)))
        head = response_head(status, pairs)
        try:
            data = self._conn.send(head) + self._conn.send(h11.Data(data=body))
            await self._wire.send(data, self._limits.write_timeout)
        except (h11.LocalProtocolError, curio.TaskTimeout, OSError):
            return
        await self._linger()

    async def _linger(self) -> None:
        """Read unwanted data, so that the answer arrives before the close."""
        self._wire.finish_sending()
        size = 0
        try:
            async with curio.timeout_after(LINGER_TIME):
                while size < LINGER_BYTES:
                    data = await self._wire.receive(LINGER_TIME)
                    if not data:
                        return
                    size += len(data)
        except (curio.TaskTimeout, OSError):
            return


def _head_size(event: h11.Request) -> int:
    lines = sum(
        len(name) + len(value) + HEADER_LINE_OVERHEAD for name, value in event.headers
    )
    return len(event.target) + lines
