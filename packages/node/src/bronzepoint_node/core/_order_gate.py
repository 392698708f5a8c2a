"""Admission of operators' orders, which must not take effect after newer ones."""

import curio

from bronzepoint_common.http import Disconnected, Exchange
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.pause_detector import PauseDetector

MIN_PAUSE = 0.7
"""Seconds without running after which an order may have been overtaken. Operators wait
for an answer for a second before they turn to another host."""
CATCH_UP = 0.5
"""Seconds after such a pause in which what had arrived is read."""
SETTLE_TIME = 0.1
"""Seconds between reading an order and checking that its operator waits. If the order
was delivered late, the end of its connection follows within a round trip."""


class OrderRefused(Exception):
    """The order has no effect; the message gives the reason and the remedy."""


class OrderGate:
    """Admits an order only while its operator waits for the answer.

    An operator who has given up may have sent newer orders to other hosts.

    Args:
        metrics: Counts the orders that weren't admitted.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._pauses = PauseDetector(MIN_PAUSE, CATCH_UP)

    async def start(self) -> None:
        """Start watching for pauses of this process."""
        await self._pauses.start()

    async def close(self) -> None:
        """Stop watching."""
        await self._pauses.close()

    async def admit(self, exchange: Exchange) -> None:
        """Return if the operator waits for this order.

        Raises:
            OrderRefused: This host has just resumed, and the order may be from before.
            Disconnected: The operator has given up.
        """
        # The end of the connection is visible only behind the body.
        await exchange.body()
        if self._pauses.has_just_resumed():
            self._metrics.incr("orders.refused_after_pause")
            raise OrderRefused(
                "This host was stopped for a while, and the order may be from before. "
                "Remedy: send it again if it still holds."
            )
        await curio.sleep(SETTLE_TIME)
        try:
            exchange.check_connected()
        except Disconnected:
            self._metrics.incr("orders.abandoned")
            raise
