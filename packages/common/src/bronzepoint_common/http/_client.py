"""HTTP client with kept connections."""

import math
import socket
from collections.abc import Callable

import curio
import h11

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
from bronzepoint_common.http._stall_watch import StallWatch
from bronzepoint_common.http._wire import Wire

BODYLESS_STATUSES = (204, 304)
BeforeSend = Callable[[], None]
Accept = Callable[[int, dict[str, str]], bool]


class HttpClient:
    """Sends requests over kept connections; one instance for a process.

    Args:
        limits: Bounds on sizes and times.
        connect_timeout: Seconds to connect.
        settle: Seconds to wait on a new connection before anything is written. A
            server with too many connections accepts and resets at once; met after
            the request was written, the reset proves nothing, and a request that
            may not run twice is lost.
    """

    def __init__(
        self, limits: HttpLimits, connect_timeout: float, settle: float = 0.0
    ) -> None:
        self._limits = limits
        self._connect_timeout = connect_timeout
        self._settle = settle
        # Shorter than the server's own time, so that it is seldom the server
        # that closes, perhaps just as the next request is on its way.
        self._pool = ConnectionPool(limits.idle_timeout / 2)
        self._watch = StallWatch()

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
        unframed: bool = False,
        max_idle: float = math.inf,
        accept: Accept | None = None,
    ) -> "ClientExchange":
        """Send a request; ``async with`` gives its answer in progress.

        Leaving the context before the end resets the connection, by which the
        server sees that nobody wants the rest.

        Args:
            address: ``host:port`` of the server.
            method: HTTP method.
            path: Path and query, as they are sent.
            headers: Headers besides Content-Length; ``host`` where it isn't the
                address.
            body: Whole body.
            timeout: Seconds to wait for the head, and for each further piece.
            fresh: True: open a new connection, so that a failure to connect
                proves that nothing was sent.
            max_idle: Seconds for which a kept connection may have been idle: the
                longer, the likelier the server closes it just now.
            accept: Tells by status and headers whether an answer is the one to this
                request. One that isn't, on a kept connection, is a late or second
                answer to a former request; it is read and dropped.
            before_send: Called when the connection is there, right before the first
                byte is written; where it raises, nothing is sent. A check made
                earlier may be out of date by now: connecting takes time.
            unframed: True: take an answer without a length, which ends with its
                connection; one that is reset counts as cut.

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
    ) -> Answer:
        """Send a request and read its whole answer within ``timeout`` seconds.

        Raises as ``stream``, and AnswerMalformed where it exceeds max_body.
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
    ) -> Answer:
        limit = self._limits.max_body
        parts: list[bytes] = []
        size = 0
        async with self.stream(
            address, method, path, headers, body, timeout, fresh, before_send
        ) as answer:
            async for piece in answer.chunks():
                size += len(piece)
                if size > limit:
                    raise AnswerMalformed(address, f"more than {limit} bytes")
                parts.append(piece)
        return Answer(answer.status, answer.headers, b"".join(parts))

    async def is_refused(self, address: str) -> bool:
        """Tell whether nothing listens at an address: its server has ended.

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
            # It can't be told: no route, or no answer in time.
            return False
        finally:
            await sock.close()
        return False

    async def close(self) -> None:
        """Close the kept connections and stop looking after answers."""
        await self._watch.close()
        await self._pool.close()

    def _pairs(self, address: str, headers: dict[str, str], body: bytes) -> Pairs:
        pairs = header_pairs(headers)
        if "host" not in headers:
            pairs.insert(0, (b"Host", address.encode("ascii")))
        if body:
            pairs.append((b"Content-Length", b"%d" % len(body)))
        return pairs


class ClientExchange:
    """Context manager around one request; see ``HttpClient.stream``."""

    def __init__(
        self,
        client: HttpClient,
        address: str,
        request: h11.Request,
        body: bytes,
        timeout: float,
        fresh: bool,
        before_send: BeforeSend | None,
        unframed: bool = False,
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
        self._reused = False
        self._conn: h11.Connection
        self._wire: Wire
        self._answer: ClientAnswer | None = None

    async def __aenter__(self) -> ClientAnswer:
        await self._connect()
        try:
            await self._send()
            self._answer = await self._read_head()
            while not self._is_own(self._answer):
                await self._skip()
                self._answer = await self._read_head()
            await self._client._watch.add(self._answer)
        except BaseException:
            await self._end_sending()
            await self._give_up()
            raise
        return self._answer

    async def __aexit__(self, *exc_info: object) -> None:
        self._client._watch.remove(self._answer)
        sent = await self._end_sending()
        if self._answer.complete and sent:
            await self._client._pool.put(self._address, self._conn, self._wire)
            return
        if self._answer.complete:
            await self._wire.close()
            return
        await self._give_up()

    async def _give_up(self) -> None:
        """Close so that what still lies in buffers on the way is dropped.

        Closed in the ordinary way, a request that a slow link holds up would arrive,
        and be worked on, after nobody wants it any more.
        """
        self._wire.reset_on_close()
        await self._wire.close()

    async def _connect(self) -> None:
        if not self._fresh:
            pool = self._client._pool
            kept = await pool.take(self._address, self._max_idle)
            if kept is not None:
                self._conn, self._wire, self._reused = kept.conn, kept.wire, True
                return
        self._wire = await self._open()
        self._conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self._client._limits.max_head
        )

    async def _open(self) -> Wire:
        host, port = parse_address(self._address)
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        sock = curio.io.Socket(socket.socket(family, socket.SOCK_STREAM))
        try:
            async with curio.timeout_after(self._client._connect_timeout):
                await sock.connect((host, port))
            return await self._settled(Wire(sock))
        except (OSError, curio.TaskTimeout) as exc:
            await sock.close()
            detail = getattr(exc, "strerror", None) or "no answer in time"
            raise ConnectFailed(self._address, detail) from None
        except BaseException:
            await sock.close()
            raise

    async def _settled(self, wire: Wire) -> Wire:
        if self._client._settle:
            await curio.sleep(self._client._settle)
            if wire.poll() is not None:
                raise ConnectionResetError(0, "reset before the request")
        return wire

    async def _send(self) -> None:
        self._wire.sent = 0
        data = self._conn.send(self._request)
        if self._body:
            data += self._conn.send(h11.Data(data=self._body))
        data += self._conn.send(h11.EndOfMessage())
        if self._before_send is not None:
            self._before_send()
        if not self._wire.send_now(data):
            # A server may answer before it has read a long body, and read no more
            # of it. Written to the end first, the request would wait for good, and
            # its answer would lie unread.
            self._sender = await curio.spawn(self._send_rest, daemon=True)

    async def _send_rest(self) -> None:
        try:
            await self._wire.send_rest(self._timeout)
        except (curio.TaskTimeout, OSError):
            # The reading side sees the end of the connection too.
            self._wire.finish_sending()

    async def _end_sending(self) -> bool:
        """Stop sending; True where the whole request was sent."""
        if self._sender is None:
            return True
        sent = not self._wire.unsent
        await self._sender.cancel()
        return sent

    def _unanswered(self) -> NotSent | AnswerCut:
        """Tell how much may have happened when no byte of an answer came."""
        if self._wire.sent == 0:
            return NotSent(self._address, certain=True)
        if self._reused:
            return NotSent(self._address, certain=False)
        return AnswerCut(self._address)

    def _is_own(self, answer: ClientAnswer) -> bool:
        if self._accept is None or not self._reused:
            return True
        return self._accept(answer.status, answer.headers)

    async def _skip(self) -> None:
        """Read an answer that belongs to a former request, to its end.

        h11 expects one answer to one request, so the next one is read by a connection
        object that is told of the same request once more.
        """
        async for _ in self._answer.chunks():
            continue
        rest = self._conn.trailing_data[0]
        self._conn = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=self._client._limits.max_head
        )
        self._conn.send(self._request)
        if self._body:
            self._conn.send(h11.Data(data=self._body))
        self._conn.send(h11.EndOfMessage())
        if rest:
            self._conn.receive_data(rest)

    async def _read_head(self) -> ClientAnswer:
        received = False
        while True:
            event = self._next_event()
            if event is not h11.NEED_DATA:
                break
            data = await self._receive(received)
            received = True
            self._conn.receive_data(data)
        if not isinstance(event, h11.Response):
            raise AnswerMalformed(self._address, "no answer head")
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
        raise self._unanswered()

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA]:
        try:
            while True:
                event = self._conn.next_event()
                if not isinstance(event, h11.InformationalResponse):
                    return event
        except h11.RemoteProtocolError as exc:
            raise AnswerMalformed(self._address, str(exc)) from exc

    def _check_length(self, status: int, headers: dict[str, str]) -> None:
        # An answer whose end is the end of the connection looks the same whole
        # and cut: a part of it would be passed on as if it were all.
        if status in BODYLESS_STATUSES or self._request.method == b"HEAD":
            return
        if self._unframed:
            return
        if "content-length" in headers or "transfer-encoding" in headers:
            return
        raise AnswerMalformed(
            self._address, "neither Content-Length nor chunked: a cut can't be seen"
        )
