"""Orders to an engine, which may check or ignore their fencing numbers."""

import curio
from msgspec import Struct

from bronzepoint_common.http import Answer, HttpClient, HttpError
from bronzepoint_schema.generated.emulator import (
    EngineSpec,
    OrderCheck,
    OrderRecord,
    OrderResult,
    RunCounts,
)
from bronzepoint_schema.generated.platform import EngineState, Order

FETCH_TIMEOUT = 30.0
"""Seconds to wait for the weight store."""
DEFAULT_RETRY_AFTER = "1"
"""Seconds reported where the weight store gives no Retry-After header."""


class OrderOutcome(Struct):
    """Result of an order, and the Retry-After header if it may be sent again."""

    result: OrderResult
    retry_after: str = ""


class Orders:
    """Checks orders and applies them.

    Args:
        spec: Whether fencing numbers are checked, and the load time (s).
        weight_store: ``host:port``; if empty, weights need no fetch.
        client: HTTP client for the weight store.
        counts: Record of the orders received.
    """

    def __init__(
        self,
        spec: EngineSpec,
        weight_store: str,
        client: HttpClient,
        counts: RunCounts,
    ) -> None:
        self.state = EngineState(model=spec.model, version=spec.version)
        self._spec = spec
        self._weight_store = weight_store
        self._client = client
        self._counts = counts
        self._loads = 0

    async def submit(self, order: Order) -> OrderOutcome:
        """Apply an order, or refuse it as stale or rate limited."""
        outcome = await self._decide(order)
        self._counts.orders.append(
            OrderRecord(
                order.order,
                outcome.result,
                order.version,
                order.role,
                order.fencing_number,
            )
        )
        return outcome

    async def _decide(self, order: Order) -> OrderOutcome:
        if not self._accept_fencing_number(order):
            return OrderOutcome(OrderResult.fenced)
        if order.order == self.state.order:
            return OrderOutcome(OrderResult.repeated)
        if self._needs_weights(order):
            answer = await self._fetch(order)
            if answer is None or answer.status != 200:
                headers = answer.headers if answer else {}
                wait = headers.get("retry-after", DEFAULT_RETRY_AFTER)
                return OrderOutcome(OrderResult.rate_limited, wait)
            # A newer order, or a resend of this one, may have been applied during the
            # fetch.
            if not self._accept_fencing_number(order):
                return OrderOutcome(OrderResult.fenced)
            if order.order == self.state.order:
                return OrderOutcome(OrderResult.repeated)
        await self._apply(order)
        return OrderOutcome(OrderResult.accepted)

    def _accept_fencing_number(self, order: Order) -> bool:
        if self._spec.check is OrderCheck.unfenced:
            return True
        if order.fencing_number < self.state.fencing_number:
            return False
        self.state.fencing_number = order.fencing_number
        return True

    def _needs_weights(self, order: Order) -> bool:
        state = self.state
        new_model = order.model not in ("", state.model)
        new_version = order.version not in ("", state.version)
        return new_model or new_version or order.adapter not in ("", *state.adapters)

    async def _fetch(self, order: Order) -> Answer | None:
        if not self._weight_store:
            return Answer(200, {}, b"")
        model = order.adapter or order.model or self.state.model or "-"
        path = f"/weights/{model}/{order.version or '-'}"
        try:
            return await self._client.fetch(
                self._weight_store, "GET", path, {}, b"", FETCH_TIMEOUT
            )
        except HttpError:
            return None

    async def _apply(self, order: Order) -> None:
        state = self.state
        if self._needs_weights(order):
            state.loading = True
            self._loads += 1
            await curio.spawn(self._finish_loading, self._loads, daemon=True)
        state.order = order.order
        state.model = order.model or state.model
        state.version = order.version or state.version
        state.role = order.role or state.role
        if order.adapter not in ("", *state.adapters):
            state.adapters.append(order.adapter)

    async def _finish_loading(self, number: int) -> None:
        await curio.sleep(self._spec.load_time)
        if number == self._loads:
            self.state.loading = False
