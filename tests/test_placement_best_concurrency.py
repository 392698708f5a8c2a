"""Limit on the requests in progress at targets that slow down when nearly full."""

import random
import unittest

from nose2.tools import params

from bronzepoint_node.placement._best_concurrency import (
    EVIDENCE_SECONDS,
    BestConcurrency,
    find_knee,
)
from bronzepoint_node.placement._local_target_selector import SPEED_INTERVAL
from bronzepoint_node.policy._choose_target import has_free_capacity
from tests.test_placement_placer import Site, info

SLOTS = 48
PACE = 30.0
"""Events per second of a stream up to the knee."""
SEEDS = range(1, 6)


class _Target:
    """A target whose throughput grows up to a number of requests, its knee."""

    def __init__(self, knee, seed=1, slots=SLOTS):
        self.knee, self.slots = knee, slots
        self.concurrency = BestConcurrency()
        self.now = 0.0
        self.slow = 1.0
        self.rng = random.Random(seed)

    def run(self, seconds, demand, slowdown=1.0):
        """Serve a number of requests, at most as many as the limit allows."""
        limits = []
        for _ in range(round(seconds / SPEED_INTERVAL)):
            self.now += SPEED_INTERVAL
            wanted = demand(self.rng) if callable(demand) else demand
            limit = self.concurrency.limit or self.slots
            in_flight = min(wanted, limit)
            events = PACE * min(in_flight, self.knee) * SPEED_INTERVAL / self.slow
            events *= self.rng.lognormvariate(0.0, 0.03) / (slowdown or 1.0)
            self.concurrency.note_events(round(events))
            self.concurrency.update(in_flight, slowdown, self.slots, self.now)
            limits.append(self.concurrency.limit)
        return limits

    def ramp(self):
        """Raise the load step by step up to the slots."""
        for in_flight in range(self.slots // 8, self.slots + 1, 2):
            self.run(2, in_flight)


class TestLimit(unittest.TestCase):
    @params(*((s, knee) for s in SEEDS for knee in (24, 32)))
    def test_knee_is_found(self, seed, knee):
        """Guards against targets filled beyond what makes them finish more."""
        target = _Target(knee, seed)
        target.ramp()
        limits = target.run(15, SLOTS)
        self.assertLessEqual(abs(limits[-1] - knee), SLOTS // 8 + 2)

    @params(*SEEDS)
    def test_no_limit_where_throughput_grows_up_to_the_slots(self, seed):
        """Guards against unused slots of targets without a knee."""
        target = _Target(SLOTS, seed)
        target.ramp()
        self.assertEqual(set(target.run(30, SLOTS)), {None})
        varying = target.run(60, lambda rng: rng.randint(4, SLOTS))
        self.assertEqual(set(varying), {None})

    @params(*SEEDS)
    def test_short_slow_interval_sets_no_limit(self, seed):
        """Guards against a limit from requests that pile up in a slow interval."""
        target = _Target(SLOTS, seed)
        target.run(30, 24)
        for _ in range(5):
            target.slow = 2.5
            limits = target.run(0.6, 44)
            target.slow = 1.0
            limits += target.run(6, lambda rng: rng.randint(20, 44))
            self.assertEqual(set(limits), {None})

    def test_limit_is_at_least_a_quarter_of_the_slots(self):
        target = _Target(2)
        target.ramp()
        self.assertEqual(target.run(4, SLOTS)[-1], SLOTS // 4)

    def test_limit_rises_while_the_throughput_does(self):
        """Guards against a limit that stays after the knee has moved."""
        target = _Target(24)
        target.ramp()
        low = target.run(10, SLOTS)[-1]
        target.knee = SLOTS
        limits = target.run(200, SLOTS)
        self.assertTrue(limits[-1] is None or limits[-1] > low + 6, limits[-1])

    def test_limit_is_dropped_without_evidence(self):
        target = _Target(24)
        target.ramp()
        self.assertIsNotNone(target.run(1, 4)[-1])
        self.assertIsNone(target.run(EVIDENCE_SECONDS + 1, 4)[-1])

    def test_periods_of_much_reading_are_no_evidence(self):
        """Guards against a limit from streams that are slow beside long prompts."""
        target = _Target(24)
        for in_flight in range(6, SLOTS + 1, 2):
            limits = target.run(4, in_flight, slowdown=0.0)
            self.assertEqual(set(limits), {None})

    @params(
        ({}, None),
        ({0: 100.0, 1: 200.0}, None),
        ({0: 100.0, 1: 200.0, 2: 300.0}, None),
        ({0: 100.0, 3: 400.0, 4: 405.0, 5: 400.0}, 3),
        ({3: 400.0, 4: 405.0}, None),
    )
    def test_lowest_level_without_growth_above(self, throughputs, expected):
        self.assertEqual(find_knee(throughputs), expected)


class TestCopies(unittest.TestCase):
    def test_next_scheduler_takes_the_limit_over_once(self):
        """Guards against a limit that hosts keep alive by repeating it."""
        first, second = BestConcurrency(), BestConcurrency()
        first.apply_copy(20, 0.0)
        self.assertEqual(first.reported(1.0), 20)
        second.apply_copy(first.reported(1.0), 1.0)
        self.assertEqual(second.limit, 20)
        self.assertEqual(first.reported(60.0), 0)
        for tick in range(200):
            now = 1.0 + tick * SPEED_INTERVAL
            second.note_events(20)
            second.update(4, 1.0, SLOTS, now)
            second.apply_copy(20, now)
        self.assertIsNone(second.limit)
        self.assertEqual(second.reported(41.0), 0)


class TestSelection(unittest.TestCase):
    def test_limit_bounds_the_requests_of_all_hosts(self):
        site = Site(info("t1"))
        tracked = site.table.get("t1")
        tracked.concurrency.apply_copy(3, site.now)
        for number in range(3):
            view = site.placer.local_selector.view(tracked, None, 0, site.now)
            self.assertTrue(has_free_capacity(view, view.in_flight, 1))
            tracked.begin(f"r{number}", None, 0, site.now)
        view = site.placer.local_selector.view(tracked, None, 0, site.now)
        self.assertFalse(has_free_capacity(view, view.in_flight, 1))

    def test_other_regions_are_told_of_usable_slots_only(self):
        """Guards against forwarded requests for slots above the limit."""
        site = Site(info("t1"), info("t2"))
        site.table.get("t1").concurrency.apply_copy(20, site.now)
        (load,) = site.placer.region_loads(site.now)
        self.assertEqual(load.slots, 20 + site.table.get("t2").slots)

    def test_restart_has_no_limit(self):
        """Guards against the limit of a former start applied to the next one."""
        site = Site(info("t1~1"))
        site.table.get("t1~1").concurrency.apply_copy(3, site.now)
        site.update([info("t1~2")])
        self.assertIsNone(site.table.get("t1~2").concurrency.limit)
