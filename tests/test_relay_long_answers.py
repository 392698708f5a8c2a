"""Answers that are too long to be collected whole before they are sent on."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import HttpClient, HttpLimits, HttpServer
from bronzepoint_node.relay._answer_buffer import (
    MAX_ANSWER,
    MAX_TOTAL,
    BufferPool,
)
from bronzepoint_node.relay._call import Answered, Call, MayHaveRun
from bronzepoint_node.relay._codec import CallerHead
from bronzepoint_node.relay._try import Destination, Try
from bronzepoint_platform._codec import PlatformCodec
from tests.test_relay_caller_left import ROUTE, FakeExchange

PIECE = b"x" * 65536


class Caller(FakeExchange):
    """Connection to a caller that records what it receives."""

    def __init__(self):
        super().__init__()
        self.received = b""
        self.started = False
        self.ended = False

    async def start_stream(self, status, headers):
        self.started = True

    async def send(self, data):
        self.received += data

    async def end(self):
        self.ended = True


async def relay(pool, status, pieces, is_cut=False, started=False):
    """Relay an answer of some pieces; return its outcome and what the caller got.

    Args:
        pool: Memory for collected answers.
        status: Status of the answer.
        pieces: Number of its pieces.
        is_cut: Whether the connection breaks instead of its end.
        started: Whether the caller has got a part of another answer.
    """

    async def answer(exchange):
        await exchange.start_stream(status, {"X-Bronzepoint-Request-Id": "id"})
        for _ in range(pieces):
            await exchange.send(PIECE)
        if is_cut:
            await exchange.abort()
        else:
            await exchange.end()

    server = HttpServer(answer, HttpLimits())
    await server.start("127.0.0.1:0")
    client = HttpClient(HttpLimits(), 1.0)
    now = monotonic()
    caller = Caller()
    caller.started = started
    head = CallerHead("id", "h", 5.0, None, None, {})
    call = Call(caller, head, ROUTE, b"", now, now + 5.0, False, None)
    attempt = Try(client, PlatformCodec(), call, lambda *_: None, buffers=pool)
    outcome = await attempt.run(Destination(server.address, {}, 2.0, 1.0))
    await client.close()
    await server.close(0)
    return outcome, caller


class TestLongAnswers(unittest.TestCase):
    @params(
        # pieces, whether it is sent on before its end
        (1, False),
        (MAX_ANSWER // len(PIECE), False),
        (4 * MAX_ANSWER // len(PIECE), True),
    )
    def test_answer_arrives_whole(self, pieces, is_streamed):
        """Guards against an answer that is lost since it is long."""
        pool = BufferPool()
        outcome, caller = curio.run(relay, pool, 200, pieces)
        self.assertIsInstance(outcome, Answered)
        self.assertEqual(outcome.streamed, is_streamed)
        self.assertEqual(len(outcome.body or caller.received), pieces * len(PIECE))
        self.assertEqual(caller.ended, is_streamed)
        self.assertEqual(pool.used, 0)

    def test_answer_that_is_cut_has_no_end(self):
        """Guards against a part of an answer that looks like all of it."""
        pieces = 4 * MAX_ANSWER // len(PIECE)
        outcome, caller = curio.run(relay, BufferPool(), 200, pieces, True)
        self.assertIsInstance(outcome, MayHaveRun)
        self.assertTrue(caller.started)
        self.assertFalse(caller.ended)

    def test_long_error_is_not_sent_on(self):
        """Guards against an error that can't be replaced by another try."""
        pieces = 4 * MAX_ANSWER // len(PIECE)
        outcome, caller = curio.run(relay, BufferPool(), 500, pieces)
        self.assertEqual(outcome, MayHaveRun("too_long"))
        self.assertFalse(caller.started)

    def test_long_answer_does_not_follow_a_part_of_another_one(self):
        """Guards against a stream that goes on with an answer that is no stream."""
        pieces = 4 * MAX_ANSWER // len(PIECE)
        outcome, caller = curio.run(relay, BufferPool(), 200, pieces, False, True)
        self.assertEqual(outcome, MayHaveRun("too_long"))
        self.assertEqual(caller.received, b"")

    def test_all_answers_together_have_a_limit(self):
        """Guards against many answers that exhaust the memory together."""
        pool = BufferPool()
        pool.used = MAX_TOTAL - 1
        outcome, _ = curio.run(relay, pool, 200, 2)
        self.assertTrue(outcome.streamed)
        self.assertEqual(pool.used, MAX_TOTAL - 1)


if __name__ == "__main__":
    unittest.main()
