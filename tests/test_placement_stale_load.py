"""Tests of hosts that choose targets by load information that may be wrong."""

import unittest
from collections import Counter

import curio
import msgspec
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.placement import LocalPlacement
from bronzepoint_node.placement._balance_monitor import MAX_INTERVAL, BalanceMonitor
from bronzepoint_node.placement._load_collector import NOTICE_INTERVAL
from bronzepoint_node.placement._load_exchange import RELEARN_TIME
from bronzepoint_node.placement._staleness_bound import MAX_AGE
from bronzepoint_node.placement._tracked_target import EngineReport
from bronzepoint_platform._settings import HostSettings
from bronzepoint_schema.generated.settings import PlacementSection
from bronzepoint_schema.generated.target_loads import TargetLoad
from tests._scheduling_region import SLOTS, Region

HOSTS = 64
AGE = 1.0


def load(target, in_flight):
    """Return a report of other hosts' requests, all of which have started."""
    return TargetLoad(target, in_flight, 0, [0] * 4, 0, 0, 0)


def choose_once(region, age=AGE, reported=None):
    """Let each host choose once without learning of the others' choices."""
    now, counts = monotonic(), Counter({name: 0 for name in region.targets})
    for host in region.hosts.values():
        for target, in_flight in (reported or {}).items():
            tracked = host.table.get(target)
            tracked.apply_load("10.9.9.9", load(target, in_flight), now)
        selector = host.placer.local_selector
        selector._selecting_hosts = lambda: region.names
        found = selector.choose(host.make_request(), now, age)
        if isinstance(found, LocalPlacement):
            counts[found.target.info.incarnation] += 1
    return counts


