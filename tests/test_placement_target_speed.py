"""Reading and writing speed of targets, relative to their service."""

import random
import unittest
from collections import Counter

import msgspec
from nose2.tools import params

from bronzepoint_node.fleet import EngineProperties, ServedService
from bronzepoint_node.placement import LocalPlacement, Prompt, PromptPart
from bronzepoint_node.placement._load_collector import LoadCollector
from bronzepoint_node.placement._target_speed import TargetSpeed, update_factors
from bronzepoint_node.policy import ServiceTimes
from bronzepoint_schema.generated.target_loads import FirstToken, TargetLoad
from tests.test_placement_placer import Site, info

SLOW_FACTOR = 2.5
"""Factor on the times of a target during a slow interval that is no fault."""
SLOW_SECONDS = 0.6
"""Length of such an interval."""
SERVICE = ServedService(
    "s", "/h", 100, engine=EngineProperties(16, 10_000_000, event_tokens=5)
)


class _Fleet:
    """Targets whose samples arrive at random moments.

    Args:
        times: Time of each target relative to its expected time.
        per_second: Samples per second of each target.
    """

    def __init__(self, *times, per_second=4.0, seed=1):
        self.times = list(times)
        self.speeds = [TargetSpeed() for _ in times]
        self.per_second = per_second
        self.now = 0.0
        self.rng = random.Random(seed)

    def run(self, seconds, step=0.05):
        """Let time pass; return the largest and least reading factor of each target."""
        seen = [[] for _ in self.times]
        for _ in range(round(seconds / step)):
            self.now += step
            for time, speed in zip(self.times, self.speeds, strict=True):
                if self.rng.random() < self.per_second * step:
                    noise = self.rng.lognormvariate(0.0, 0.15)
                    speed.reading.add(time * noise, self.now)
            update_factors(self.speeds, self.now)
            for factors, speed in zip(seen, self.speeds, strict=True):
                factors.append(speed.reading_factor)
        return [(max(factors), min(factors)) for factors in seen]

    def factors(self):
        update_factors(self.speeds, self.now)
        return [speed.reading_factor for speed in self.speeds]


SEEDS = range(1, 6)


class TestFactors(unittest.TestCase):
    @params(*SEEDS)
    def test_equal_targets_stay_equal(self, seed):
        """Guards against uneven load from noise of the samples."""
        for most, least in _Fleet(*[1.0] * 12, seed=seed).run(20):
            self.assertEqual((most, least), (1.0, 1.0))

    @params(*SEEDS)
    def test_one_in_four_is_faster(self, seed):
        """Guards against fast targets used as the others: below a ratio of two, too."""
        fleet = _Fleet(*[1 / 2.2, 1, 1, 1] * 3, seed=seed)
        fleet.run(10)
        for number, speed in enumerate(fleet.factors()):
            if number % 4:
                self.assertEqual(speed, 1.0)
            else:
                self.assertLess(speed, 0.65)
                self.assertGreater(speed, 0.4)

    @params(*((p, s) for p in (1.0, 4.0, 20.0) for s in SEEDS))
    def test_short_slow_interval_changes_nothing(self, per_second, seed):
        """Guards against a target left idle after an interval that is no fault."""
        fleet = _Fleet(*[1.0] * 8, per_second=per_second, seed=seed)
        fleet.run(10)
        fleet.times[0] = SLOW_FACTOR
        during = fleet.run(SLOW_SECONDS)
        fleet.times[0] = 1.0
        after = fleet.run(10)
        self.assertLess(max(during[0][0], after[0][0]), 1.35)
        for most, _ in (*during[1:], *after[1:]):
            self.assertEqual(most, 1.0)

    @params(*((f, s) for f in (2.2, 3.0) for s in SEEDS))
    def test_lasting_slowness_is_seen_and_forgotten(self, slow, seed):
        """Guards against a slow target that gets its usual share, or is left unused."""
        fleet = _Fleet(*[1.0] * 8, seed=seed)
        fleet.run(10)
        fleet.times[0] = slow
        fleet.run(3)
        self.assertGreater(fleet.factors()[0], 1.2)
        fleet.run(5)
        self.assertGreater(fleet.factors()[0], 1.4)
        fleet.times[0] = 1.0
        fleet.run(5)
        self.assertEqual(fleet.factors()[0], 1.0)

    def test_slowness_is_forgotten_without_new_samples(self):
        """Guards against a recovered target that gets no requests to show it."""
        fleet = _Fleet(*[1.0] * 7, SLOW_FACTOR)
        fleet.run(10)
        self.assertGreater(fleet.factors()[-1], 1.5)
        fleet.now += 10.0
        self.assertEqual(fleet.factors()[-1], 1.0)

    @params(*((wrong, s) for wrong in (0.25, 4.0) for s in SEEDS))
    def test_wrong_estimate_is_corrected_within_five_seconds(self, wrong, seed):
        fleet = _Fleet(*[1.0] * 8, seed=seed)
        fleet.times[0] = wrong
        fleet.run(10)
        fleet.times[0] = 1.0
        fleet.run(5)
        self.assertEqual(fleet.factors()[0], 1.0)

    def test_target_that_nearly_stops_leaves_the_others_alone(self):
        """Guards against a reference that follows one stuck target."""
        fleet = _Fleet(*[1.0] * 3, 40.0)
        fleet.run(6)
        *others, stuck = fleet.factors()
        self.assertEqual(others, [1.0] * 3)
        self.assertGreater(stuck, 8)

    def test_load_that_slows_all_targets_makes_none_look_slow(self):
        fleet = _Fleet(*[1.0] * 8)
        fleet.run(10)
        fleet.times = [3.0] * 8
        # The targets' medians change within 3 s of each other.
        fleet.run(3)
        self.assertEqual(fleet.run(10), [(1.0, 1.0)] * 8)

    def test_new_target_counts_as_slow_until_its_speed_is_known(self):
        """Guards against an overloaded new target where many targets are slow."""
        fleet = _Fleet(*[1.0] * 6, *[2.5] * 5)
        fleet.run(10)
        fleet.speeds.append(TargetSpeed())
        fleet.times.append(1.0)
        self.assertGreater(fleet.factors()[-1], 1.5)
        fleet.run(5)
        self.assertEqual(fleet.factors()[-1], 1.0)

    def test_speed_of_writing_is_used_where_no_prompts_were_measured(self):
        speeds = [TargetSpeed(event_seconds=0.03) for _ in range(4)]
        for tick in range(100):
            for speed in speeds:
                slow = 2.2 if speed is speeds[0] else 1.0
                speed.note_events(40, 40 * 0.05 * slow, tick * 0.04)
        update_factors(speeds, 4.0)
        self.assertGreater(speeds[0].writing_factor, 1.6)
        self.assertGreater(speeds[0].reading_factor, 1.3)
        self.assertEqual(speeds[1].reading_factor, 1.0)


