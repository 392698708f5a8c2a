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


def averages(delays):
    """Return the average and the state after each delay and its processor seconds."""
    lag, now = Lag(), 0.0
    seen = []
    for late, cpu_seconds in delays:
        now += STEP + late
        lag.record(late, now, cpu_seconds)
        seen.append((lag.seconds, lag.is_lagging))
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

    @params(
        # seconds late, processor seconds used meanwhile, average afterwards
        # a pause, however long
        ([(0.5, 0.0)], 0.0),
        ([(5.0, 0.002)], 0.001),
        ([(60.0, 0.01)], 0.003),
        # a pause on a crowded machine, whose other timers are somewhat late, too
        ([(0.1, 0.02), (1.42, 0.016), (0.1, 0.02)], 0.1),
        # a pause, and the burst of what waited in the sockets
        ([(5.0, 0.0), (0.1, 0.3)], 0.04),
        ([(5.0, 0.1), (0.0, 0.2)], 0.03),
        # a pause after the host has been on time again for long enough
        ([(5.0, 0.0), *[(0.0, 0.0)] * 20, (5.0, 0.0)], 0.01),
    )
    def test_a_pause_is_not_overload(self, delays, most):
        """Guards against a host that refuses requests and is left out by others, since
        it was stopped once."""
        seen = [lag for lag, _ in averages(delays)]
        self.assertLessEqual(max(seen), most)
        self.assertFalse(any(is_lagging for _, is_lagging in averages(delays)))

    @params(
        # the loop was held up by its own work
        [(1.0, 1.2)],
        [(5.0, 5.2)],
        # a part of the time is its own work
        [(5.0, 0.6)],
        # too little processor time again and again, by neighbours
        [(0.6, 0.01)] * 3,
        [(0.2, 0.01)] * 6,
        [(3.0, 0.0), (0.0, 0.0), (3.0, 0.0)],
        [(3.0, 0.0), *[(0.0, 0.1)] * 10, (3.0, 0.0)],
        # the burst of what waited takes too long
        [(5.0, 0.0), (0.6, 0.8)],
    )
    def test_repeated_delays_and_own_work_are_overload(self, delays):
        """Guards against a host that is overloaded and counts as paused."""
        self.assertTrue(averages(delays)[-1][1])


if __name__ == "__main__":
    unittest.main()
