"""A weight store with a token bucket; fetches above its rate get a 429."""

import math
import time

import curio
import msgspec

from bronzepoint_common.http import Exchange, HttpServer
from bronzepoint_emulator._serving import JSON_HEADERS, stub_limits
from bronzepoint_schema.generated.emulator import WeightStoreCounts, WeightStorePlan


class WeightStore:
    """Serves ``GET /weights/{model}/{version}``, limited by a token bucket.

    Args:
        plan: Address, fetches per second, burst, and duration of a fetch in seconds.
    """

    def __init__(self, plan: WeightStorePlan) -> None:
        self.counts = WeightStoreCounts()
        self._plan = plan
        self._tokens = float(plan.burst)
        self._refilled_at = time.monotonic()
        self._server = HttpServer(self._handle, stub_limits())

    async def start(self) -> None:
        """Start serving."""
        await self._server.start(self._plan.listen)

    async def close(self) -> None:
        """Stop serving."""
        await self._server.close(0.0)

    async def _handle(self, exchange: Exchange) -> None:
        path = exchange.request.path
        if path == "/counts":
            body = msgspec.json.encode(self.counts)
            await exchange.respond(200, JSON_HEADERS, body)
        elif not path.startswith("/weights/"):
            await exchange.respond(404, JSON_HEADERS, b"{}")
        elif self.acquire():
            await curio.sleep(self._plan.duration)
            await exchange.respond(200, JSON_HEADERS, b"{}")
        else:
            wait = math.ceil((1 - self._tokens) / self._plan.rate)
            headers = JSON_HEADERS | {"retry-after": str(wait)}
            await exchange.respond(429, headers, b"{}")

    def acquire(self) -> bool:
        """Take one token and count the fetch; False if the bucket is empty."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._plan.rate
        self._tokens = min(float(self._plan.burst), self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1:
            self.counts.limited += 1
            return False
        self._tokens -= 1
        self.counts.served += 1
        return True
