"""HTTP client with a pool of keep-alive connections."""

import errno
import math
import re
import socket
from collections.abc import Callable
from enum import Enum

import curio
import h11

from bronzepoint_common.events import is_event_stream
from bronzepoint_common.http._address import parse_address
from bronzepoint_common.http._answer import Answer, ClientAnswer
from bronzepoint_common.http._errors import (
    AnswerCut,
    AnswerMalformed,
    AnswerTimeout,
    ConnectFailed,
    NotSent,
)
from bronzepoint_common.http._head import Pairs, header_pairs
from bronzepoint_common.http._limits import HttpLimits
from bronzepoint_common.http._pool import ConnectionPool
from bronzepoint_common.http._request import headers_of
from bronzepoint_common.http._stall_monitor import StallMonitor
from bronzepoint_common.http._wire import Wire

BODYLESS_STATUSES = (204, 304)
MAX_STATUS = 599
CONTROL_CHARACTERS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
"""Characters that no value of a header field may contain."""
NO_ROUTE_ERRORS = (None, errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)
"""Errors of a connection that nothing answered; None: this client's own timeout."""
MAX_INTERIM_ANSWERS = 16
"""Maximum number of interim answers (1xx) before an answer. A server that sends them
without end would take all of the event loop's time."""
MAX_STALE_ANSWERS = 4
"""Maximum number of answers to earlier requests that are skipped on a connection."""


class Unframed(Enum):
    """Which answers without a length, which end with their connection, are accepted.

    A reset of the connection shows that such an answer is truncated, but a server that
    crashes may also close it.
    """

    REFUSED = "refused"
    EVENT_STREAMS = "event streams"
    ACCEPTED = "accepted"


BeforeSend = Callable[[], None]
Accept = Callable[[int, dict[str, str]], bool]


