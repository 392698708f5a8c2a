"""A small HTTP/1.1 client and server on asyncio, for clients and stand-ins."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or an answer.

    Attributes:
        line: First line.
        headers: Values by lower-case name.
        body: Whole body.
        complete: Whether the body arrived whole.
    """

    line: str
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.line.split()[1])

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.line.split()[0]

    @property
    def target(self) -> str:
        """Path and query of a request."""
        return self.line.split()[1]


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, found, value = line.partition(":")
        if found:
            headers[name.strip().lower()] = value.strip()
    message = Message(lines[0], headers)
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            message.body = await _read_chunks(reader)
        else:
            size = int(headers.get("content-length", "0"))
            message.body = await reader.readexactly(size)
    except (asyncio.IncompleteReadError, ConnectionError):
        message.complete = False
    return message


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        parts.append((await reader.readexactly(size + 2))[:-2])
        if size == 0:
            return b"".join(parts)


def encode(line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a message with a length."""
    fields = {**headers, "Content-Length": str(len(body))}
    head = [line, *(f"{name}: {value}" for name, value in fields.items()), "", ""]
    return "\r\n".join(head).encode("latin-1") + body


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout: float = 5.0,
) -> Message | None:
    """Send a request on a new connection; None if no answer comes in time."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": address, **(headers or {})}
            writer.write(encode(f"{method} {target} HTTP/1.1", fields, body))
            await writer.drain()
            return await read_message(reader)
    except (TimeoutError, OSError):
        return None
    finally:
        if writer is not None:
            writer.close()


Answer = tuple[int, dict[str, str], bytes]
Handler = Callable[[Message], Awaitable[Answer | None]]


@dataclass
class Server:
    """Answers requests by a function; an answer of None closes the connection."""

    handler: Handler
    address: str = ""
    _server: asyncio.Server | None = None
    _writers: set = field(default_factory=set)

    async def start(self, address: str) -> None:
        """Listen on ``host:port``."""
        host, _, port = address.rpartition(":")
        self.address = address
        self._server = await asyncio.start_server(
            self._serve, host, int(port), limit=1 << 24, backlog=1024
        )

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if not request.complete:
                    break
                answer = await self.handler(request)
                if answer is None:
                    break
                status, headers, body = answer
                writer.write(encode(f"HTTP/1.1 {status} x", headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()
