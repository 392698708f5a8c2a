"""Selection of engines to change, rate limit of loads, and fencing numbers."""

import unittest

from nose2.tools import params

from bronzepoint_node.orders import (
    EngineView,
    LoadRateLimiter,
    OrderNumbers,
    WantedEngine,
    plan_steps,
    wanted_engines,
)
from bronzepoint_node.orders._held import HeldLease
from bronzepoint_schema.generated.catalogue import ModelEntry, OrderProtocol, Target
from bronzepoint_schema.generated.orders import EnginePhase
from bronzepoint_schema.generated.platform import EngineState

OLD, NEW, LOADING, DOWN = "old", "new", "loading", "down"
STATES = {
    OLD: EngineState(version="1"),
    NEW: EngineState(version="2"),
    LOADING: EngineState(version="2", loading=True),
    DOWN: None,
}


def target(name, region="bkk", **fields):
    fields = {"orders": OrderProtocol.fenced, "slots": 8} | fields
    return Target(name, region, f"{region}-a", "127.0.0.1:1", **fields)


def view(name, state, entries=("chat",), region="bkk", **fields):
    wanted = WantedEngine(target(name, region, **fields), list(entries), {"2"})
    return EngineView(wanted, STATES[state])


def names(plan):
    return [step.wanted.target.name for step in plan.steps]


class PlanTest(unittest.TestCase):
    @params(
        ([OLD, OLD], 0.5, ["e0"]),
        ([OLD, OLD, OLD, OLD], 0.5, ["e0", "e1"]),
        ([OLD, OLD, OLD, OLD], 0.75, ["e0"]),
        ([OLD, LOADING], 0.5, []),
        ([OLD, NEW], 0.5, ["e0"]),
        ([OLD, DOWN], 0.5, []),
        ([OLD], 0.5, []),
        ([OLD], 0.0, ["e0"]),
        ([NEW, NEW], 0.5, []),
    )
    def test_share_stays_up(self, states, keep_share, expected):
        views = [view(f"e{i}", state) for i, state in enumerate(states)]
        plan = plan_steps(views, keep_share)
        self.assertEqual(names(plan), expected)
        waiting = states.count(OLD) - len(expected)
        self.assertEqual(len(plan.blocked), waiting)

    def test_each_region_keeps_its_share(self):
        """Each region must keep its share of slots, not only the whole fleet.

        Half of all engines may be down, but not both engines of one region.
        """
        views = [view(f"{r}{i}", OLD, region=r) for r in ("bkk", "sgp") for i in (1, 2)]
        self.assertEqual(names(plan_steps(views, 0.5)), ["bkk1", "sgp1"])

    def test_entry_with_fewer_engines_keeps_its_share(self):
        views = [view("e1", OLD, ["a", "b"]), view("e2", OLD, ["a"])]
        plan = plan_steps(views, 0.5)
        self.assertEqual(names(plan), ["e2"])
        self.assertIn("entry b in bkk", plan.blocked["e1"])

    def test_pending_order_counts_as_down(self):
        views = [view("e1", OLD), view("e2", OLD)]
        views[0].pending = True
        self.assertEqual(names(plan_steps(views, 0.5)), [])

    def test_leaving_and_orderless_engines_get_no_orders(self):
        views = [
            view("e1", OLD, leaving=True),
            view("e2", OLD, orders=OrderProtocol.none),
            view("e3", OLD),
        ]
        self.assertEqual(names(plan_steps(views, 0.5)), ["e3"])

    def test_contradiction_is_reported_and_gets_no_order(self):
        """An engine must not load two versions alternately without end.

        Two entries share the engine and want different versions.
        """
        shared = target("e1")
        entries = [
            ModelEntry(name="a", owner="o", model_version="1", targets=[shared]),
            ModelEntry(name="b", owner="o", model_version="2", targets=[shared]),
        ]
        [engine] = wanted_engines(entries).values()
        seen = EngineView(engine, STATES[OLD])
        self.assertEqual(seen.phase, EnginePhase.contradiction)
        self.assertEqual(names(plan_steps([seen], 0.0)), [])


class RateLimiterTest(unittest.TestCase):
    def test_refusal_slows_and_success_speeds_up_again(self):
        limiter = LoadRateLimiter(1.0)
        limiter.started(100.0)
        self.assertEqual(limiter.wait(100.5), 0.5)
        limiter.limited(101.0, 5.0)
        self.assertEqual((limiter.interval, limiter.wait(101.0)), (2.0, 5.0))
        for _ in range(20):
            limiter.succeeded()
        self.assertEqual(limiter.interval, 1.0)


class NumbersTest(unittest.TestCase):
    def test_newer_lease_is_above_all_orders_of_an_older_one(self):
        older, newer = OrderNumbers(6), OrderNumbers(7)
        last = [older.next_order("2") for _ in range(1000)][-1]
        self.assertGreater(newer.next_order("2").fencing_number, last.fencing_number)

    def test_numbers_of_one_lease_rise(self):
        numbers = OrderNumbers(7)
        first, second = numbers.next_order("2"), numbers.next_order("3")
        self.assertLess(first.fencing_number, second.fencing_number)
        self.assertNotEqual(first.order, second.order)


class HeldLeaseTest(unittest.TestCase):
    def setUp(self):
        self.held = HeldLease(OrderNumbers(7), 0.0)

    def test_unanswered_order_is_sent_again_unchanged(self):
        first = self.held.order_for(view("e1", OLD))
        self.assertIs(self.held.order_for(view("e1", OLD)), first)

    def test_other_version_is_a_new_order(self):
        first = self.held.order_for(view("e1", OLD))
        changed = view("e1", OLD)
        changed.wanted.versions = {"3"}
        self.assertNotEqual(self.held.order_for(changed).order, first.order)

    def test_order_reported_by_the_engine_is_not_sent_again(self):
        """An engine that lost its version needs a new order, as it ignores old ones."""
        first = self.held.order_for(view("e1", OLD))
        self.held.record_state("e1", EngineState(version="2", order=first.order))
        self.assertNotEqual(self.held.order_for(view("e1", OLD)).order, first.order)
