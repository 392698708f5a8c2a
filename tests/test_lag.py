"""When a host counts as lagging, and when it recovers."""

import unittest

from nose2.tools import params

from bronzepoint_common.lag import RECOVERY_TIME, Lag

STEP = 0.2
"""Seconds between two delays."""
ON_TIME = [0.0] * (int(RECOVERY_TIME / STEP) + 10)
SLOW = [0.4] * 10


def states(delays):
    """Return the state after each delay."""
    lag = Lag()
    seen = []
    for number, late in enumerate(delays):
        lag.record(late, number * STEP)
        seen.append(lag.is_lagging)
    return seen


class TestLag(unittest.TestCase):
    @params(
        (ON_TIME, False),
        # A single pause, for instance of the garbage collector.
        ([0.4, *ON_TIME[:3]], False),
        (SLOW, True),
        ([*SLOW, *ON_TIME[:12]], True),
        ([*SLOW, *ON_TIME], False),
        # The host recovers and lags again when its load returns.
        ([*SLOW, *ON_TIME, *SLOW], True),
    )
    def test_state_after_delays(self, delays, expected):
        self.assertIs(states(delays)[-1], expected)

    def test_state_does_not_flap(self):
        """Guards against callers that are moved back and forth with each pause."""
        seen = states(([0.4] * 6 + [0.0] * 6) * 20)
        changes = sum(a is not b for a, b in zip(seen, seen[1:], strict=False))
        self.assertEqual(changes, 1)


if __name__ == "__main__":
    unittest.main()
