"""Tests of the choice of a target."""

import unittest
from collections import Counter, deque
from random import Random

from nose2.tools import params

from bronzepoint_node.policy import TargetState, choose_target
from bronzepoint_node.policy._load_estimate import estimate_loads
from bronzepoint_node.policy._service_times import ServiceTimes
from tests._policy_fakes import request, target


def choose(views, req=None, times=None, hosts=1, seed=1, memory=1.0):
    times = times or ServiceTimes()
    return choose_target(
        req or request(), views, times, hosts, memory, Random(seed), 0.0
    )


def name_of(choice):
    return choice.target.name if choice.target else None


class TestExclusions(unittest.TestCase):
    @params(
        (target("a", state=TargetState.leaving), "leaving"),
        (target("a", state=TargetState.ejected), "ejected"),
        (target("a", state=TargetState.unknown), "not_ready"),
        (target("a", slots=2, in_flight=2), "full"),
        (target("a", slots=8, in_flight=1, allowed=1), "full"),
        (target("tried"), "tried"),
    )
    def test_single_target(self, view, reason):
        choice = choose([view], request(tried=["tried"]))
        self.assertIsNone(choice.target)
        self.assertEqual(choice.candidates[0].excluded, reason)

    def test_every_candidate_is_in_the_record(self):
        views = [target("a"), target("b", in_flight=7), target("c", slots=1)]
        choice = choose(views)
        self.assertEqual([c.name for c in choice.candidates], ["a", "b", "c"])
        chosen = [c.name for c in choice.candidates if c.excluded is None]
        self.assertEqual(chosen, [name_of(choice)])

    def test_own_share_is_usable_whatever_the_report_says(self):
        """A host may use its share of the slots although a report shows a full target.

        The last report counts so many requests of other hosts that the target looks
        full. Otherwise the host would send nothing while its callers wait.
        """
        view = target("a", slots=6, running=6, waiting=9, report_age=0.0)
        self.assertIsNotNone(choose([view], hosts=3).target)
        view.in_flight = view.in_flight_at_report = 2
        self.assertIsNone(choose([view], hosts=3).target)


class TestScores(unittest.TestCase):
    @params(
        ([target("a", in_flight=6), target("b", in_flight=1)], {}, "b"),
        ([target("a"), target("b", cached_tokens=4000)], {"prompt_tokens": 4000}, "b"),
        ([target("a", cost=9.0), target("b", cost=1.0)], {"worth": 10.0}, "b"),
        (
            [target("a", cost=2, in_flight=7), target("b", cost=1, in_flight=7.5)],
            {"cost_weight": 0.0, "latency_weight": 5.0},
            "a",
        ),
    )
    def test_prefers(self, views, fields, expected):
        for seed in range(20):
            choice = choose(views, request(**fields), seed=seed)
            self.assertEqual(name_of(choice), expected)

    def test_affinity_ends_where_the_load_is_uneven(self):
        """One target must not be overloaded while the others are idle.

        All requests share one long prefix, and the only target that has it cached
        looks best for each of them.
        """
        req = request(prompt_tokens=4000)
        hot = target("hot", slots=16, in_flight=13, cached_tokens=4000)
        idle = [target("b", slots=16), target("c", slots=16)]
        self.assertNotEqual(name_of(choose([hot, *idle], req)), "hot")
        hot.in_flight = 1
        self.assertEqual(name_of(choose([hot, *idle], req)), "hot")

    @params(
        # Weight of rereading, backlog of the target with the cached prompt, chosen.
        (0.0, 0.01, "keeps"),
        (0.0, 0.5, "idle"),
        (4.0, 0.5, "keeps"),
        (4.0, 1.5, "idle"),
    )
    def test_delay_accepted_to_use_a_cached_prompt(self, weight, backlog, expected):
        """A busier target is chosen if it saves computing cached tokens again.

        With only this request's delay in the score, and not the cost to others, a
        quarter of all prompt tokens were computed a second time at peak load.
        """
        times = ServiceTimes(hold=0.1, per_token=1 / 35_000)
        views = [
            target("keeps", cached_tokens=6000, backlog=backlog),
            target("idle"),
        ]
        req = request(
            prompt_tokens=9000, prefix_hashes=["p"], latency_weight=1.0, cost_weight=0.0
        )
        req.reread_weight = weight
        self.assertEqual(name_of(choose(views, req, times)), expected)

    def test_full_target_that_keeps_the_prompt_is_not_waited_for(self):
        """A request must not wait for a full target because of its cache.

        The only target that has the prompt cached is full. If its cache counted,
        waiting for it would look better than an idle target, and requests would be
        refused.
        """
        times = ServiceTimes(hold=0.1, per_token=1 / 35_000)
        views = [
            target("keeps", slots=4, in_flight=4, cached_tokens=6000),
            target("idle", slots=4),
        ]
        req = request(
            prompt_tokens=9000, prefix_hashes=["p"], latency_weight=1.0, cost_weight=0.0
        )
        req.reread_weight = 4.0
        self.assertEqual(name_of(choose(views, req, times)), "idle")

    def test_slow_target_is_avoided_and_later_used_again(self):
        times = ServiceTimes()
        for _ in range(20):
            times.add_first_token("a", 2.0, 100, 0.0)
            times.add_first_token("b", 0.1, 100, 0.0)
        self.assertGreater(times.slowness("a", 0.0), 5)
        self.assertEqual(times.slowness("b", 0.0), 1.0)
        self.assertLess(times.slowness("a", 300.0), 1.1)
        for seed in range(20):
            views = [target("a"), target("b", in_flight=3)]
            self.assertEqual(name_of(choose(views, times=times, seed=seed)), "b")

    def test_slow_target_is_not_used_as_overflow(self):
        """A slow target must not get every request that finds no free slot elsewhere.

        It always has free slots, since no other request uses it. A slot of the full
        target is free long before the slow one sends its first token.
        """
        times = ServiceTimes(hold=0.6)
        for _ in range(40):
            times.add_first_token("slow", 3.0, 100, 0.0)
            times.add_first_token("full", 0.1, 100, 0.0)
        views = [target("slow"), target("full", in_flight=8)]
        choice = choose(views, times=times)
        self.assertIsNone(choice.target)
        self.assertEqual(choice.usable, 2)

    def test_one_wrong_cache_estimate_makes_no_target_slow(self):
        """One wrong cache estimate must not make a healthy target look slow.

        A prompt was wrongly believed to be cached there, so one answer took twenty
        times the expected time. The target would get no work for half a minute.
        """
        times = ServiceTimes()
        for _ in range(20):
            times.add_first_token("a", 0.1, 50, 0.0)
            times.add_first_token("b", 0.1, 50, 0.0)
        times.add_first_token("a", 2.0, 50, 0.0)
        self.assertEqual(times.slowness("a", 0.0), 1.0)

    @params(
        # milliseconds of a target that gets few requests, whether it is slow
        (4, False),
        (6, False),
        (60, True),
    )
    def test_new_connections_make_no_target_slow(self, ms, is_slow):
        """Guards against a target that stays unused because its few requests each need
        a new connection."""
        times = ServiceTimes()
        for number in range(400):
            now = number * 0.025
            for name in "bc":
                times.add_first_token(name, 0.001, 0, now)
            if number % 40 == 0:
                times.add_first_token("a", ms / 1000, 0, now)
        self.assertEqual(times.slowness("a", now) > 1.0, is_slow)

    def test_hosts_agree_where_a_new_prefix_goes(self):
        """All hosts must send a new prefix to the same target.

        If hosts that know of no cached copy each chose another target, all targets
        would hold the same few prefixes, and no target the rare ones.
        """
        names = "abcd"
        for number in range(20):
            hashes = [f"{number}-{block}" for block in range(10)]
            req = request(prompt_tokens=4000, prefix_hashes=hashes)
            chosen = {
                name_of(choose([target(name) for name in names], req, seed=seed))
                for seed in range(9)
            }
            self.assertEqual(len(chosen), 1)

    def test_fit_follows_the_uncached_tokens(self):
        times = ServiceTimes()
        for i in range(400):
            uncached = 100 * (i % 7)
            times.add_first_token("a", 0.03 + 0.002 * uncached, uncached, float(i))
        self.assertAlmostEqual(times.base, 0.03, delta=0.003)
        self.assertAlmostEqual(times.per_token, 0.002, delta=0.0002)


