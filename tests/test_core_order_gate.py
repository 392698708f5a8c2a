"""Admission of operators' orders, and detection of pauses of the process."""

import unittest
from unittest import mock

import curio
from nose2.tools import params

from bronzepoint_common import pause_detector
from bronzepoint_common.http import Disconnected
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.pause_detector import PauseDetector
from bronzepoint_node.core import OrderGate, OrderRefused
from bronzepoint_node.core import _order_gate as order_gate


class FakeExchange:
    """An exchange whose caller leaves after some seconds; None: it stays."""

    def __init__(self, leaves_after):
        self._leaves_after = leaves_after
        self._left = leaves_after == 0

    async def body(self):
        return b""

    async def leave(self):
        if self._leaves_after:
            await curio.sleep(self._leaves_after)
            self._left = True

    def check_connected(self):
        if self._left:
            raise Disconnected("it closed the connection")


class TestPauseDetector(unittest.TestCase):
    @params(
        # times of readings in seconds, whether the last one is just after a pause
        ([0.1, 0.2], False),
        ([0.1, 0.8], False),
        ([0.1, 0.9], True),
        ([0.1, 3.6, 3.7, 4.0], True),
        ([0.1, 3.6, 3.7, 4.2], False),
    )
    def test_pause_shows_in_the_clock(self, times, resumed):
        """Guards against orders from before a pause that are taken for new ones."""
        now = [0.0]
        with mock.patch.object(pause_detector, "monotonic", lambda: now[0]):
            detector = PauseDetector(min_pause=0.75, catch_up=0.5)
            for now[0] in times:
                found = detector.has_just_resumed()
        self.assertEqual(found, resumed)


class TestOrderGate(unittest.TestCase):
    @params(
        (None, False, None, None),
        (0, False, Disconnected, "orders.abandoned"),
        # The end of a connection that was delivered late follows its data.
        (order_gate.SETTLE_TIME / 2, False, Disconnected, "orders.abandoned"),
        # The end of the connection may be lost.
        (None, True, OrderRefused, "orders.refused_after_pause"),
    )
    def test_order_is_admitted_only_while_its_operator_waits(
        self, leaves_after, resumed, error, counter
    ):
        """Guards against orders of operators who have turned to another host."""
        metrics = Metrics()

        async def main():
            gate = OrderGate(metrics)
            exchange = FakeExchange(leaves_after)
            await curio.spawn(exchange.leave, daemon=True)
            with mock.patch.object(
                PauseDetector, "has_just_resumed", lambda self: resumed
            ):
                await gate.admit(exchange)

        if error is None:
            curio.run(main)
        else:
            with self.assertRaises(error):
                curio.run(main)
        self.assertEqual(metrics.counters(), {counter: 1} if counter else {})


if __name__ == "__main__":
    unittest.main()
