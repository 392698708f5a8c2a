"""The limit of runs applies to all regions together."""

import unittest

from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.fleet import RouteKind, ServedRoute
from bronzepoint_node.quarantine import TrialEnd
from bronzepoint_node.relay._call import Call
from bronzepoint_node.relay._host_headers import RUNS_HEADER
from bronzepoint_node.relay._relay import _trial_end
from bronzepoint_node.relay._sender import _update_runs

ROUTE = ServedRoute("r", "h", "/", RouteKind.IDEMPOTENT, 5.0, 1.0, 0, (), 3)


class Exchange:
    started = False


def call(runs, forwarded=False):
    return Call(None, None, None, b"", 0.0, 0.0, forwarded, None, runs=runs)


class TestTrialEnd(unittest.TestCase):
    @params(
        # by permit, sends, a byte was sent, hosts, arrivals, runs, end of the trial
        (False, 1, False, 0, 1, 0, TrialEnd.USED),
        (True, 0, False, 0, 0, 0, TrialEnd.NOT_SENT),
        (True, 1, False, 0, 0, 0, TrialEnd.NOT_SENT),
        (True, 1, False, 0, 1, 0, TrialEnd.TURNED_AWAY),
        (True, 1, True, 0, 0, 0, TrialEnd.USED),
        (True, 1, True, 0, 1, 1, TrialEnd.USED),
        (True, 1, False, 1, 0, 0, TrialEnd.USED),
    )
    def test_end_of_a_permitted_trial(
        self, by_permit, sends, written, hosts, arrivals, runs, expected
    ):
        """Guards against a permit that is used again although the first try may have
        run, and against one that is used up by a try that certainly did not run."""
        tried = call(1)
        tried.written = True
        before = tried.progress()
        tried.has_permit = by_permit
        if sends:
            tried.written = written
        tried.sends += sends
        tried.tried_hosts |= {f"h{n}" for n in range(hosts)}
        tried.arrivals += arrivals
        tried.runs += runs
        self.assertIs(_trial_end(tried, before), expected)


class TestRuns(unittest.TestCase):
    @params((0, "2", 1), (0, "1", 0), (1, "3", 2), (1, "", 1), (1, "x", 1))
    def test_two_failed_runs_elsewhere_are_not_one(self, runs, reported, expected):
        """Guards against a request that runs on three targets although its route
        allows two.

        Another region runs it twice without success and answers 500. The fault was that
        the answer did not contain the number of runs: it counted as one run here, and
        the request was sent to a third target.
        """
        here = call(runs)
        headers = {RUNS_HEADER: reported, "x": "kept"} if reported else {"x": "kept"}
        _update_runs(here, headers)
        self.assertEqual(here.runs, expected)
        self.assertEqual(headers, {"x": "kept"})

    @params(
        # granted by the forwarding host, runs before, runs on ended targets, whether it
        # may run here again
        (1, 0, 0, False),
        (2, 1, 0, False),
        (2, 0, 1, True),
        (0, 0, 1, True),
        (9, 1, 0, True),
    )
    def test_forwarded_request_runs_as_often_as_granted(
        self, granted, ran, ended, expected_repeat
    ):
        """Guards against a request that runs on three targets although its route
        allows two.

        Another region runs it twice, both answers are truncated, and so is the region's
        own answer: it counted as one run here, and the request was sent to a third
        target. Without an answer, the forwarding host can't know how often the request
        ran in the other region.
        """
        there = call(ran, forwarded=True)
        there.route = ROUTE
        there.granted_runs = granted
        there.runs += 1
        there.ended_runs = ended
        there.exchange = Exchange()
        there.deadline_at = monotonic() + 5.0
        self.assertEqual(there.may_repeat, expected_repeat)

    @params((True, {RUNS_HEADER: "2"}), (False, {}))
    def test_only_another_host_gets_the_number_of_runs(self, forwarded, expected):
        self.assertEqual(call(2, forwarded).answer_headers({}), expected)


if __name__ == "__main__":
    unittest.main()