class TestSelection(unittest.TestCase):
    def test_fast_targets_get_a_larger_share(self):
        """Guards against equal counts at targets of unequal speed."""
        counts = _serve({"t1": 1 / 2.2, "t2": 1.0, "t3": 1.0, "t4": 1.0})
        self.assertGreater(counts["t1"], 1.3 * counts["t2"])
        self.assertGreater(counts["t2"], 0)

    def test_equal_targets_get_equal_shares(self):
        counts = _serve({"t1": 1.0, "t2": 1.0, "t3": 1.0, "t4": 1.0})
        self.assertLess(max(counts.values()), 1.3 * min(counts.values()))

    def test_restart_under_the_same_name_begins_anew(self):
        """Guards against the speed of a former start applied to the next one."""
        site = Site(info("t1~1"), info("t2"), service=SERVICE)
        for tick in range(40):
            for name, seconds in (("t1~1", 0.4), ("t2", 0.1)):
                _learn(site, name, seconds, site.now + tick / 10)
        site.now += 4.0
        _choose(site)
        self.assertGreater(site.table.get("t1~1").speed.reading_factor, 1.5)
        site.update([info("t1~2"), info("t2")])
        self.assertEqual(site.table.get("t1~2").speed, TargetSpeed())

    def test_long_prompts_of_fast_targets_do_not_change_the_usual_rate(self):
        """Guards against a service rate that depends on which targets are measured."""
        site = Site(*map(info, ("t1", "t2", "t3")), service=SERVICE)
        for tick in range(200):
            for name, seconds in (("t1", 0.05), ("t2", 0.1), ("t3", 0.1)):
                _learn(site, name, seconds, site.now + tick / 10)
        site.now += 20.0
        _choose(site)
        rate = site.placer.estimates.rate("s").tokens_per_second
        selector = site.placer.local_selector
        fast = selector._rate(site.table.get("t1"))
        self.assertGreater(fast, 1.4 * selector._rate(site.table.get("t2")))
        self.assertEqual(selector._rate(site.table.get("t2")), rate)