class TestOwnChoice(unittest.TestCase):
    def test_hosts_without_scheduler_do_not_move_together(self):
        """Guards against an idle target that is overrun once the scheduler is lost."""
        reported = {f"t{n}": SLOTS * 3 // 4 for n in range(6)} | {"t0": 4}
        for enabled, bound in ((True, SLOTS - 4), (False, HOSTS + 1)):
            region = Region(HOSTS, 6)
            for host in region.hosts.values():
                host.placer.local_selector._spread_by_age = enabled
            counts = choose_once(region, reported=reported)
            self.assertLess(counts["t0"], bound)
            if not enabled:
                self.assertGreater(counts["t0"], SLOTS, "no failure to guard against")

    def test_missing_information_is_replaced_by_the_report_of_the_target(self):
        """Guards against a full target that looks idle once reports were dropped."""
        region = Region(HOSTS, 2)
        now = monotonic()
        for host in region.hosts.values():
            for target, running in (("t0", SLOTS), ("t1", 0)):
                tracked = host.table.get(target)
                tracked.apply_report(EngineReport(running, 0, 0, 0), now, running)
        counts = choose_once(region, age=MAX_AGE)
        self.assertGreater(counts["t1"], 0)
        self.assertEqual(sum(counts.values()), HOSTS)

    def test_target_that_reports_idle_and_is_not(self):
        """Guards against a target that gets all requests because its report is wrong.

        Its own report says that it runs nothing. What this host sends there counts
        nonetheless.
        """
        region = Region(1, 2)
        (host,) = region.hosts.values()
        now = monotonic()
        selector = host.placer.local_selector
        selector._selecting_hosts = lambda: [f"h{n}" for n in range(HOSTS)]
        counts = Counter()
        for number in range(SLOTS):
            host.table.get("t0").apply_report(EngineReport(0, 0, 0, 0), now, 9)
            request = host.make_request()
            found = selector.choose(request, now, AGE)
            found.target.begin(str(number), request.prompt, 0, now)
            counts[found.target.info.incarnation] += 1
        self.assertGreaterEqual(min(counts.values()), SLOTS // 4)

    def test_half_of_the_hosts_with_different_information(self):
        """Guards against two groups that each overrun the target idle in their view."""
        region = Region(HOSTS, 6)
        now = monotonic()
        for number, host in enumerate(region.hosts.values()):
            idle = f"t{number % 2}"
            for target in region.targets:
                in_flight = 4 if target == idle else SLOTS * 3 // 4
                host.table.get(target).apply_load("x", load(target, in_flight), now)
        counts = choose_once(region)
        self.assertLess(max(counts.values()), SLOTS * 3 // 4)

    def test_scheduler_choice_stays_exact(self):
        """Guards against a scheduler that draws although it counts all grants."""
        region = Region(HOSTS, 3)
        host = next(iter(region.hosts.values()))
        selector = host.placer.local_selector
        selector._selecting_hosts = lambda: [host.name]
        now = monotonic()
        for target, in_flight in (("t0", 20), ("t1", 2), ("t2", 20)):
            host.table.get(target).apply_load("x", load(target, in_flight), now)
        for _ in range(20):
            found = selector.choose(host.make_request(), now, 0.04)
            self.assertEqual(found.target.info.incarnation, "t1")


class TestNewScheduler(unittest.TestCase):
    def test_returning_scheduler_states_the_age_of_its_count(self):
        """Guards against a returning scheduler that takes an outdated count for exact.

        It dropped what it knew, and the other hosts have chosen by themselves since.
        """

        async def main():
            async with Region(HOSTS, 2) as region:
                await curio.sleep(RELEARN_TIME)
                exchange = region.scheduler.exchange
                before = exchange.staleness(monotonic())
                exchange._switch_collector(region.members[0].name)
                exchange._switch_collector(exchange._name)
                after = exchange.staleness(monotonic())
                await curio.sleep(RELEARN_TIME + NOTICE_INTERVAL)
                return before, after, exchange.staleness(monotonic())

        before, after, later = curio.run(main)
        self.assertLess(before, MAX_AGE)
        self.assertEqual(after, MAX_AGE)
        self.assertLess(later, 1.0)


class TestSetting(unittest.TestCase):
    @params(({}, True), ({"placement": {"spread_by_age": False}}, False))
    def test_platform_table_is_optional(self, table, expected):
        """Guards against platforms without the table that no longer start."""
        values = {
            "node_name": "e0",
            "ip": "10.1.0.1",
            "zone": "z",
            "region": "r",
            "port_range": [1, 2],
            "seeds": [],
            "listen": {},
        }
        cfg = msgspec.convert(values | table, HostSettings, strict=False)
        self.assertEqual(cfg.placement.spread_by_age, expected)

    def test_own_settings_have_it_on_by_default(self):
        """Guards against a default that switches the spread off."""
        self.assertTrue(PlacementSection().spread_by_age)


class TestBalanceMonitor(unittest.TestCase):
    def setUp(self):
        self.region = Region(1, 2)
        (host,) = self.region.hosts.values()
        self.table, self.metrics = host.table, Metrics()
        self.monitor = BalanceMonitor(self.table, self.metrics)
        self.now = monotonic()

    def observe(self, loads, waiting, elapsed=0.1):
        self.now += elapsed
        for target, in_flight in loads.items():
            tracked = self.table.get(target)
            tracked.apply_load("x", load(target, in_flight), self.now)
        self.monitor.observe("s", waiting, self.now)

    def test_largest_over_mean(self):
        self.observe({"t0": 30, "t1": 10}, 0)
        self.assertEqual(self.metrics.gauges()["balance.s.largest_over_mean"], 1.5)

    @params(
        ({"t0": SLOTS, "t1": 10}, 3, 0.1, 100),
        ({"t0": SLOTS, "t1": 10}, 0, 0.1, 0),
        ({"t0": SLOTS, "t1": SLOTS}, 3, 0.1, 0),
        ({"t0": SLOTS, "t1": 10}, 3, 2 * MAX_INTERVAL, 0),
    )
    def test_time_with_idle_slots_while_requests_wait(
        self, loads, waiting, elapsed, expected
    ):
        self.observe(loads, waiting)
        self.observe(loads, waiting, elapsed)
        counters = self.metrics.counters()
        self.assertEqual(counters.get("balance.s.idle_while_waiting_ms", 0), expected)
