"""Retries whose requests may lie unread at a target that stands still."""

import math
import unittest
from types import SimpleNamespace

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.fleet import RouteKind, ServedRoute, ServiceShare
from bronzepoint_node.placement import EngineReport
from bronzepoint_node.placement._missing_targets import MISSING_RETENTION
from bronzepoint_node.relay._call import Answered, Call, MayHaveRun, NotRun
from bronzepoint_node.relay._relay import Relay
from bronzepoint_node.relay._sender import _may_be_unread
from bronzepoint_node.retries import Delivery, RetryBudget
from bronzepoint_node.retries._retry_budget import WINDOW
from bronzepoint_schema.generated.target_loads import EngineWord
from tests.test_placement_placer import Site, info
from tests.test_retry_budget import budget, take_all

ROUTE = ServedRoute(
    "r", "h", "/", RouteKind.STREAM, 12.0, 1.2, 2, (ServiceShare("s", 1.0),), 2, True
)
SENT_AT = 5.0
"""Time of the send that may lie unread."""


def tracked_target(name="t1"):
    return Site(info(name)).table.get(name)


def engine_word(silent, age_ms):
    return EngineWord(silent, age_ms, 0, 0, 0, 0, 0, 0)


def sent_call():
    """Return a forwarded request with a send that its target hasn't read."""
    exchange = SimpleNamespace(request=SimpleNamespace(headers={}))
    head = SimpleNamespace(request_id="id-1", resumes=None)
    call = Call(exchange, head, ROUTE, b"", 0.0, 12.0, True, None)
    call.deliveries.append(Delivery(tracked_target(), SENT_AT))
    return call


class TestDelivery(unittest.TestCase):
    @params(
        ("nothing", lambda target, sent: None, True),
        ("earlier answer", lambda target, sent: target.record_read(SENT_AT - 1), True),
        ("later answer", lambda target, sent: target.record_read(SENT_AT + 1), False),
        ("own answer", lambda target, sent: target.record_read(SENT_AT), False),
        (
            "earlier poll",
            lambda target, sent: target.apply_report(
                EngineReport(0, 0, 0, 0), SENT_AT - 1, 0
            ),
            True,
        ),
        (
            "later poll",
            lambda target, sent: target.apply_report(
                EngineReport(0, 0, 0, 0), SENT_AT + 1, 0
            ),
            False,
        ),
        (
            "later poll by another host",
            lambda target, sent: target.apply_engine_status(
                engine_word(False, 500), SENT_AT + 1
            ),
            False,
        ),
        (
            "older poll by another host",
            lambda target, sent: target.apply_engine_status(
                engine_word(True, 1500), SENT_AT + 1
            ),
            True,
        ),
        (
            "connection ended by the target",
            lambda target, sent: sent.end(SENT_AT + 1),
            False,
        ),
    )
    def test_a_send_is_pending_until_its_target_has_read_later_ones(
        self, name, happen, expected
    ):
        target = tracked_target()
        sent = Delivery(target, SENT_AT)
        happen(target, sent)
        self.assertEqual(sent.is_pending(SENT_AT + 2), expected)

    @params(
        # seconds from the first to the last reading without the target, names listed
        # at the end, whether the request may still be read
        ("gone", MISSING_RETENTION, ["t2"], False),
        ("another one at its address", 0.0, ["t1~2", "t2"], False),
        ("missing", 0.0, ["t2"], True),
        ("listed again", 0.0, ["t1", "t2"], True),
    )
    def test_only_a_target_that_is_gone_reads_nothing(
        self, name, missing_for, names, expected
    ):
        """Guards against retries that count as settled because one reading of the list
        lacked their target."""
        site = Site(info("t1"), info("t2"))
        sent = Delivery(site.table.get("t1"), SENT_AT)
        site.update([info("t2")])
        sent.is_pending(SENT_AT + 1)
        site.now += missing_for
        site.update(map(info, names))
        self.assertEqual(sent.is_pending(SENT_AT + 2), expected)

    @params(
        # outcome of the try, whether its bytes may have left, whether it may be unread
        (MayHaveRun("timeout", timed_out=True, unread=True), True, True),
        (MayHaveRun("lost", unread=True), True, True),
        (None, True, True),
        (None, False, False),
        (MayHaveRun("cut"), True, False),
        (NotRun("rejected_503", by_target=True), True, False),
        (NotRun("connect_failed"), False, False),
        (Answered(500, {}, b""), True, False),
    )
    def test_a_try_without_an_answer_may_be_unread(self, outcome, written, expected):
        call = sent_call()
        call.written = written
        self.assertEqual(_may_be_unread(call, outcome), expected)


class TestCharges(unittest.TestCase):
    @params(
        # ratio, requests, slack: retries from the ratio or from the slack
        (0.2, 100, 0),
        (0.0, 0, 50),
    )
    def test_a_retry_counts_until_a_window_after_its_last_possible_arrival(
        self, ratio, requests, slack
    ):
        """Guards against retries that arrive beside those of a later window."""
        retry_budget = budget(ratio, slack)
        target = tracked_target()
        sends = [Delivery(target, SENT_AT)]

        def taken(now, sends):
            for _ in range(requests):
                retry_budget.note_request("s", now)
            count = 0
            while retry_budget.take("s", sends, now):
                count += 1
            return count

        first = taken(SENT_AT + 1, sends)
        self.assertGreater(first, 0)
        for later in range(1, 4):
            self.assertEqual(taken(SENT_AT + 1 + later * (WINDOW + 1), []), 0)
        target.record_read(SENT_AT + 40)
        self.assertEqual(taken(SENT_AT + 45, []), 0)
        self.assertEqual(taken(SENT_AT + 45 + WINDOW + 1, []), first)

    def test_the_retry_of_another_host_is_charged_above_the_share(self):
        retry_budget = budget(0.0, 50)
        used = take_all(retry_budget, 0.0)
        retry_budget.charge("s", [], 1.0)
        self.assertEqual(take_all(retry_budget, WINDOW + 0.5), used - 1)


class TestForwarded(unittest.TestCase):
    @params((True, False, 0), (True, True, 1), (False, True, 1))
    def test_an_unread_forwarded_request_is_charged_where_it_was_sent(
        self, forwarded, has_been_read, expected
    ):
        """Guards against retries by the forwarding host that arrive beside those of a
        later window."""
        retry_budget = RetryBudget(0.0, 2 / 0.7, 1, -math.inf)
        retry_budget.note_hosts(1)
        call = sent_call()
        call.forwarded = forwarded
        if has_been_read:
            call.deliveries[0].end(SENT_AT)

        class Intake:
            async def receive(self, exchange, forwarded):
                return call

            def refund(self, call):
                pass

        class EndingRelay(Relay):
            async def _serve_until_disconnect(self, call):
                pass

        relay = EndingRelay(Intake(), *[None] * 3, retry_budget, *[None] * 6)
        curio.run(relay.serve_forwarded, call.exchange)
        left = take_all(retry_budget, monotonic())
        self.assertEqual(left, 1 + expected)


if __name__ == "__main__":
    unittest.main()
