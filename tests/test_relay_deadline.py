"""Answers to requests whose deadline passes, or that are refused."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.fleet import RouteKind, ServedRoute
from bronzepoint_node.placement import Rejected, RejectReason
from bronzepoint_node.relay._answer_writer import AnswerWriter
from bronzepoint_node.relay._call import Call
from bronzepoint_node.relay._codec import CallerHead
from bronzepoint_node.relay._host_headers import RAN_HEADER
from bronzepoint_node.relay._sender import wait_past_deadline


class FakeExchange:
    started = False
    answer = None

    async def respond(self, status, headers, body):
        self.answer = status, headers


class FakeSyncClient:
    targets_read_at = 0.0


def late_call(written, runs, sends):
    now = monotonic()
    route = ServedRoute("r", "h", "/", RouteKind.NON_IDEMPOTENT, 2.0, 0.4, 0, (), 1)
    head = CallerHead("id", "h", 4.0, None, None, {})
    call = Call(FakeExchange(), head, route, b"", now - 2.0, now, False, None)
    call.written, call.runs, call.sends = written, runs, sends
    return call


class TestLate(unittest.TestCase):
    @params(
        # written, runs, sends, status
        (False, 0, 0, 503),
        (False, 0, 2, 503),
        (True, 0, 1, 504),
        (False, 1, 1, 504),
    )
    def test_504_only_if_the_request_may_have_run(self, written, runs, sends, status):
        """Guards against 504, after which a caller must not retry, for a request that
        reached no target.

        Two targets accept no connection, and the route's timeout passes with half of
        the caller's deadline left. The fault was that every try counted as one that may
        have run.
        """
        call = late_call(written, runs, sends)
        curio.run(AnswerWriter(FakeSyncClient(), Metrics()).answer_late, call)
        found, headers = call.exchange.answer
        self.assertEqual(found, status)
        self.assertEqual("Retry-After" in headers, status == 503)

    @params(
        # runs reported by the forwarding host, runs since, status, whether the answer
        # guarantees that the request did not run
        (1, 0, 503, True),
        (1, 1, 502, False),
        (0, 1, 502, False),
    )
    def test_refusal_of_another_region_is_no_run(
        self, reported, since, status, guaranteed
    ):
        """Guards against a region without free capacity that answers a forwarded
        request as if it had run there, which makes the request fail."""
        call = late_call(False, reported + since, 0)
        call.forwarded, call.reported_runs = True, reported
        rejected = Rejected(RejectReason.NO_ROOM, 0.5)
        curio.run(AnswerWriter(FakeSyncClient(), Metrics()).reject, call, rejected)
        found, headers = call.exchange.answer
        self.assertEqual(found, status)
        self.assertEqual(headers.get(RAN_HEADER) == "no", guaranteed)

    @params(
        (RejectReason.UNAUTHENTICATED, 401, False),
        (RejectReason.OVER_QUOTA, 429, True),
        (RejectReason.NO_ROOM, 503, True),
    )
    def test_refusals_have_retry_after_unless_retries_fail_too(
        self, reason, status, has_retry_after
    ):
        call = late_call(False, 0, 0)
        answer_writer = AnswerWriter(FakeSyncClient(), Metrics())
        curio.run(answer_writer.refuse, call.exchange, call.head, reason, 0.5)
        found, headers = call.exchange.answer
        self.assertEqual((found, "Retry-After" in headers), (status, has_retry_after))

    @params((0.65,), (0.0,), (-0.1,))
    def test_deadline_comes_before_the_end_of_a_wait(self, left):
        """Guards against a status at the deadline that is 504 or 502 at random.

        The target sends nothing, and the wait for its answer would end at the same
        moment as the request's deadline: the timer that fired first decided the status.
        """
        call = late_call(False, 0, 0)
        call.deadline_at = monotonic() + left
        self.assertGreater(wait_past_deadline(call), max(0.0, call.time_left))


if __name__ == "__main__":
    unittest.main()
