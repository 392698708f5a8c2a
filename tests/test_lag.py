"""When a host counts as one that doesn't keep up, and when no more."""

import unittest

from nose2.tools import params

from bronzepoint_common.lag import CALM_FOR, Lag

STEP = 0.2
"""Seconds between two delays."""
CALM = [0.0] * (int(CALM_FOR / STEP) + 10)
SLOW = [0.4] * 10


def states(delays):
    """Return the state after each delay."""
    lag = Lag()
    seen = []
    for number, late in enumerate(delays):
        lag.note(late, number * STEP)
        seen.append(lag.is_lagging)
    return seen


class TestLag(unittest.TestCase):
    @params(
        (CALM, False),
        # one pause, as of a collection of garbage
        ([0.4, *CALM[:3]], False),
        (SLOW, True),
        ([*SLOW, *CALM[:12]], True),
        ([*SLOW, *CALM], False),
        # work that was taken away and comes back lets it lag again
        ([*SLOW, *CALM, *SLOW], True),
    )
    def test_state_after_delays(self, delays, expected):
        self.assertIs(states(delays)[-1], expected)

    def test_state_does_not_flap(self):
        """Guards against callers that are sent to and fro with each pause."""
        seen = states(([0.4] * 6 + [0.0] * 6) * 20)
        changes = sum(a is not b for a, b in zip(seen, seen[1:], strict=False))
        self.assertEqual(changes, 1)


if __name__ == "__main__":
    unittest.main()
