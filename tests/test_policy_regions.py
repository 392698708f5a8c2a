"""Tests of the choice between this region and other regions."""

import math
import unittest
from collections import deque
from random import Random

from nose2.tools import params

from bronzepoint_node.policy import RegionView, choose_region
from bronzepoint_node.policy._backoff import RegionBackoff
from bronzepoint_node.policy._choose_region import (
    RegionEstimate,
    draw_region,
    region_exclusion,
    remote_estimate,
)
from bronzepoint_node.policy._ramp import ForwardRamp
from bronzepoint_node.policy._recent_forwards import RecentForwards
from bronzepoint_node.policy._service_times import ServiceTimes
from bronzepoint_node.policy._warm_prefixes import WarmPrefixes
from tests._policy_fakes import request

OWN_REGION = "bkk"


def estimate(name, delay, cost=0.0, slots=8):
    return RegionEstimate(RegionView(name, slots=slots), delay, cost)


def decide(local, remote, step=1000.0, seed=1, now=1.0, **fields):
    """Choose a region; by default the ramp's step is too large to limit anything."""
    ramp = ForwardRamp(step)
    req = request(**fields)
    left = req.deadline_left
    return choose_region(req, left, local, remote, ramp, 0.05, Random(seed), now).region


class TestExclusions(unittest.TestCase):
    @params(
        ({"name": "sgp", "slots": 8}, {"allowed_regions": ["bkk"]}, "residency"),
        ({"name": "bkk", "slots": 8}, {"allowed_regions": ["sgp"]}, "residency"),
        ({"name": "sgp", "slots": 8}, {"tried_regions": ["sgp"]}, "tried"),
        ({"name": "sgp", "slots": 0}, {}, "not_ready"),
        ({"name": "sgp", "slots": 8, "reachable": False}, {}, "unreachable"),
        ({"name": "sgp", "slots": 8, "age": 60.0}, {}, "unreachable"),
        ({"name": "sgp", "slots": 8, "hosts": 0}, {}, "unreachable"),
        ({"name": "bkk", "slots": 8, "reachable": False, "age": 60.0}, {}, None),
        ({"name": "sgp", "slots": 8}, {}, None),
    )
    def test_excluded(self, view, fields, expected):
        found = region_exclusion(RegionView(**view), request(**fields), OWN_REGION)
        self.assertEqual(found, expected)


class TestChoice(unittest.TestCase):
    @params(
        # Estimate of this region, estimates of others, request fields, chosen region.
        (estimate("bkk", 0.1), [estimate("sgp", 0.3)], {}, "bkk"),
        (estimate("bkk", 3.0), [estimate("sgp", 0.3)], {}, "sgp"),
        (estimate("bkk", 0.30), [estimate("sgp", 0.25)], {}, "bkk"),
        (None, [estimate("sgp", 0.3)], {}, "sgp"),
        (estimate("bkk", 9.0), [], {}, "bkk"),
        (None, [], {}, None),
        (estimate("bkk", 9.0), [estimate("sgp", 9.0)], {"deadline_left": 1.0}, "bkk"),
        # The cost is scaled by its weight and divided by the worth.
        (estimate("bkk", 0.1, 2.0), [estimate("sgp", 0.3, 1.0)], {"worth": 2.0}, "sgp"),
        (
            estimate("bkk", 0.1, 2.0),
            [estimate("sgp", 0.3, 1.0)],
            {"worth": 50.0},
            "bkk",
        ),
        (
            estimate("bkk", 0.1, 2.0),
            [estimate("sgp", 0.3, 1.0)],
            {"cost_weight": 0.0},
            "bkk",
        ),
    )
    def test_table(self, local, remote, fields, expected):
        self.assertEqual(decide(local, remote, **fields), expected)

    def test_deadline_overrides_the_ramp(self):
        local, remote = estimate("bkk", 9.0), [estimate("sgp", 0.3)]
        chosen = {
            decide(local, remote, step=1e-9, seed=seed, deadline_left=1.0)
            for seed in range(20)
        }
        self.assertEqual(chosen, {"sgp"})

    def test_delay_includes_cold_cache_and_round_trip(self):
        times = ServiceTimes(base=0.1, per_token=0.001)
        view = RegionView("sgp", slots=8, trip=0.06)
        req = request(prompt_tokens=1000)
        cold = remote_estimate(view, req, times, 0, 0.0)
        warm = remote_estimate(view, req, times, 0, 1.0)
        self.assertAlmostEqual(cold.delay, 0.06 + 0.1 + 1.0)
        self.assertAlmostEqual(warm.delay, 0.06 + 0.1)

    def test_forwards_since_the_summary_add_load(self):
        times = ServiceTimes(hold=1.0)
        view = RegionView("sgp", slots=8)
        idle = remote_estimate(view, request(), times, 0, 0.0)
        full = remote_estimate(view, request(), times, 40, 0.0)
        self.assertGreater(full.delay, idle.delay + 3)

    def test_spreads_over_equal_regions_by_free_slots(self):
        remote = [estimate("sgp", 0.3, slots=30), estimate("cnx", 0.3, slots=10)]
        rng = Random(1)
        drawn = [draw_region(remote, request(), rng).view.name for _ in range(1000)]
        self.assertAlmostEqual(drawn.count("sgp") / 1000, 0.75, delta=0.06)


