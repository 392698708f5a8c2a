"""Runs of one request in two regions count together."""

import unittest

from nose2.tools import params

from bronzepoint_node.relay._call import RUNS_HEADER, Call
from bronzepoint_node.relay._sender import _count_runs


def call(runs, forwarded=False):
    return Call(None, None, None, b"", 0.0, 0.0, forwarded, None, runs=runs)


class TestRuns(unittest.TestCase):
    @params((0, "2", 1), (0, "1", 0), (1, "3", 2), (1, "", 1), (1, "x", 1))
    def test_two_failed_runs_elsewhere_are_not_one(self, runs, told, expected):
        """Symptom: a request ran on three targets where its route allows two.
        Sequence: another region runs it twice, both fail, and answers 500; here that
        counts as one run, and it is sent to a third target.
        Cause: the answer didn't say how often it had run. (Hunt of saphan-phrase,
        trouble-1, seed 777842947254.)"""
        here = call(runs)
        headers = {RUNS_HEADER: told, "x": "kept"} if told else {"x": "kept"}
        _count_runs(here, headers)
        self.assertEqual(here.runs, expected)
        self.assertEqual(headers, {"x": "kept"})

    @params((True, {RUNS_HEADER: "2"}), (False, {}))
    def test_only_another_host_is_told(self, forwarded, expected):
        self.assertEqual(call(2, forwarded).answer_headers({}), expected)


if __name__ == "__main__":
    unittest.main()
