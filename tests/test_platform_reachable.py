"""Tests of the upper bound of the worth that a day's targets can earn."""

import importlib.util
import unittest
from pathlib import Path

from nose2.tools import params

PATH = Path(__file__).resolve().parent.parent / "platform" / "reachable.py"
SPEC = importlib.util.spec_from_file_location("reachable", PATH)
reachable = importlib.util.module_from_spec(SPEC)
SPEC.loader.exec_module(reachable)

Kind, Region = reachable.Kind, reachable.Region


def site(rate=10.0, faults=(), home_regions=(), engines=(1, 1)):
    """Return a site of two regions; each engine serves five requests per second."""
    llm = {
        "batch": 10,
        "step_ms": 10.0,
        "step_ms_per_slot": 0.0,
        "prefill_tokens_per_ms": 10.0,
    }
    kind = {
        "name": "ask",
        "worth": 2.0,
        "service": "s",
        "stream": {"prompt_tokens": {"mean": 1000}, "pieces": {"mean": 100}},
        "homes": list(home_regions),
    }
    servers = [
        {"zone": zone, "count": count}
        for zone, count in zip(("x-a", "y-a"), engines, strict=True)
    ]
    traffic = [{"zone": "x-a", "per_s": rate, "mix": {"ask": 1.0}}]
    return {
        "length_s": 6.0,
        "zones": [{"name": "x-a", "region": "x"}, {"name": "y-a", "region": "y"}],
        "services": [{"name": "s", "servers": servers, "cold_s": 1.0, "llm": llm}],
        "classes": [kind],
        "traffic": traffic,
        "day": [{"name": "d", "faults": list(faults)}],
    }


def lost_targets(**changes):
    return {"kind": "srv_crash", "at": 2.0, "for_s": 1.0, "share": 0.5, **changes}


class TestRows(unittest.TestCase):
    @params(
        # requests per second, home regions, engines per region, earned fraction
        (5.0, (), (1, 0), 1.0),
        (10.0, (), (1, 0), 0.5),
        (10.0, (), (1, 1), 1.0),
        (10.0, ("x",), (1, 1), 0.5),
        (20.0, (), (1, 1), 0.5),
    )
    def test_engines_and_home_regions_limit_earned_worth(
        self, rate, home_regions, engines, expected
    ):
        found = reachable.Site(site(rate, (), home_regions, engines), "d")
        parts = [row.reachable for row in found.rows()]
        self.assertEqual([round(part, 3) for part in parts], [expected] * 3)

    @params(
        (lost_targets(), [1.0, 0.5, 1.0]),
        (lost_targets(kind="cold_return", zone="y-a"), [1.0, 0.5, 1.0]),
        ({"kind": "evacuate", "at": 2.0, "for_s": 9.0, "zone": "y-a"}, [1.0, 0.5, 0.5]),
        ({"kind": "scale_in", "at": 4.0, "share": 0.5}, [1.0, 1.0, 0.5]),
        ({"kind": "disk_slow", "at": 2.0, "for_s": 2.0}, [1.0, 1.0, 1.0]),
    )
    def test_lost_targets_earn_nothing(self, fault, expected):
        found = reachable.Site(site(faults=[fault]), "d")
        parts = [round(row.reachable, 3) for row in found.rows()]
        self.assertEqual(parts, expected)


class TestServingOrder(unittest.TestCase):
    def test_most_valuable_requests_are_served_first(self):
        kinds = [Kind("long", 3.0, 300.0, ()), Kind("short", 2.0, 100.0, ())]
        regions = [Region("x", {"long": 2.0, "short": 2.0}, 500.0)]
        self.assertEqual(
            reachable.serve_most_valuable_first(regions, kinds), 2 * 2.0 + 3.0
        )

    def test_plain_requests_need_no_engine(self):
        regions = [Region("x", {"plain": 3.0}, 0.0)]
        self.assertEqual(
            reachable.serve_most_valuable_first(regions, [Kind("plain", 1.0, 0.0, ())]),
            3.0,
        )


if __name__ == "__main__":
    unittest.main()
