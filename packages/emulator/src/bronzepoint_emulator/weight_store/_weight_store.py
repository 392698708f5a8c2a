"""The store: it serves so many fetches a second and refuses the rest."""

import math
import time

import curio
import msgspec

from bronzepoint_common.http import Exchange, HttpServer
from bronzepoint_emulator._serving import JSON_HEADERS, stand_in_limits
from bronzepoint_schema.generated.emulator import WeightStoreCounts, WeightStorePlan


class WeightStore:
    """Serves ``GET /weights/{model}/{version}`` within a rate.

    Args:
        plan: Address, rate a second, burst, and seconds that a fetch takes.
    """

    def __init__(self, plan: WeightStorePlan) -> None:
        self.counts = WeightStoreCounts()
        self._plan = plan
        self._tokens = float(plan.burst)
        self._refilled = time.monotonic()
        self._server = HttpServer(self._handle, stand_in_limits())

    async def start(self) -> None:
        """Begin to serve."""
        await self._server.start(self._plan.listen)

    async def close(self) -> None:
        """Stop."""
        await self._server.close(0.0)

    async def _handle(self, exchange: Exchange) -> None:
        path = exchange.request.path
        if path == "/counts":
            body = msgspec.json.encode(self.counts)
            await exchange.respond(200, JSON_HEADERS, body)
        elif not path.startswith("/weights/"):
            await exchange.respond(404, JSON_HEADERS, b"{}")
        elif self.take():
            await curio.sleep(self._plan.duration)
            await exchange.respond(200, JSON_HEADERS, b"{}")
        else:
            wait = math.ceil((1 - self._tokens) / self._plan.rate)
            headers = JSON_HEADERS | {"retry-after": str(wait)}
            await exchange.respond(429, headers, b"{}")

    def take(self) -> bool:
        """Count one fetch; False where the rate is used up."""
        now = time.monotonic()
        gained = (now - self._refilled) * self._plan.rate
        self._tokens = min(float(self._plan.burst), self._tokens + gained)
        self._refilled = now
        if self._tokens < 1:
            self.counts.limited += 1
            return False
        self._tokens -= 1
        self.counts.served += 1
        return True
