"""One request and its answer on a caller's connection."""

import curio
import h11

from bronzepoint_common.http._client_memory import ConnectionShare
from bronzepoint_common.http._errors import (
    BadRequest,
    BodyTooLarge,
    Disconnected,
    MemoryExhausted,
    RequestTimeout,
)
from bronzepoint_common.http._head import Pairs, header_pairs, response_head
from bronzepoint_common.http._limits import HttpLimits
from bronzepoint_common.http._request import Request
from bronzepoint_common.http._wire import Wire

BODYLESS_STATUSES = (204, 304)
CHUNKS_PER_TURN = 64
"""Chunks of a body that are read before other tasks get a turn. Data that has arrived
may hold thousands of small ones."""


class Exchange:
    """One request and its answer.

    A handler sends either one whole answer (``respond``) or a stream
    (``start_stream``, ``send``…, ``end``). All of these raise Disconnected once
    the caller has disconnected.

    Attributes:
        request: Head of the request.
        peer: Address of the caller.
        started: True once any part of the answer was sent.
        ended: True once the answer is complete.
        aborted: True once the answer was aborted.
    """

    def __init__(
        self,
        conn: h11.Connection,
        wire: Wire,
        request: Request,
        peer: str,
        limits: HttpLimits,
        share: ConnectionShare,
        received: int,
        *,
        last: bool,
    ) -> None:
        self.request = request
        self.peer = peer
        self.started = False
        self.ended = False
        self.aborted = False
        self._conn = conn
        self._wire = wire
        self._limits = limits
        self._share = share
        self._last = last
        self._held = received
        self._body = self._body_if_empty()
        self._early_bytes = 0
        share.resize(self._held)
        share.at_work = self._body is not None

    def _body_if_empty(self) -> bytes | None:
        headers = self.request.headers
        if "transfer-encoding" in headers or headers.get("content-length", "0") != "0":
            return None
        self._next_event()  # the end of the message, available immediately
        return b""

    def announce_close(self) -> None:
        """Announce in the answer that the connection closes after it."""
        self._last = True

    async def body(self) -> bytes:
        """Read the whole body.

        Raises:
            BodyTooLarge: The body exceeds the limit; the rest isn't read.
            MemoryExhausted: There is no room for it.
            BadRequest: The body isn't valid HTTP.
            RequestTimeout: The body took too long to arrive.
            Disconnected: The caller disconnected before the end of the body.
        """
        if self._body is None:
            timeout = self._limits.idle_timeout
            try:
                async with curio.timeout_after(timeout):
                    self._body = await self._read_body()
            except curio.TaskTimeout:
                raise RequestTimeout(timeout) from None
        return self._body

    async def _read_body(self) -> bytes:
        limit = self._limits.max_body
        if int(self.request.headers.get("content-length", "0")) > limit:
            raise BodyTooLarge(limit)
        if self._conn.they_are_waiting_for_100_continue:
            await self._write(h11.InformationalResponse(status_code=100, headers=[]))
        body = bytearray()
        chunks = 0
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                data = await self._receive()
                self._held += len(data)
                self._share.resize(self._held)
                self._conn.receive_data(data)
            elif isinstance(event, h11.Data):
                if len(body) + len(event.data) > limit:
                    raise BodyTooLarge(limit)
                body += event.data
                chunks += 1
                if chunks % CHUNKS_PER_TURN == 0:
                    await curio.sleep(0)
            else:
                # Chunked data may be much longer than the body that it holds.
                self._held = min(self._held, self._limits.max_head + len(body))
                self._share.resize(self._held)
                self._share.at_work = True
                return bytes(body)

    def _next_event(self) -> h11.Event | type[h11.NEED_DATA]:
        try:
            return self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            raise BadRequest(str(exc)) from exc

    async def _receive(self) -> bytes:
        try:
            data = await self._wire.receive(self._limits.idle_timeout)
        except OSError as exc:
            raise Disconnected(str(exc)) from exc
        if not data:
            raise Disconnected("it closed the connection during its request")
        return data

    async def respond(
        self, status: int, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Send a whole answer in one write."""
        pairs = self._pairs(headers)
        pairs.append((b"Content-Length", b"%d" % len(body)))
        head = response_head(status, pairs)
        self.started = True
        events: list[h11.Event] = [head]
        if body and self._carries_body(status):
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        await self._write(*events)
        self.ended = True

    def _carries_body(self, status: int) -> bool:
        return self.request.method != "HEAD" and status not in BODYLESS_STATUSES

    async def start_stream(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of a stream; its pieces are sent as chunks."""
        self.started = True
        if self._ends_with_connection:
            # Also resets if this process is killed: its end would look like the end of
            # the answer.
            self._wire.reset_on_close()
        pairs = self._pairs(headers)
        pairs.append((b"Transfer-Encoding", b"chunked"))
        await self._write(response_head(status, pairs))

    async def send(self, chunk: bytes) -> None:
        """Send one piece of a stream.

        Raises:
            Disconnected: The caller disconnected, or read nothing for write_timeout.
        """
        if not chunk or self.request.method == "HEAD":
            return
        if self.aborted:
            raise Disconnected("its answer was aborted")
        data = self._conn.send(h11.Data(data=chunk))
        if not self._wire.send_now(data):
            await self._write_rest()

    async def end(self) -> None:
        """End a stream as complete."""
        await self._write(h11.EndOfMessage())
        if self._ends_with_connection:
            self._wire.deliver_on_close()
        self.ended = True

    @property
    def _ends_with_connection(self) -> bool:
        """Whether the end of a stream is marked by the end of the connection only."""
        return self._conn.their_http_version == b"1.0"

    async def abort(self) -> None:
        """Abort the answer, so that the caller can't mistake it for a complete one.

        The connection is reset, not just closed: many clients treat the end of a
        connection between two chunks as the end of the answer, though the last
        chunk is missing. The task of the connection closes it after the handler has
        returned, since another task may still wait on the socket, and curio fails if
        a descriptor is closed while a task waits on it.
        """
        self.aborted = True
        self._wire.reset_on_close()

    def check_connected(self) -> None:
        """Check without blocking whether the caller is still connected.

        After a pause of the process, there are requests whose callers have disconnected
        in the meantime, and they are read before the task of `wait_disconnect` runs.

        Raises:
            Disconnected: The caller has disconnected.
        """
        if self._wire.has_ended():
            raise Disconnected("it closed the connection")

    async def wait_disconnect(self) -> None:
        """Return when the caller has disconnected; runs concurrently with the handler.

        Reads data that the caller sends before the answer ends, up to the limit of a
        head.
        """
        while self._early_bytes <= self._limits.max_head:
            try:
                # Nearly always there is nothing to read, so no read is tried first.
                data = await self._wire.receive_next()
            except OSError:
                return
            if not data:
                return
            self._early_bytes += len(data)
            self._held += len(data)
            try:
                self._share.resize(self._held)
            except MemoryExhausted:
                return
            self._conn.receive_data(data)

    def _pairs(self, headers: dict[str, str]) -> Pairs:
        pairs = header_pairs(headers)
        if self._last:
            pairs.append((b"Connection", b"close"))
        return pairs

    async def _write(self, *events: h11.Event) -> None:
        if self.aborted:
            raise Disconnected("its answer was aborted")
        if not self._send_now(events):
            await self._write_rest()

    def _send_now(self, events: tuple[h11.Event, ...]) -> bool:
        """Write events without blocking; return False if a part of them is left."""
        return self._wire.send_now(
            b"".join([self._conn.send(event) or b"" for event in events])
        )

    async def _write_rest(self) -> None:
        self._share.at_work = False
        try:
            self._share.resize(self._held + self._wire.unsent)
            await self._wire.send_rest(self._limits.write_timeout)
            self._share.resize(self._held)
            self._share.at_work = True
        except MemoryExhausted:
            self.aborted = True
            raise Disconnected("it doesn't read, and no memory is left") from None
        except curio.TaskTimeout:
            self.aborted = True
            stalled = self._limits.write_timeout
            raise Disconnected(f"it read nothing for {stalled:g} s") from None
        except OSError as exc:
            self.aborted = True
            raise Disconnected(str(exc)) from exc
