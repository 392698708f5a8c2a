"""A plain service that answers any path and counts each run."""

from typing import Any

import curio
import msgspec

from bronzepoint_common.http import Exchange, HttpServer
from bronzepoint_emulator._faults import merge_faults
from bronzepoint_emulator._serving import JSON_HEADERS, stub_limits
from bronzepoint_schema.generated.emulator import RunCounts, ServiceSpec, TargetFaults

CROSSED_REQUEST_ID = "answer-of-another-request"
"""Request id in the answers of a target with the fault ``crossed``."""
REFUSED_RETRY_AFTER = "1"
"""Retry-After header of refusals, in seconds."""


class PlainService:
    """Serves one plain service on one port.

    It does not deduplicate calls, so its counts show whether the gateway prevented a
    call from running twice.

    Args:
        spec: Name, address and duration of a call (s).
    """

    def __init__(self, spec: ServiceSpec) -> None:
        self.spec = spec
        self.faults = TargetFaults()
        self.counts = RunCounts()
        self._server = HttpServer(self._handle, stub_limits())

    async def start(self) -> None:
        """Start serving."""
        await self._server.start(self.spec.listen)

    async def close(self) -> None:
        """Stop serving."""
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
        _increment(counts.requests, headers.get("x-request-id", ""))
        _increment(counts.keys, headers.get("idempotency-key", ""))
        _increment(counts.nonces, _nonce(body))

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
            request_id = CROSSED_REQUEST_ID
        headers = JSON_HEADERS | {"x-request-id": request_id}
        if self.faults.leaving:
            headers["x-leaving"] = "1"
        return headers


def _increment(counts: dict[str, int], name: str) -> None:
    if name:
        counts[name] = counts.get(name, 0) + 1


def _nonce(body: bytes) -> str:
    """Return the nonce in a JSON body; empty if there is none."""
    try:
        content: Any = msgspec.json.decode(body)
    except msgspec.MsgspecError:
        return ""
    return str(content.get("nonce", "")) if isinstance(content, dict) else ""
