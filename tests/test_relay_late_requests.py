"""Requests that can no longer meet their objective queue behind those that can."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.fleet import RouteKind, ServedRoute
from bronzepoint_node.placement._request_queue import QueuedRequest, RequestQueue
from bronzepoint_node.relay._call import LATE_RANKS, Call
from bronzepoint_node.relay._usual_deadlines import UsualDeadlines

ROUTE = ServedRoute("r", "h", "/", RouteKind.STREAM, 12.0, 1.2, 2, (), 2, True)
NEW = 12.0
"""Deadline of new requests, in seconds."""


def call(prior_wait=0.0, waited=0.0, first_event=False, now=None):
    now = monotonic() if now is None else now
    made = Call(None, None, ROUTE, b"", now - waited, now, False, None)
    made.prior_wait = prior_wait
    made.first_event_at = now if first_event else 0.0
    return made


class TestUsualDeadlines(unittest.TestCase):
    @params(
        ((), NEW, 0.0),
        ((NEW,) * 30, NEW, 0.0),
        ((NEW,) * 30, 8.0, 4.0),
        # two kinds of new requests, no retries
        ((NEW, 3.0) * 30, 3.0, 0.0),
        ((NEW, 3.0) * 30, 2.0, 10.0),
        # a single unusual caller makes no other request late
        ((NEW,) * 30 + (90.0,), NEW, 0.0),
        # many retries and few new requests, just after a start
        ((8.1, 7.3, 6.2, 9.0, 5.5, NEW), 8.0, 4.0),
    )
    def test_time_used_before(self, seen, deadline, expected):
        usual = UsualDeadlines()
        for earlier in seen:
            usual.prior_wait(ROUTE, earlier)
        self.assertAlmostEqual(usual.prior_wait(ROUTE, deadline), expected, delta=0.05)


class TestRank(unittest.TestCase):
    @params(
        ({}, 0),
        ({"prior_wait": 1.0}, 0),
        ({"prior_wait": 1.0, "waited": 0.5}, LATE_RANKS),
        ({"prior_wait": 4.0}, LATE_RANKS),
        # its first event was in time; the stream is resumed at another target
        ({"prior_wait": 0.0, "waited": 3.0, "first_event": True}, 0),
    )
    def test_rank_depends_on_lateness(self, times, extra_rank):
        # The request and its rank need one common time. With a time taken when the
        # module was loaded, requests were late whenever loading took 0.2 s.
        now = monotonic()
        made = call(**times, now=now)
        self.assertEqual(made.rank(now), ROUTE.priority + extra_rank)

    def test_retries_queue_behind_new_requests(self):
        """Guards against first answers that were nearly all late, for four seconds
        after a kill of all processes.

        Callers whose connections were lost retry together. The fault was that requests
        were queued in order of arrival, so that new requests waited behind all retries,
        here and in the engines.
        """

        async def main():
            queue = RequestQueue()
            retries = [call(prior_wait=4.0) for _ in range(20)]
            new = [call() for _ in range(5)]
            for order, each in enumerate(retries + new):
                rank = each.rank(monotonic())
                queue.join(QueuedRequest(rank, float(order), monotonic() + 1.0))
            return [waiter.arrived for waiter in queue.in_order()]

        self.assertEqual(curio.run(main), [*range(20, 25), *range(20)])


if __name__ == "__main__":
    unittest.main()