class TestForwardingState(unittest.TestCase):
    def test_warm_prefixes_expire(self):
        warm = WarmPrefixes()
        warm.add("sgp", ["a", "b"], 0.0)
        self.assertEqual(warm.warm_share("sgp", ["a", "b", "c", "d"], 1.0), 0.5)
        self.assertEqual(warm.warm_share("sgp", ["x", "b"], 1.0), 0.0)
        self.assertEqual(warm.warm_share("sgp", ["a", "b"], 100.0), 0.0)
        self.assertEqual(warm.warm_share("cnx", ["a", "b"], 1.0), 0.0)

    def test_forwards_since(self):
        sent = RecentForwards()
        for now in (1.0, 2.0, 3.0):
            sent.add("chat", "sgp", now)
        self.assertEqual(sent.count_since("chat", "sgp", 1.5), 2)
        self.assertEqual(sent.count_since("chat", "cnx", 0.0), 0)

    def test_backoff_doubles_once_for_each_pause(self):
        backoff, rng = RegionBackoff(), Random(1)
        backoff.record_refusal(0.0, rng)
        first = backoff.pause
        backoff.record_refusal(0.01, rng)
        self.assertEqual(backoff.pause, first)
        backoff.record_refusal(backoff.until, rng)
        self.assertEqual(backoff.pause, 2 * first)
        self.assertTrue(backoff.is_paused(backoff.until - 0.01))
        self.assertFalse(backoff.is_paused(backoff.until))

    def test_one_probe_after_a_pause(self):
        """Only one request is risked after a pause on a link that may still be down.

        Without the probe, many requests would hang at the end of each pause.
        """
        backoff, rng = RegionBackoff(), Random(1)
        backoff.record_refusal(0.0, rng, 2.0)
        after = backoff.until
        self.assertFalse(backoff.is_paused(after))
        backoff.record_sent(after)
        self.assertTrue(backoff.is_paused(after + 0.5))
        backoff.record_answer()
        self.assertFalse(backoff.is_paused(after + 0.5))


