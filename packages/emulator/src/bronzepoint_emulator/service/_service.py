"""One plain service: it answers any path and counts each run."""

from typing import Any

import curio
import msgspec

from bronzepoint_common.http import Exchange, HttpServer
from bronzepoint_emulator._faults import merge_faults
from bronzepoint_emulator._serving import JSON_HEADERS, stand_in_limits
from bronzepoint_schema.generated.emulator import RunCounts, ServiceSpec, TargetFaults

WRONG_REQUEST_ID = "answer-of-another-request"
REFUSED_RETRY_AFTER = "1"


class PlainService:
    """Serves one plain service on one port.

    It does nothing to run a call only once: what it counts shows whether the gateway
    kept a call from running twice.

    Args:
        spec: Its name, address and how long a call takes.
    """

    def __init__(self, spec: ServiceSpec) -> None:
        self.spec = spec
        self.faults = TargetFaults()
        self.counts = RunCounts()
        self._server = HttpServer(self._handle, stand_in_limits())

    async def start(self) -> None:
        """Begin to serve."""
        await self._server.start(self.spec.listen)

    async def close(self) -> None:
        """Stop."""
        await self._server.close(0.0)

    async def _handle(self, exchange: Exchange) -> None:
        req = exchange.request
        match (req.method, req.path):
            case ("POST", "/control"):
                await self._control(exchange)
            case ("GET", "/counts"):
                body = msgspec.json.encode(self.counts)
                await exchange.respond(200, JSON_HEADERS, body)
            case _ if self.faults.down:
                await exchange.abort()
            case _:
                await self._call(exchange)

    async def _control(self, exchange: Exchange) -> None:
        try:
            self.faults = merge_faults(self.faults, await exchange.body())
        except msgspec.MsgspecError as exc:
            await exchange.respond(400, JSON_HEADERS, str(exc).encode())
            return
        await exchange.respond(200, JSON_HEADERS, msgspec.json.encode(self.faults))

    async def _call(self, exchange: Exchange) -> None:
        body = await exchange.body()
        if self.faults.refuse:
            await self._refuse(exchange)
            return
        self._count(exchange, body)
        if self.faults.hang:
            await exchange.wait_disconnect()
            return
        await curio.sleep(self.spec.duration * self.faults.slow)
        if self.faults.cut_after == 0:
            await exchange.abort()
            return
        await self._answer(exchange, body)

    async def _refuse(self, exchange: Exchange) -> None:
        self.counts.refused += 1
        headers = self._headers(exchange) | {"retry-after": REFUSED_RETRY_AFTER}
        await exchange.respond(503, headers, b'{"error":"overloaded"}')

    def _count(self, exchange: Exchange, body: bytes) -> None:
        headers = exchange.request.headers
        counts = self.counts
        _add(counts.requests, headers.get("x-request-id", ""))
        _add(counts.keys, headers.get("idempotency-key", ""))
        _add(counts.nonces, _nonce(body))

    async def _answer(self, exchange: Exchange, body: bytes) -> None:
        req = exchange.request
        answer = msgspec.json.encode(
            {
                "service": self.spec.name,
                "region": self.spec.region,
                "method": req.method,
                "path": req.path,
                "query": req.query,
                "run": sum(self.counts.requests.values()),
                "echo": _nonce(body) or req.query.get("nonce", ""),
            }
        )
        headers = self._headers(exchange)
        if self.faults.cut_after < 0:
            await exchange.respond(200, headers, answer)
            return
        await exchange.start_stream(200, headers)
        await exchange.send(answer[: len(answer) // 2])
        await exchange.abort()

    def _headers(self, exchange: Exchange) -> dict[str, str]:
        request_id = exchange.request.headers.get("x-request-id", "")
        if self.faults.crossed:
            request_id = WRONG_REQUEST_ID
        headers = JSON_HEADERS | {"x-request-id": request_id}
        if self.faults.leaving:
            headers["x-leaving"] = "1"
        return headers


def _add(counts: dict[str, int], name: str) -> None:
    if name:
        counts[name] = counts.get(name, 0) + 1


def _nonce(body: bytes) -> str:
    """Return the nonce that a test put into a JSON body."""
    try:
        content: Any = msgspec.json.decode(body)
    except msgspec.MsgspecError:
        return ""
    return str(content.get("nonce", "")) if isinstance(content, dict) else ""