class TestLateReports(unittest.TestCase):
    @params(0.0, 0.5, 5.0)
    def test_estimate_is_never_below_the_known_requests(self, age):
        """Guards against refusals beside a target whose estimate shows free slots.

        The selector skips the choice if all targets have as many known requests as
        slots, which is right only if no estimate is lower.
        """
        rng = Random(1)
        for _ in range(200):
            views = [
                target(
                    f"t{number}",
                    in_flight=rng.randrange(60),
                    in_flight_at_report=rng.randrange(60),
                    running=rng.randrange(60),
                    report_age=age,
                )
                for number in range(4)
            ]
            loads = estimate_loads(views, 1.0)
            for view, load in zip(views, loads, strict=True):
                self.assertGreaterEqual(load, view.in_flight)

    def test_old_report_is_replaced_by_the_mean(self):
        fresh = [
            target("a", running=6, report_age=0.0),
            target("b", running=0, report_age=0.0),
        ]
        self.assertEqual(estimate_loads(fresh, 1.0), [6.0, 0.0])
        for view in fresh:
            view.report_age = 60.0
        old = estimate_loads(fresh, 1.0)
        self.assertAlmostEqual(old[0], old[1], places=6)

    @params(*((seed, *case) for seed in range(1, 6) for case in ((1.0, 24), (5.0, 20))))
    def test_hosts_do_not_move_together(self, seed, late, bound):
        """The load of targets must not oscillate with the period of the reports.

        Nine hosts see the same late reports. If they relied on them alone, all would
        send everything to the target that was idle at the time of the report, since
        none knows what the others have sent since.
        """
        rng = Random(seed)
        hosts, names, slots, hold = 9, "abcdef", 24, 1.0
        running = deque()
        own = {(host, name): 0 for host in range(hosts) for name in names}
        reported: deque[tuple[Counter, dict]] = deque(maxlen=round(late * 10))
        worst = 0
        for step in range(600):
            now = step * 0.1
            while running and running[0][0] <= now:
                _, host, name = running.popleft()
                own[host, name] -= 1
            loads = Counter({name: 0 for name in names})
            for (_, name), count in own.items():
                loads[name] += count
            if step > 100:
                worst = max(worst, max(loads.values()) - min(loads.values()))
            reported.append((loads, dict(own)))
            seen, seen_own = reported[0]
            for host in range(hosts):
                views = [
                    target(
                        name,
                        slots=slots,
                        in_flight=own[host, name],
                        in_flight_at_report=seen_own[host, name],
                        running=seen[name],
                        report_age=late,
                    )
                    for name in names
                ]
                choice = choose(views, hosts=hosts, seed=rng.random())
                own[host, name_of(choice)] += 1
                running.append((now + hold, host, name_of(choice)))
        # 90 requests are in progress, 15 per target when evenly spread. Relying on the
        # reports alone makes the number at one target vary between none and all.
        self.assertLessEqual(worst, bound)
