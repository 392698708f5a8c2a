"""Orders to the stub engine."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.http import Answer
from bronzepoint_emulator.engine._orders import Orders
from bronzepoint_schema.generated.emulator import (
    EngineSpec,
    OrderCheck,
    OrderResult,
    RunCounts,
)
from bronzepoint_schema.generated.platform import Order


class SlowStore(Orders):
    """Orders whose weights take 20 ms to fetch."""

    async def _fetch(self, order):
        await curio.sleep(0.02)
        return Answer(200, {}, b"")


class TestOrders(unittest.TestCase):
    @params(OrderCheck.fenced, OrderCheck.unfenced)
    def test_order_resent_during_the_fetch_is_applied_once(self, check):
        """An order must not be applied twice.

        An engine that was suspended can receive an order and its resend together. If
        it checks for repeated orders only before fetching the weights, both pass the
        check while the first one waits for the fetch.
        """

        async def main():
            spec = EngineSpec("e", "r", "z", "", check=check, model="m", version="1")
            orders = SlowStore(spec, "", None, RunCounts())
            order = Order("order-1", 7, version="2")
            async with curio.TaskGroup() as group:
                tasks = [await group.spawn(orders.submit, order) for _ in range(2)]
            return sorted(task.result.result for task in tasks)

        expected = [OrderResult.accepted, OrderResult.repeated]
        self.assertEqual(curio.run(main), expected)


if __name__ == "__main__":
    unittest.main()
