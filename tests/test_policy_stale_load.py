"""Tests of the choice of a target by load information of some age."""

import itertools
import math
import unittest

from nose2.tools import params

from bronzepoint_node.policy import choose_target
from bronzepoint_node.policy._aged_load import estimate_aged_loads, fill_evenly
from bronzepoint_node.policy._service_times import ServiceTimes
from tests._policy_fakes import request, target
from tests._stale_load_replay import EQUAL, UNEQUAL, Draws, Replay

REPORT_MEMORY = 1.0
AGES = (0.0, 0.1, 0.5, 1.0, 2.0, 5.0)
CELLS = [(1, age) for age in (0.0, 5.0)] + list(itertools.product((9, 30, 80), AGES))
"""Hosts and seconds. A single host has exact information whatever its age."""


def by_counts(req, views, times, hosts, draws, now):
    """The former choice of hosts that lost their scheduler: old counts as current."""
    for view in views:
        view.in_flight += max(0, view.running - view.in_flight_at_report)
        view.running, view.report_age = 0, math.inf
    return choose_target(req, views, times, hosts, REPORT_MEMORY, draws.rng, now, False)


def by_reports(req, views, times, hosts, draws, now):
    """The former choice of the own interface: reports lose weight with their age."""
    return choose_target(req, views, times, hosts, REPORT_MEMORY, draws.rng, now, False)


def by_spread(req, views, times, hosts, draws, now):
    return choose_target(
        req,
        views,
        times,
        hosts,
        REPORT_MEMORY,
        draws.rng,
        now,
        False,
        hosts,
        draws.sequence,
    )


class TestReplay(unittest.TestCase):
    @params(*CELLS)
    def test_equal_targets_wait_no_longer_than_before(self, hosts, age):
        """Guards against targets that are overrun in turns by stale information."""
        self.check(hosts, age, EQUAL)

    @params(*CELLS)
    def test_unequal_targets_wait_no_longer_than_before(self, hosts, age):
        """Guards against slow or small targets that get as much as the others."""
        self.check(hosts, age, UNEQUAL)

    @params(EQUAL, UNEQUAL)
    def test_second_old_information_is_nearly_as_good_as_exact(self, *targets):
        """Guards against waiting that is due to the age of the information alone."""
        exact = Replay(by_reports, 80, 0.0, targets).p99()
        self.assertLessEqual(Replay(by_spread, 80, 1.0, targets).p99(), 1.3 * exact)

    def check(self, hosts, age, targets):
        spread = Replay(by_spread, hosts, age, targets)
        if hosts == 1 or age == 0:
            # Exact information: the choices are those of the former way, one by one.
            former = Replay(by_reports, hosts, age, targets)
            self.assertEqual(spread.waits, former.waits)
            return
        for former in (by_counts, by_reports):
            bound = Replay(former, hosts, age, targets).p99()
            self.assertLessEqual(spread.p99(), bound, former.__name__)


class TestChoice(unittest.TestCase):
    def test_exact_information_gives_the_exact_choice(self):
        """Guards against a draw that spreads requests although all loads are known."""
        views = [
            target(n, slots=9, running=n_in, report_age=0.0)
            for n, n_in in (("a", 6), ("b", 1), ("c", 5))
        ]
        for seed in range(20):
            choice = by_spread(request(), views, ServiceTimes(), 80, Draws(seed), 0.0)
            self.assertEqual(choice.target.name, "b")

    def test_old_information_gives_shares_by_capacity(self):
        """Guards against a small target that gets as many requests as a large one."""
        views = [
            target("large", slots=48, running=0, report_age=5.0),
            target("small", slots=16, running=16, report_age=5.0),
        ]
        draws, names = Draws(1), []
        for _ in range(400):
            chosen = by_spread(request(), views, ServiceTimes(), 80, draws, 0.0).target
            names.append(chosen.name)
        self.assertAlmostEqual(names.count("large") / 400, 0.75, delta=0.08)

    def test_cached_prompt_attracts_up_to_the_room(self):
        """Guards against losing the cache as soon as the information is old.

        The target that holds the prompt gets most requests while it has room, but not
        all of them once the other hosts fill it.
        """
        times = ServiceTimes(hold=2.5, per_token=1 / 35_000)
        req = request(prompt_tokens=9000, latency_weight=1.0, cost_weight=0.0)
        req.reread_weight = 4.0
        views = [target(n, slots=48, running=10, report_age=0.5) for n in "abcd"]
        views[0].cached_tokens = 6000
        draws = Draws(1)
        names = [
            by_spread(req, views, times, 80, draws, 0.0).target.name for _ in range(200)
        ]
        self.assertGreater(names.count("a"), 150)
        for view in views:
            view.running = 40
        names = [
            by_spread(req, views, times, 80, draws, 0.0).target.name for _ in range(200)
        ]
        self.assertLess(names.count("a"), 150)


class TestEstimate(unittest.TestCase):
    def test_ended_requests_are_replaced_where_there_is_room(self):
        """Guards against counting requests that must have ended by now."""
        views = [
            target("a", slots=20, running=20, report_age=1.0),
            target("b", slots=20, running=0, report_age=1.0),
        ]
        a, b = estimate_aged_loads(views, [1.0, 1.0], 80)
        self.assertAlmostEqual(a.load, b.load, delta=0.01)
        self.assertAlmostEqual(a.load + b.load, 20, delta=0.01)

    def test_own_requests_count_exactly(self):
        """Guards against own requests that lose weight with the age of a report."""
        view = target(
            "a", in_flight=5, in_flight_at_report=5, running=5, report_age=4.0
        )
        (load,) = estimate_aged_loads([view], [1.0], 80)
        self.assertEqual(load.load, 5.0)

    def test_missing_information_counts_others_like_this_host(self):
        """Guards against a host that sees only its own requests after a restart."""
        views = [target("a", in_flight=2), target("b")]
        loads = estimate_aged_loads(views, [1.0, 1.0], 10)
        self.assertAlmostEqual(sum(load.load for load in loads), 20.0, delta=0.01)

    @params((-0.3,), (0.3,))
    def test_clock_of_another_host(self, age):
        """Guards against information from the future that is taken for exact."""
        views = [target("a", running=6, report_age=age), target("b", report_age=age)]
        a, b = estimate_aged_loads(views, [1.0, 1.0], 9)
        self.assertLess(a.certain, 6)
        self.assertGreater(b.starts, 0)

    @params((-1e9,), (1e9,), (math.inf,))
    def test_unusable_times_count_as_missing(self, age):
        """Guards against a clock that is wrong by years."""
        views = [target("a", running=6, report_age=age), target("b", report_age=age)]
        a, b = estimate_aged_loads(views, [1.0, 1.0], 9)
        self.assertEqual((a.load, b.load), (0.0, 0.0))

    @params(
        ([0.0, 0.0], 4.0, None, [2.0, 2.0]),
        ([0.0, 3.0], 1.0, None, [1.0, 0.0]),
        ([0.0, 1.0], 3.0, None, [2.0, 1.0]),
        ([0.0, 1.0], 3.0, [0.5, 9.0], [0.5, 2.5]),
        ([0.0, 1.0], 9.0, [1.0, 1.0], [1.0, 1.0]),
        ([0.0, 0.0], 0.0, None, [0.0, 0.0]),
    )
    def test_even_fill(self, heights, amount, bounds, expected):
        shares = fill_evenly(heights, [1.0, 1.0], amount, bounds)
        for share, wanted in zip(shares, expected, strict=True):
            self.assertAlmostEqual(share, wanted)