class HttpClient:
    """Sends requests over pooled connections; one instance per process.

    Args:
        limits: Bounds on sizes and times.
        connect_timeout: Seconds to establish a connection.
        settle: Seconds to wait on a new connection before anything is written. A
            server with too many connections accepts and resets at once. If the reset
            arrives after the request was written, it is unknown whether the request
            ran, and a request that may not run twice can't be retried.
    """

    def __init__(
        self, limits: HttpLimits, connect_timeout: float, settle: float = 0.0
    ) -> None:
        self._limits = limits
        self._connect_timeout = connect_timeout
        self._settle = settle
        # Shorter than the idle timeout of the server, so that the server rarely
        # closes a connection while the next request is being sent on it.
        self._pool = ConnectionPool(limits.idle_timeout / 2)
        self._stall_monitor = StallMonitor()

    def stream(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout: float,
        fresh: bool = False,
        before_send: BeforeSend | None = None,
        unframed: Unframed = Unframed.REFUSED,
        max_idle: float = math.inf,
        accept: Accept | None = None,
    ) -> "ClientExchange":
        """Send a request; ``async with`` returns its answer, to be read in pieces.

        Leaving the context before the end of the answer resets the connection, so
        that the server stops sending.

        Args:
            address: ``host:port`` of the server.
            method: HTTP method.
            path: Path and query, as they are sent.
            headers: Headers without Content-Length; ``host`` if it differs from the
                address.
            body: Whole body.
            timeout: Seconds to wait for the head, and for each further piece.
            fresh: True: open a new connection, so that a failure to connect
                proves that nothing was sent.
            max_idle: Maximum seconds for which a pooled connection may have been
                idle: the longer, the more likely the server is just closing it.
            accept: Returns, from status and headers, whether an answer belongs to
                this request. Another answer on a reused connection is a late or
                duplicate answer to an earlier request; it is read and discarded.
            before_send: Called on the established connection, right before the first
                byte is written; if it raises, nothing is sent. Connecting takes time,
                so that an earlier check may be out of date.
            unframed: Which answers without a length are accepted. If the connection
                is reset, they count as truncated.

        Raises (on entering):
            ConnectFailed, NotSent, AnswerCut, AnswerTimeout, AnswerMalformed.
        """
        request = h11.Request(
            method=method, target=path, headers=self._pairs(address, headers, body)
        )
        return ClientExchange(
            self,
            address,
            request,
            body,
            timeout,
            fresh,
            before_send,
            unframed,
            max_idle,
            accept,
        )

    async def fetch(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout: float,
        fresh: bool = False,
        before_send: BeforeSend | None = None,
        unframed: Unframed = Unframed.REFUSED,
    ) -> Answer:
        """Send a request and read its whole answer within ``timeout`` seconds.

        ``unframed`` must be `REFUSED` unless the body shows whether it is whole, as
        that of a JSON object does.

        Raises the same errors as ``stream``, and AnswerMalformed if the answer
        exceeds max_body.
        """
        try:
            async with curio.timeout_after(timeout):
                return await self._fetch(
                    address,
                    method,
                    path,
                    headers,
                    body,
                    timeout,
                    fresh,
                    before_send,
                    unframed,
                )
        except curio.TaskTimeout:
            raise AnswerTimeout(address, timeout) from None

    async def _fetch(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        timeout: float,
        fresh: bool,
        before_send: BeforeSend | None,
        unframed: Unframed,
    ) -> Answer:
        limit = self._limits.max_body
        parts: list[bytes] = []
        size = 0
        async with self.stream(
            address,
            method,
            path,
            headers,
            body,
            timeout,
            fresh,
            before_send,
            unframed,
        ) as answer:
            async for piece in answer.chunks():
                size += len(piece)
                if size > limit:
                    raise AnswerMalformed(address, f"more than {limit} bytes")
                parts.append(piece)
        return Answer(answer.status, answer.headers, b"".join(parts))

    async def is_refused(self, address: str) -> bool:
        """Return whether connections to an address are refused: its server has ended.

        Args:
            address: ``host:port`` of the server.
        """
        host, port = parse_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = curio.io.Socket(socket.socket(family, socket.SOCK_STREAM))
        try:
            async with curio.timeout_after(self._connect_timeout):
                await sock.connect((host, port))
        except ConnectionRefusedError:
            return True
        except (OSError, curio.TaskTimeout):
            # Unknown: there is no route, or the connection timed out.
            return False
        finally:
            await sock.close()
        return False

    async def connect(self, address: str, max_idle: float) -> None:
        """Have a connection ready for the next request to an address.

        Args:
            address: ``host:port`` of the server.
            max_idle: Maximum seconds that a pooled connection may have been idle; if
                there is none, a new one is opened.

        Raises:
            ConnectFailed: The server doesn't accept connections.
        """
        if self._pool.has_recent(address, max_idle):
            return
        wire = await self._open(address)
        await self._pool.add(address, self._new_connection(), wire)

    def _new_connection(self) -> h11.Connection:
        return h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self._limits.max_head
        )

    async def _open(self, address: str) -> Wire:
        host, port = parse_address(address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = curio.io.Socket(socket.socket(family, socket.SOCK_STREAM))
        try:
            async with curio.timeout_after(self._connect_timeout):
                await sock.connect((host, port))
            return await self._settled(Wire(sock))
        except (OSError, curio.TaskTimeout) as exc:
            await sock.close()
            detail = getattr(exc, "strerror", None) or "timed out"
            timed_out = getattr(exc, "errno", None) in NO_ROUTE_ERRORS
            raise ConnectFailed(address, detail, timed_out) from None
        except BaseException:
            await sock.close()
            raise

    async def _settled(self, wire: Wire) -> Wire:
        """Wait for `settle` seconds and check that the connection wasn't reset."""
        if self._settle:
            await curio.sleep(self._settle)
            if wire.poll() is not None:
                raise ConnectionResetError(0, "reset before the request")
        return wire

    async def close(self) -> None:
        """Close the pooled connections and stop monitoring answers."""
        await self._stall_monitor.close()
        await self._pool.close()

    def _pairs(self, address: str, headers: dict[str, str], body: bytes) -> Pairs:
        pairs = header_pairs(headers)
        if "host" not in headers:
            pairs.insert(0, (b"Host", address.encode("ascii")))
        if body:
            pairs.append((b"Content-Length", b"%d" % len(body)))
        return pairs


class ClientExchange:
    """Context manager for one request; see ``HttpClient.stream``."""

    def __init__(
        self,
        client: HttpClient,
        address: str,
        request: h11.Request,
        body: bytes,
        timeout: float,
        fresh: bool,
        before_send: BeforeSend | None,
        unframed: Unframed = Unframed.REFUSED,
        max_idle: float = math.inf,
        accept: Accept | None = None,
    ) -> None:
        self._client = client
        self._address = address
        self._request = request
        self._body = body
        self._timeout = timeout
        self._fresh = fresh
        self._before_send = before_send
        self._unframed = unframed
        self._max_idle = max_idle
        self._accept = accept
        self._sender: curio.Task | None = None
        self._interim_answers = 0
        self._reused = False
        self._conn: h11.Connection
        self._wire: Wire
        self._answer: ClientAnswer | None = None

    async def __aenter__(self) -> ClientAnswer:
        await self._connect()
        try:
            await self._send()
            self._answer = await self._read_head()
            skipped = 0
            while not self._is_accepted(self._answer):
                skipped += 1
                if skipped > MAX_STALE_ANSWERS:
                    raise AnswerMalformed(self._address, "too many stale answers")
                await self._skip_stale_answer()
                self._answer = await self._read_head()
            await self._client._stall_monitor.add(self._answer)
        except BaseException:
            await self._end_sending()
            await self._reset()
            raise
        return self._answer

    async def __aexit__(self, *exc_info: object) -> None:
        self._client._stall_monitor.remove(self._answer)
        sent = await self._end_sending()
        if self._answer.complete and sent:
            await self._client._pool.put(self._address, self._conn, self._wire)
            return
        if self._answer.complete:
            await self._wire.close()
            return
        await self._reset()

    async def _reset(self) -> None:
        """Reset the connection, so that data in the send buffers is dropped.

        After an ordinary close, a request that is delayed by a slow link would still
        arrive and be served although its caller no longer waits for it.
        """
        self._wire.reset_on_close()
        await self._wire.close()

    async def _connect(self) -> None:
        if not self._fresh:
            pool = self._client._pool
            idle = await pool.take(self._address, self._max_idle)
            if idle is not None:
                self._conn, self._wire, self._reused = idle.conn, idle.wire, True
                return
        self._wire = await self._client._open(self._address)
        self._conn = self._client._new_connection()

    async def _send(self) -> None:
        self._wire.sent = 0
        data = self._conn.send(self._request)
        if self._body:
            data += self._conn.send(h11.Data(data=self._body))
        data += self._conn.send(h11.EndOfMessage())
        if self._before_send is not None:
            self._before_send()
        if not self._wire.send_now(data):
            # A server may answer before it has read a long body, and then stop
            # reading. If the whole body were sent before the answer is read, the
            # request would block forever.
            self._sender = await curio.spawn(self._send_rest, daemon=True)

    async def _send_rest(self) -> None:
        try:
            await self._wire.send_rest(self._timeout)
        except (curio.TaskTimeout, OSError):
            # The task that reads the answer reports the error.
            self._wire.finish_sending()

    async def _end_sending(self) -> bool:
        """Stop sending; return whether the whole request was sent."""
        if self._sender is None:
            return True
        sent = not self._wire.unsent
        await self._sender.cancel()
        return sent

    def _no_answer_error(self) -> NotSent | AnswerCut:
        """Return the error for a connection that ended before any byte of an answer."""
        if self._wire.sent == 0:
            return NotSent(self._address, certain=True)
        if self._reused:
            return NotSent(self._address, certain=False)
        return AnswerCut(self._address)

    def _is_accepted(self, answer: ClientAnswer) -> bool:
        if self._accept is None or not self._reused:
            return True
        return self._accept(answer.status, answer.headers)

    async def _skip_stale_answer(self) -> None:
        """Read and discard an answer that belongs to an earlier request.

        h11 expects one answer for each request, so the next answer is parsed by a new
        h11 connection object, in which the same request is recorded again.
        """
        async for _ in self._answer.chunks():
            continue
        rest = self._conn.trailing_data[0]
        self._conn = self._client._new_connection()
        self._conn.send(self._request)
        if self._body:
            self._conn.send(h11.Data(data=self._body))
        self._conn.send(h11.EndOfMessage())
        if rest:
            self._conn.receive_data(rest)

    async def _read_head(self) -> ClientAnswer:
        received = False
        self._interim_answers = 0
        while True:
            event = self._next_event()
            if event is not h11.NEED_DATA:
                break
            data = await self._receive(received)
            received = True
            self._conn.receive_data(data)
        if not isinstance(event, h11.Response):
            raise AnswerMalformed(self._address, "no answer head")
        self._check_head(event)
        headers = headers_of(event.headers)
        self._check_length(event.status_code, headers)
        return ClientAnswer(
            self._conn,
            self._wire,
            self._address,
            self._timeout,
            event.status_code,
            headers,
        )

    async def _receive(self, received: bool) -> bytes:
        try:
            data = await self._wire.receive(self._timeout)
        except curio.TaskTimeout:
            raise AnswerTimeout(self._address, self._timeout) from None
        except OSError:
            data = b""
        if data:
            return data
        if received:
            raise AnswerCut(self._address)
        raise self._no_answer_error()

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA]:
        try:
            while True:
                event = self._conn.next_event()
                if not isinstance(event, h11.InformationalResponse):
                    return event
                self._interim_answers += 1
                if self._interim_answers > MAX_INTERIM_ANSWERS:
                    raise AnswerMalformed(self._address, "too many interim answers")
        except h11.RemoteProtocolError as exc:
            raise AnswerMalformed(self._address, str(exc)) from exc

    def _check_head(self, event: h11.Response) -> None:
        """Refuse what HTTP doesn't allow and h11 lets pass."""
        if event.status_code > MAX_STATUS:
            raise AnswerMalformed(self._address, f"status {event.status_code}")
        if not event.http_version.startswith(b"1."):
            version = event.http_version.decode("ascii", "replace")
            raise AnswerMalformed(self._address, f"version {version}")
        for name, value in event.headers:
            if CONTROL_CHARACTERS.search(value):
                field = name.decode("ascii", "replace")
                raise AnswerMalformed(self._address, f"control character in {field}")

    def _check_length(self, status: int, headers: dict[str, str]) -> None:
        # An answer that ends with its connection does not show whether it is
        # complete or truncated: a part of it would be relayed as the whole.
        if status in BODYLESS_STATUSES or self._request.method == b"HEAD":
            return
        if self._unframed is Unframed.ACCEPTED:
            return
        if self._unframed is Unframed.EVENT_STREAMS and is_event_stream(headers):
            return
        if "content-length" in headers or "transfer-encoding" in headers:
            return
        raise AnswerMalformed(
            self._address, "neither Content-Length nor chunked: may be truncated"
        )
