"""A caller disconnects while the host connects to a target for its request."""

import unittest

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import Disconnected, HttpClient, HttpLimits, Request
from bronzepoint_node.fleet import RouteKind, ServedRoute
from bronzepoint_node.relay import CallerHead
from bronzepoint_node.relay._call import Call
from bronzepoint_node.relay._try import Destination, Try
from bronzepoint_platform._codec import PlatformCodec
from tests._stand_in_target import StandInTarget

ROUTE = ServedRoute("r", "h", "/", RouteKind.IDEMPOTENT, 5.0, 1.0, 0, (), 1)
SETTLE = 0.05
"""Seconds between the opening of a connection to a target and the first write to it."""


class FakeExchange:
    """Connection to a caller that may disconnect.

    Attributes:
        is_closed: True if the caller has closed its connection.
    """

    started = False

    def __init__(self):
        self.request = Request("POST", "/safe/a", {}, {}, "/safe/a")
        self.is_closed = False

    def check_connected(self):
        if self.is_closed:
            raise Disconnected("the caller closed its connection")


async def send(disconnects):
    """Send a request whose caller may disconnect while the host connects.

    Returns the number of requests that reached the target, and whether the call is
    marked as written.
    """
    target = StandInTarget("i-1", "127.0.0.1", 0)
    await target.server.start("127.0.0.1:0")
    client = HttpClient(HttpLimits(), 1.0, SETTLE)
    exchange = FakeExchange()
    now = monotonic()
    head = CallerHead("id", "h", 5.0, None, None, {})
    call = Call(exchange, head, ROUTE, b"", now, now + 5.0, False, None)
    headers = {"X-Bronzepoint-Expect-Instance": "i-1"}
    destination = Destination(target.server.address, headers, 2.0, 1.0)
    attempt = Try(client, PlatformCodec(), call, lambda events, seconds: None)
    task = await curio.spawn(attempt.run, destination)
    await curio.sleep(SETTLE / 5)
    exchange.is_closed = disconnects
    try:
        await task.join()
    except curio.TaskError as exc:
        if not isinstance(exc.__cause__, Disconnected):
            raise
    await client.close()
    await target.server.close(0)
    return len(target.seen), call.written


class TestCallerThatLeaves(unittest.TestCase):
    def test_request_whose_caller_left_while_connecting_is_not_sent(self):
        """Guards against work for a caller that left before the first byte was sent."""
        self.assertEqual(curio.run(send, True), (0, False))

    def test_request_of_a_caller_that_stays_is_sent(self):
        self.assertEqual(curio.run(send, False), (1, True))


if __name__ == "__main__":
    unittest.main()
