"""Requests that can't be answered in time any more stand behind those that can."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.fleet import RouteKind, ServedRoute
from bronzepoint_node.placement._waiting_line import QueuedRequest, RequestQueue
from bronzepoint_node.relay._call import LATE_RANKS, Call
from bronzepoint_node.relay._usual_deadlines import UsualDeadlines

ROUTE = ServedRoute("r", "h", "/", RouteKind.STREAM, 12.0, 1.2, 2, (), 2, True)
FRESH = 12.0
"""Deadline of callers that begin."""


def call(spent=0.0, waited=0.0, first_event=False, now=None):
    now = monotonic() if now is None else now
    made = Call(None, None, ROUTE, b"", now - waited, now, False, None)
    made.spent = spent
    made.first_event_at = now if first_event else 0.0
    return made


class TestUsualDeadlines(unittest.TestCase):
    @params(
        ((), FRESH, 0.0),
        ((FRESH,) * 30, FRESH, 0.0),
        ((FRESH,) * 30, 8.0, 4.0),
        # callers of two sorts: neither comes again
        ((FRESH, 3.0) * 30, 3.0, 0.0),
        ((FRESH, 3.0) * 30, 2.0, 10.0),
        # one odd caller makes nobody late
        ((FRESH,) * 30 + (90.0,), FRESH, 0.0),
        # a crowd that comes again, just after a start, with few that begin
        ((8.1, 7.3, 6.2, 9.0, 5.5, FRESH), 8.0, 4.0),
    )
    def test_time_used_before(self, seen, deadline, expected):
        usual = UsualDeadlines()
        for earlier in seen:
            usual.spent(ROUTE, earlier)
        self.assertAlmostEqual(usual.spent(ROUTE, deadline), expected, delta=0.05)


class TestRank(unittest.TestCase):
    @params(
        ({}, 0),
        ({"spent": 1.0}, 0),
        ({"spent": 1.0, "waited": 0.5}, LATE_RANKS),
        ({"spent": 4.0}, LATE_RANKS),
        # it has been answered in time, and goes on at another target
        ({"spent": 0.0, "waited": 3.0, "first_event": True}, 0),
    )
    def test_rank_by_what_can_be_earned(self, times, put_back):
        # One moment for both: counted from when this module was read, a request was
        # late wherever that took 0.2 s.
        now = monotonic()
        made = call(**times, now=now)
        self.assertEqual(made.rank(now), ROUTE.priority + put_back)

    def test_crowd_that_comes_again_stands_behind_those_that_begin(self):
        """Symptom: for four seconds after a kill of everything nearly every first
        answer is late.
        Sequence: callers whose connections had died come again together; those that
        begin find them before them in line and in the engines.
        Cause: they stood in order of arrival."""

        async def main():
            line = RequestQueue()
            crowd = [call(spent=4.0) for _ in range(20)]
            begun = [call() for _ in range(5)]
            for order, each in enumerate(crowd + begun):
                rank = each.rank(monotonic())
                line.join(QueuedRequest(rank, float(order), monotonic() + 1.0))
            return [waiter.arrived for waiter in line._queued]

        self.assertEqual(curio.run(main), [*range(20, 25), *range(20)])


if __name__ == "__main__":
    unittest.main()
