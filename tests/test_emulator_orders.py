"""Orders to the stand-in engine."""

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
    """Its weights take a moment to come."""

    async def _fetch(self, order):
        await curio.sleep(0.02)
        return Answer(200, {}, b"")


class TestOrders(unittest.TestCase):
    @params(OrderCheck.fenced, OrderCheck.unfenced)
    def test_order_that_is_sent_again_meanwhile_is_carried_out_once(self, check):
        """Symptom: an order is carried out twice; seen once, in a run beside load.
        Sequence: an engine that was frozen wakes with an order and its resend in its
        connections; the second one comes while the first waits for the weights.
        Cause: whether the order is known was looked up only before the wait."""

        async def main():
            spec = EngineSpec("e", "r", "z", "", check=check, model="m", version="1")
            orders = SlowStore(spec, "", None, RunCounts())
            order = Order("order-1", 7, version="2")
            async with curio.TaskGroup() as group:
                tasks = [await group.spawn(orders.take, order) for _ in range(2)]
            return sorted(task.result.result for task in tasks)

        expected = [OrderResult.accepted, OrderResult.repeated]
        self.assertEqual(curio.run(main), expected)


if __name__ == "__main__":
    unittest.main()
