"""HTTP client that reads the state of engines and sends them orders."""

from collections.abc import Callable

import msgspec

from bronzepoint_common.decoding import Undecodable, decode
from bronzepoint_common.http import (
    Answer,
    HttpClient,
    HttpError,
    HttpLimits,
)
from bronzepoint_node.orders._errors import (
    EngineUnreachable,
    OrderFenced,
    OrderRefused,
    WeightsLimited,
)
from bronzepoint_schema.generated.catalogue import Target
from bronzepoint_schema.generated.platform import EngineState, Order, OrderRefusal

PATH = "/orders"
_state_decoder = msgspec.json.Decoder(EngineState)
_refusal_decoder = msgspec.json.Decoder(OrderRefusal)
_JSON = {"Content-Type": "application/json"}
_DEFAULT_RETRY_AFTER = 1.0
"""Seconds to wait if the engine's answer has no valid Retry-After header."""
_LIMITS = HttpLimits(
    max_head=16384,
    max_body=65536,
    max_connections=1,
    head_timeout=10.0,
    idle_timeout=60.0,
    write_timeout=10.0,
)


class EngineClient:
    """Reads an engine's state, then sends orders on the same connection.

    Fencing numbers don't protect an engine that ignores them. If a host were frozen
    after it checked its lease, another holder could order a newer version, and the
    first host would send its old order when it resumes: the engine would go back to
    the old version. Such an engine closes idle connections. So the connection is
    opened and used before the lease is checked, and after the check only an open
    connection is written to. A late write of a frozen host then fails on a closed
    connection.

    Args:
        timeout: Seconds to wait for an engine.
    """

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._client = HttpClient(_LIMITS, timeout)

    async def close(self) -> None:
        """Close all connections, on loss of the lease and at shutdown."""
        await self._client.close()

    async def state(self, target: Target) -> EngineState:
        """Return the state of an engine.

        Raises:
            EngineUnreachable: No answer, or one that can't be decoded.
        """
        answer = await self._fetch(target, "GET", b"", None)
        if answer.status != 200:
            raise EngineUnreachable(target.name, f"status {answer.status}")
        try:
            return decode(_state_decoder, answer.body)
        except Undecodable as exc:
            raise EngineUnreachable(target.name, str(exc)) from exc

    async def send(
        self, target: Target, order: Order, check: Callable[[], None]
    ) -> None:
        """Send an order; the same order may be sent again.

        Args:
            target: The engine.
            order: The order.
            check: Called right before the order is written; raises if it must not be
                sent any more.

        Raises:
            LeaseLost: Raised by `check`; nothing was sent.
            EngineUnreachable: It is unknown whether the engine accepted the order.
            OrderFenced, OrderRefused, WeightsLimited: The engine refused the order.
        """
        answer = await self._fetch(target, "POST", msgspec.json.encode(order), check)
        match answer.status:
            case 200 | 202:
                return
            case 409:
                raise OrderFenced(target.name, _seen_number(answer))
            case 429 | 503:
                raise WeightsLimited(target.name, _retry_after(answer))
        raise OrderRefused(target.name, answer.status)

    async def _fetch(
        self,
        target: Target,
        method: str,
        body: bytes,
        check: Callable[[], None] | None,
    ) -> Answer:
        headers = _JSON if body else {}
        try:
            return await self._client.fetch(
                target.address,
                method,
                PATH,
                headers,
                body,
                self._timeout,
                before_send=check,
            )
        except HttpError as exc:
            raise EngineUnreachable(target.name, str(exc)) from exc


def _seen_number(answer: Answer) -> int:
    try:
        return decode(_refusal_decoder, answer.body).fencing_number
    except Undecodable:
        return 0


def _retry_after(answer: Answer) -> float:
    try:
        return max(0.0, float(answer.headers.get("retry-after", "")))
    except ValueError:
        return _DEFAULT_RETRY_AFTER
