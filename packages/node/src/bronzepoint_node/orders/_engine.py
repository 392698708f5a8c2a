"""The exchange of states and orders with engines."""

from collections.abc import Callable

import msgspec

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
_JSON = {"Content-Type": "application/json"}
_DEFAULT_RETRY_AFTER = 1.0
_LIMITS = HttpLimits(
    max_head=16384,
    max_body=65536,
    max_connections=1,
    head_timeout=10.0,
    idle_timeout=60.0,
    write_timeout=10.0,
)


class EngineClient:
    """Reads an engine's state, then orders on the same connection.

    An engine that ignores fencing numbers is protected by the connection: it closes
    one that stays idle. What happens without that: the host checks its lease, is
    frozen, and another holder orders a newer version; when the first host wakes it
    writes the old order, and the engine goes back. One would notice a target whose
    version changes to a former one. Here the connection is opened and used before the
    lease is checked, and only an open connection is written to after the check, so
    what a frozen host writes late meets a closed connection.

    Args:
        timeout: Seconds to wait for an engine.
    """

    def __init__(self, timeout: float) -> None:
        self._timeout = timeout
        self._client = HttpClient(_LIMITS, timeout)

    async def close(self) -> None:
        """Close all connections: on loss of the lease, and at shutdown."""
        await self._client.close()

    async def state(self, target: Target) -> EngineState:
        """Return what an engine has loaded.

        Raises:
            EngineUnreachable: No answer, or none that can be read.
        """
        answer = await self._fetch(target, "GET", b"", None)
        if answer.status != 200:
            raise EngineUnreachable(target.name, f"status {answer.status}")
        try:
            return msgspec.json.decode(answer.body, type=EngineState)
        except msgspec.MsgspecError as exc:
            raise EngineUnreachable(target.name, str(exc)) from exc

    async def give(
        self, target: Target, order: Order, check: Callable[[], None]
    ) -> None:
        """Give an order; the same one may be given again.

        Args:
            target: The engine.
            order: The order.
            check: Called when all that remains is to write; raises where the order
                must not be given any more.

        Raises:
            LeaseLost: From check; nothing was sent.
            EngineUnreachable: Whether the engine took it is unknown.
            OrderFenced, OrderRefused, WeightsLimited: The engine did not take it.
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
        return msgspec.json.decode(answer.body, type=OrderRefusal).fencing_number
    except msgspec.MsgspecError:
        return 0


def _retry_after(answer: Answer) -> float:
    try:
        return max(0.0, float(answer.headers.get("retry-after", "")))
    except ValueError:
        return _DEFAULT_RETRY_AFTER
