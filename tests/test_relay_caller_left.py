"""A caller that leaves while its request is on the way to a target."""

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
"""Seconds that a new connection to a target waits before it is written to."""


class Caller:
    """The caller's side of a request: it may be gone.

    Attributes:
        has_left: It has closed its connection.
    """

    started = False

    def __init__(self):
        self.request = Request("POST", "/safe/a", {}, {}, "/safe/a")
        self.has_left = False

    def check_connected(self):
        if self.has_left:
            raise Disconnected("it closed the connection")


async def send(leaves):
    """Send a request whose caller may leave meanwhile; return how often it arrived."""
    target = StandInTarget("i-1", "127.0.0.1", 0)
    await target.server.start("127.0.0.1:0")
    client = HttpClient(HttpLimits(), 1.0, SETTLE)
    caller = Caller()
    now = monotonic()
    head = CallerHead("id", "h", 5.0, None, None, {})
    call = Call(caller, head, ROUTE, b"", now, now + 5.0, False, None)
    headers = {"X-Bronzepoint-Expect-Instance": "i-1"}
    where = Destination(target.server.address, headers, 2.0, 2.0, 1.0)
    attempt = Try(client, PlatformCodec(), call, lambda events, seconds: None)
    task = await curio.spawn(attempt.run, where)
    await curio.sleep(SETTLE / 5)
    caller.has_left = leaves
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
        """Guards against work for a caller that left before the first byte went out."""
        self.assertEqual(curio.run(send, True), (0, False))

    def test_request_of_a_caller_that_stays_is_sent(self):
        self.assertEqual(curio.run(send, False), (1, True))


if __name__ == "__main__":
    unittest.main()