class TestTakeover(unittest.TestCase):
    def setUp(self):
        self.scheduler = _site_with_fast_target()
        self.now = self.scheduler.now
        self.factor = self.scheduler.table.get("t1").speed.reading_factor
        self.assertLess(self.factor, 0.8)

    def test_next_scheduler_takes_the_estimates_over(self):
        """Guards against speeds learned anew each time a scheduler is lost."""
        member, successor = _copied_site(self.now), _copied_site(self.now)
        collector = LoadCollector("old", self.scheduler.table)
        collector.record("member", [], self.now)
        notice = collector.notices(self.now)["member"]
        _apply("old", notice.loads, member, self.now)
        later = self.now + 0.5
        reports = []
        for target in member.table.all():
            report = target.report_load(later)
            target.add_speed(report, later)
            reports.append(report)
        _apply("member", reports, successor, later)
        successor.now = later
        _choose(successor)
        speed = successor.table.get("t1").speed
        self.assertLess(speed.reading_factor, 0.85)
        self.assertEqual(successor.table.get("t2").speed.reading_factor, 1.0)

    def test_copies_that_are_passed_back_and_forth_age(self):
        """Guards against an old estimate that hosts keep alive by repeating it."""
        now = self.now
        source, other = self.scheduler, _copied_site(now)
        for _ in range(20):
            now += 1.0
            for sender, receiver in ((source, other), (other, source)):
                target = sender.table.get("t1")
                report = target.report_load(now)
                target.add_speed(report, now)
                _apply("peer", [report], receiver, now)
        source.now = now
        _choose(source)
        self.assertEqual(source.table.get("t1").speed.reading_factor, 1.0)

    @params(
        # Samples of the two hosts, factor that counts.
        (5, 20, 2.0),
        (20, 5, 0.5),
    )
    def test_estimate_with_more_samples_counts(self, first, second, expected):
        speed = TargetSpeed()
        speed.apply_copy(500, 500, first, 10.0)
        speed.apply_copy(2000, 2000, second, 10.0)
        update_factors([speed], 10.0)
        self.assertAlmostEqual(speed.reading_factor, expected, delta=0.01)

    def test_own_samples_replace_a_wrong_copy(self):
        """Guards against a copy that is wrong by a factor of four and stays in use."""
        fleet = _Fleet(*[1.0] * 4)
        fleet.speeds[0].apply_copy(4000, 4000, 20, 0.0)
        self.assertGreater(fleet.factors()[0], 3)
        fleet.run(5)
        self.assertEqual(fleet.factors()[0], 1.0)

    def test_reports_of_hosts_without_the_fields_change_nothing(self):
        """Guards against zeros of an earlier version taken as a speed."""
        speed = TargetSpeed()
        speed.apply_copy(0, 0, 0, 10.0)
        self.assertEqual(speed, TargetSpeed())

    def test_host_that_selects_nothing_reports_no_speed_of_its_own(self):
        """Guards against a member that reports its samples as the usual speed."""
        speed = TargetSpeed()
        for tick in range(30):
            speed.reading.add(3.0, tick / 10)
        self.assertEqual(speed.reported(3.0), (0, 0, 0))


class TestServiceTimes(unittest.TestCase):
    def test_estimates_of_a_service_cost_one_pass(self):
        """Guards against a choice that computes all factors for each candidate."""
        times = ServiceTimes()
        for name in "abc":
            times.add_first_token(name, 0.1, 50, 1.0)
        factors = times.factors
        for name in "abc":
            times.slowness(name, 1.1)
        self.assertIs(times.factors, factors)


def _site_with_fast_target():
    site = Site(*map(info, ("t1", "t2", "t3")), service=SERVICE)
    for tick in range(60):
        for name, seconds in (("t1", 0.04), ("t2", 0.1), ("t3", 0.1)):
            _learn(site, name, seconds, site.now + tick / 10)
    site.now += 6.0
    _choose(site)
    return site


def _copied_site(now):
    """Return another host with the same targets."""
    site = Site(*map(info, ("t1", "t2", "t3")), service=SERVICE)
    site.now = now
    return site


def _apply(sender, loads, site, now):
    """Let a host receive load reports, as they arrive from the network."""
    encoded = msgspec.msgpack.encode(loads)
    for load in msgspec.msgpack.decode(encoded, type=list[TargetLoad]):
        site.table.get(load.incarnation).apply_load(sender, load, now)


def _learn(site, name, seconds, now, tokens=2000):
    """Let a target's time to the first token be measured."""
    target = site.table.get(name)
    measured = FirstToken(target.info.incarnation, tokens, round(seconds * 1000), 0)
    site.placer.estimates.learn_first_token(target, measured, now)


def _choose(site, tokens=2000, number=0):
    own = PromptPart(f"own-{number}", tokens)
    prompt = Prompt((own,), tokens, 200, 100)
    request = site.placer.local_request(site.make_request(prompt=prompt))
    return site.placer.local_selector.choose(request, site.now), prompt


def _serve(times):
    """Return how many requests each target gets, if they take as long as `times`."""
    site = Site(*map(info, times), service=SERVICE)
    counts, running = Counter(dict.fromkeys(times, 0)), []
    for number in range(1200):
        site.now += 0.02
        for end, name, run in [entry for entry in running if entry[0] <= site.now]:
            site.table.get(name).load.end(run)
            running.remove((end, name, run))
            _learn(site, name, 0.12 * times[name], site.now)
        found, prompt = _choose(site, number=number)
        if isinstance(found, LocalPlacement):
            name, run = found.target.info.incarnation, f"r{number}"
            counts[name] += 1
            found.target.begin(run, prompt, 0, site.now)
            found.target.load.note_started(run, site.now)
            running.append((site.now + 0.5 * times[name], name, run))
    return counts
