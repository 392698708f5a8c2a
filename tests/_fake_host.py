"""A fake host with prepared answers, for tests of the command line."""

import threading
from dataclasses import dataclass, field

import curio
import msgspec

from bronzepoint_common.http import Exchange, HttpLimits, HttpServer
from bronzepoint_schema.generated.decisions import ErrorBody


@dataclass
class Reply:
    """One prepared answer.

    `cut` resets the connection before the answer is complete; `hang` never completes
    the answer.
    """

    body: object = None
    status: int = 200
    cut: bool = False
    hang: bool = False
    stream: list[bytes] = field(default_factory=list)


class FakeHost:
    """Serves prepared replies from a thread of its own.

    Args:
        replies: Replies by ``METHOD /path``; each is sent once, the last one any number
            of times.
    """

    def __init__(self, replies: dict[str, list[Reply]]) -> None:
        self.requests: list[tuple[str, dict[str, str], bytes]] = []
        self.address = ""
        self._replies = replies
        self._ready = threading.Event()
        self._stop = curio.UniversalEvent()
        self._thread = threading.Thread(target=curio.run, args=(self._run,))

    def start(self) -> "FakeHost":
        """Start serving."""
        self._thread.start()
        self._ready.wait(30)
        return self

    def close(self) -> None:
        """Stop serving."""
        self._stop.set()
        self._thread.join(30)

    def sent(self, route: str) -> list[tuple[dict[str, str], bytes]]:
        """Return headers and body of each request to one route."""
        return [(head, body) for name, head, body in self.requests if name == route]

    async def _run(self) -> None:
        server = HttpServer(self._handle, HttpLimits())
        await server.start("127.0.0.1:0")
        self.address = server.address
        self._ready.set()
        await self._stop.wait()
        await server.close(1.0)

    async def _handle(self, exchange: Exchange) -> None:
        request = exchange.request
        route = f"{request.method} {request.path}"
        self.requests.append((route, request.headers, await exchange.body()))
        replies = self._replies.get(route, [Reply({"no": route}, 500)])
        reply = replies.pop(0) if len(replies) > 1 else replies[0]
        headers = {
            "Content-Type": "application/json",
            "Bronzepoint-Host": "bkk-1",
            "Bronzepoint-Region": "bkk",
            "Bronzepoint-Request-Id": "bkk-1.bkk.0192",
        }
        if isinstance(reply.body, ErrorBody):
            headers["Bronzepoint-Refusal"] = reply.body.error.kind.value
        if reply.stream:
            await exchange.start_stream(200, headers)
            for chunk in reply.stream:
                await exchange.send(chunk)
        if reply.hang:
            await exchange.wait_disconnect()
        if reply.cut or reply.hang:
            await exchange.abort()
        elif reply.stream:
            await exchange.end()
        else:
            body = msgspec.json.encode(reply.body)
            await exchange.respond(reply.status, headers, body)