class TestRamp(unittest.TestCase):
    def test_slope_is_bounded(self):
        """A region with cold caches must not get another region's whole load at once.

        The own region fails, and every request prefers the other one. Its caches hold
        none of the prompts, so each request costs the full prefill.
        """
        ramp = ForwardRamp(0.5)
        shares = [ramp.update(True, now / 10) for now in range(30)]
        steps = [b - a for a, b in zip(shares, shares[1:], strict=False)]
        self.assertLessEqual(max(steps), 0.5 * 0.1 + 0.05 + 1e-9)
        self.assertEqual(shares[-1], 1.0)
        self.assertGreater(ramp.update(False, 3.0), 0.9)

    def test_pause_causes_no_jump(self):
        ramp = ForwardRamp(0.5)
        ramp.update(True, 0.0)
        self.assertLess(ramp.update(True, 1000.0), 0.6)

    def test_load_returns_slowly(self):
        ramp = ForwardRamp(0.5, 1.0, 0.0)
        local, remote = estimate("bkk", 0.1), [estimate("sgp", 0.2)]
        rng = Random(1)
        chosen = [
            choose_region(
                request(), 30.0, local, remote, ramp, 0.05, rng, now / 100
            ).region
            for now in range(400)
        ]
        self.assertGreater(chosen[:50].count("sgp"), 30)
        self.assertEqual(chosen[250:].count("sgp"), 0)

    @params(1, 2, 3)
    def test_regions_do_not_exchange_their_load(self, seed):
        """Two regions must not forward their load to each other at the same time.

        Their peaks are offset, and between the peaks both are equally loaded. Each sees
        the other's load one second late and may take it for idle, so each could forward
        requests that it would serve itself with warm caches.
        """
        regions = OffsetPeaks(seed)
        for _ in range(60):
            regions.run_second()
        self.assertLess(regions.exchanged / regions.total, 0.01)
        self.assertLess(regions.remote / regions.total, 0.15)
        self.assertGreater(regions.remote / regions.total, 0.03)


class OffsetPeaks:
    """Two regions of three hosts with opposite peaks in a cycle of 60 s."""

    NAMES = ("bkk", "sgp")
    STEP = 0.05
    SLOTS = 20

    def __init__(self, seed):
        self.rng = Random(seed)
        self.times = ServiceTimes(hold=1.0, base=0.05, per_token=0.0)
        hosts = [(name, host) for name in self.NAMES for host in range(3)]
        self.ramps = {host: ForwardRamp(0.5) for host in hosts}
        self.sent = {host: RecentForwards() for host in hosts}
        self.running = dict.fromkeys(self.NAMES, 0)
        self.history = deque(maxlen=round(1 / self.STEP))
        self.end_times = []
        self.now = 0.0
        self.total = self.remote = self.exchanged = 0

    def run_second(self):
        forwarded = dict.fromkeys(self.NAMES, 0)
        for _ in range(round(1 / self.STEP)):
            self.now += self.STEP
            self.end_requests()
            self.history.append(dict(self.running))
            wave = math.sin(2 * math.pi * self.now / 60)
            for home, other, sign in (("bkk", "sgp", 1), ("sgp", "bkk", -1)):
                probability = (18 + sign * 10 * wave) * self.STEP / 3
                for host in range(3):
                    if self.rng.random() < probability:
                        forwarded[home] += self.start_request(home, other, host) != home
        self.remote += sum(forwarded.values())
        self.exchanged += min(forwarded.values())

    def end_requests(self):
        for _, region in [item for item in self.end_times if item[0] <= self.now]:
            self.running[region] -= 1
        self.end_times = [item for item in self.end_times if item[0] > self.now]

    def start_request(self, home, other, host):
        excess_load = max(0, self.running[home] + 1 - self.SLOTS)
        local = RegionEstimate(
            RegionView(home, slots=self.SLOTS), 0.05 + excess_load / self.SLOTS, 1.0
        )
        since = 3 * self.sent[home, host].count_since("chat", other, self.now - 1.0)
        busy = self.history[0][other]
        view = RegionView(other, slots=self.SLOTS, in_progress=busy, trip=0.06)
        there = remote_estimate(view, request(), self.times, since, 1.0)
        ramp = self.ramps[home, host]
        chosen = choose_region(
            request(), 30.0, local, [there], ramp, 0.05, self.rng, self.now
        ).region
        self.running[chosen] += 1
        self.total += 1
        # In the other region caches are colder, so the request holds its slot longer.
        self.end_times.append((self.now + (1.0 if chosen == home else 1.3), chosen))
        if chosen != home:
            self.sent[home, host].add("chat", other, self.now)
        return chosen
