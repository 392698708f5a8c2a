"""Small HTTP/1.1 stand-ins: a requester's call, and the server side of a channel."""

import asyncio
from dataclasses import dataclass, field


@dataclass
class Head:
    """Head of a request, with its whole body."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes = b""


@dataclass
class Reply:
    """A whole answer; status 0 if the channel ended before the end of the answer."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @staticmethod
    def encode(status, headers, body=b""):
        """Return the bytes of an answer with a length."""
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode() + body


async def read_head(reader):
    """Read a request with its body; None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = raw.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ")
    headers = _headers(lines)
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return Head(method, path, headers, body)


def _headers(lines):
    pairs = (line.partition(":") for line in lines if line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


async def ask(address, method, path, headers, body=b"", timeout=5.0):
    """Send a request on a new channel and read the whole answer.

    Raises:
        OSError, TimeoutError: There was no channel, or no answer.
    """
    async with asyncio.timeout(timeout):
        channel = await Channel.open(address)
        try:
            return await channel.ask(method, path, headers, body)
        finally:
            channel.close()


class Channel:
    """A requester's kept channel."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address):
        """Open a channel."""
        host, port = address.split(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    def close(self):
        """Close the channel."""
        self.writer.close()

    async def ask(self, method, path, headers, body=b""):
        """Send a request and read the whole answer."""
        sent = {"Host": "h.example", **headers}
        if body:
            sent["Content-Length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in sent.items()]
        self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await self.writer.drain()
        try:
            return await self._read_answer()
        except (asyncio.IncompleteReadError, ConnectionError):
            return Reply(0)

    async def _read_answer(self):
        raw = await self.reader.readuntil(b"\r\n\r\n")
        first, *lines = raw.decode("latin-1").split("\r\n")
        status = int(first.split(" ")[1])
        headers = _headers(lines)
        if headers.get("transfer-encoding") == "chunked":
            return Reply(status, headers, await self._read_chunks())
        length = int(headers.get("content-length", "0"))
        return Reply(status, headers, await self.reader.readexactly(length))

    async def _read_chunks(self):
        body = b""
        while True:
            line = await self.reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            body += (await self.reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
