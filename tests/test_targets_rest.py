"""Targets of our own interface that want no requests of a host for a while."""

import unittest
from types import SimpleNamespace

import curio
from nose2.tools import params

from bronzepoint_node.entry._target_answer_check import TargetAnswerCheck
from bronzepoint_node.policy._choose_target import has_free_capacity
from bronzepoint_node.targets._tracked_target import TrackedTarget
from bronzepoint_schema.generated.catalogue import Target

NOW = 100.0


class TestRest(unittest.TestCase):
    @params(
        # rests as (seconds, asked at), whether it may get a request at NOW + 2
        ((), True),
        (((3.0, NOW),), False),
        (((1.0, NOW),), True),
        (((3.0, NOW), (0.5, NOW + 1)), False),
        (((0.0, NOW),), True),
    )
    def test_resting_target_has_no_capacity(self, rests, expected):
        """Guards against sending to a target that has asked this host for rest."""
        target = TrackedTarget(Target("t", "bkk", "dc", "10.0.0.1:80"), 10)
        for seconds, at in rests:
            target.record_rest(seconds, at)
        view = target.view([], NOW + 2, NOW + 2)
        self.assertEqual(has_free_capacity(view, 0.0, 1), expected)

    @params(
        # status, Retry-After, rest
        (503, "3", 3.0),
        (503, None, 0.0),
        (503, "soon", 0.0),
        (429, "3", 0.0),
        (200, "3", 0.0),
    )
    def test_only_unavailable_targets_ask_for_rest(self, status, text, expected):
        rests = []
        check = TargetAnswerCheck(
            None, False, lambda reason: True, lambda headers, rest: rests.append(rest)
        )
        headers = {} if text is None else {"retry-after": text}
        curio.run(check.check, SimpleNamespace(status=status, headers=headers))
        self.assertEqual(rests, [expected])


if __name__ == "__main__":
    unittest.main()
