"""A target that answers some requests with bytes that never end."""

from itertools import count

import curio

from tests._scripted_target import REQUEST_ID, ScriptedTarget, event

PIECE = 65536
"""Bytes that are sent at once."""
HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Bronzepoint-Request-Id: %s\r\n"
    b"X-Bronzepoint-Response-Seal: s\r\n"
)
CHUNK = b"%x\r\n%s\r\n" % (PIECE, b"x" * PIECE)
WAYS = {
    # first bytes, bytes repeated without end
    "body": (HEAD + b"\r\n", b"x" * PIECE),
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "event": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", CHUNK),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * (PIECE // 28)),
    "header": (HEAD + b"X-Endless: ", b"x" * PIECE),
    "header_lines": (HEAD, b"X-Endless: 1\r\n" * (PIECE // 14)),
    "blank_lines": (b"", b"\r\n" * (PIECE // 2)),
    "chunk_size": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"0" * PIECE),
    "trailers": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n0\r\n",
        b"X-Endless: 1\r\n" * (PIECE // 14),
    ),
}
"""Ways in which an answer doesn't end, named in the path of a request."""


class EndlessTarget(ScriptedTarget):
    """Target that never ends its answers to requests for ``/.../endless/WAY``.

    Attributes:
        in_progress: Number of endless answers that are being sent.
        begun: Number of endless answers so far.
    """

    def __init__(self, name, ip, port):
        super().__init__(name, ip, port, set())
        self.in_progress = 0
        self.begun = 0

    async def _serve(self, sock):
        async with sock:
            head = await self._read(sock)
            if head is None:
                return
            path = head.split(b" ", 2)[1].decode()
            found = REQUEST_ID.search(head)
            _, is_endless, way = path.partition("/endless/")
            if not is_endless:
                await sock.sendall(self._whole(found))
                return
            self.begun += 1
            self.in_progress += 1
            try:
                await self._send_endlessly(sock, way, found[1])
            except OSError:
                # The host has closed the connection.
                pass
            finally:
                self.in_progress -= 1

    def _whole(self, found):
        if found is None:
            return b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n"
        body = event(1)
        return HEAD % found[1] + b"Content-Length: %d\r\n\r\n%s" % (len(body), body)

    async def _send_endlessly(self, sock, way, request_id):
        first, repeated = WAYS[way]
        await sock.sendall(first.replace(b"%s", request_id))
        for _ in count():
            await sock.sendall(repeated)
            await curio.sleep(0)
