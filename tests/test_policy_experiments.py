"""Tests of the experiments' arrivals and summaries; `make bench` runs them."""

import unittest

from nose2.tools import params

from bronzepoint_emulator.experiments import Stream, draw_arrivals, summarise
from bronzepoint_emulator.experiments._aims import aims_table
from bronzepoint_emulator.experiments._cell import Cell
from bronzepoint_emulator.experiments._deployment import DEADLINE
from bronzepoint_emulator.experiments._outcome import Outcome
from bronzepoint_emulator.experiments._summary import quantile


def outcome(first_token=0.1, **fields):
    answered = fields.pop("answered", True)
    served = fields.pop("served_in", "bkk")
    return Outcome(
        0.0, "bkk", "saphan", 2.0, first_token, answered, served_in=served, **fields
    )


class TestArrivals(unittest.TestCase):
    def test_same_seed_same_arrivals(self):
        streams = [Stream("bkk", "saphan", 20.0), Stream("sgp", "saphan", 5.0)]
        first = draw_arrivals(streams, 5.0, 1)
        self.assertEqual(first, draw_arrivals(streams, 5.0, 1))
        self.assertNotEqual(first, draw_arrivals(streams, 5.0, 2))
        self.assertEqual(first, sorted(first, key=lambda arrival: arrival.at))

    def test_peak_and_trough(self):
        stream = Stream("bkk", "saphan", 50.0, swing=0.8, day=20.0)
        arrivals = draw_arrivals([stream], 20.0, 1)
        peak = sum(1 for arrival in arrivals if arrival.at < 10)
        self.assertGreater(peak, 2 * (len(arrivals) - peak))

    def test_prompts_share_prefixes(self):
        arrivals = draw_arrivals([Stream("bkk", "saphan", 50.0)], 10.0, 1)
        prefixes = {arrival.prompt[:200] for arrival in arrivals}
        self.assertLess(len(prefixes), 20)
        self.assertEqual(len({arrival.prompt for arrival in arrivals}), len(arrivals))


class TestSummary(unittest.TestCase):
    @params((0.5, 50), (0.99, 99), (1.0, 99))
    def test_quantile(self, share, expected):
        self.assertEqual(quantile(list(range(100)), share), expected)

    def test_refusing_does_not_look_fast(self):
        refused = outcome(None, answered=False, refusal="overloaded")
        outcomes = [outcome() for _ in range(90)] + [refused] * 10
        found = summarise(Cell("calm", "policy", "saphan", 1, outcomes, 45.0, {}))
        self.assertEqual(found.p99, 0.1)
        self.assertEqual(found.p99_all, DEADLINE)
        self.assertEqual(found.in_time, 0.9)
        self.assertEqual(found.cost, 0.5)
        self.assertEqual(found.worth, 4.0)
        self.assertEqual(found.refusals, {"overloaded": 10})

    def test_late_answers_have_no_worth(self):
        outcomes = [outcome(), outcome(DEADLINE + 1), outcome(served_in="sgp")]
        found = summarise(Cell("calm", "policy", "saphan", 1, outcomes, 1.0, {"x": 3}))
        self.assertEqual(found.worth, 4.0)
        self.assertAlmostEqual(found.away, 1 / 3)
        self.assertEqual(found.retries, 1.0)

    def test_aims_compare_with_the_best_other(self):
        def summary(delay, cost):
            outcomes = [outcome(delay)] * 10
            cell = Cell("calm", "x", "saphan", 1, outcomes, cost, {})
            return [summarise(cell)]

        results = {
            "loss": {
                "policy (Saphan)": summary(1.0, 1.0),
                "policy (Karadeniz)": summary(4.0, 0.5),
                "round_robin": summary(3.0, 1.0),
                "random_region": summary(2.5, 0.8),
            }
        }
        row = aims_table(results, {"loss"}).splitlines()[2]
        self.assertIn("| loss | 0.40 | 0.5 | yes | 1.60 | 1.3 | yes |", row)
