"""Aggregation of target loads through one host of the region."""

import unittest
import unittest.mock
from collections import Counter

from nose2.tools import params

from bronzepoint_node.fleet import EngineProperties, ServedService
from bronzepoint_node.placement import (
    EngineReport,
    LoadExchange,
    Reservations,
    ServiceEstimates,
    TargetTable,
    is_unresponsive,
)
from bronzepoint_node.placement._collector_selector import MAX_DIRECT, CollectorSelector
from bronzepoint_node.placement._engine_load import OwnRun
from bronzepoint_node.placement._load_collector import NOTICE_INTERVAL
from bronzepoint_node.placement._load_exchange import REPORT_INTERVAL
from bronzepoint_node.placement._staleness_bound import MAX_AGE
from bronzepoint_schema.generated.fleet import TargetInfo

NOTICE_STEPS = round(NOTICE_INTERVAL / 0.1) + 2
"""Steps within which members get each other's loads. Members select targets by them
only if the collector, which has current loads, does not answer."""
MAX_CHOICE_AGE_S = 0.05
"""Maximum age in seconds of the data behind a choice in a region."""
TARGETS = ("t1", "t2")
ENGINE = ServedService("s", "/h", 100, 3.0, 2.0, EngineProperties(64, 200_000))


class Network:
    """Delivers notices between exchanges at once, except to partitioned hosts."""

    def __init__(self, names):
        self.now = 100.0
        self.partitioned = set()
        self.sent = Counter()
        self.known = {name: set(names) - {name} for name in names}
        self.hosts = {name: Member(self, name) for name in names}

    def step(self, seconds=0.1):
        self.now += seconds
        for host in self.hosts.values():
            host.exchange._report(sorted(self.known[host.name]), self.now)

    def steps(self, count):
        for _ in range(count):
            self.step()


class Member:
    """One entry host, which also serves as the `peers` that its exchange posts to."""

    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.table = TargetTable()
        infos = [TargetInfo(t, "s", f"{t}:1", "z", 8, False, 0) for t in TARGETS]
        self.table.update(infos, 0.0, {"s": ENGINE}, frozenset(), network.now)
        self.exchange = LoadExchange(
            name, self, self.table, ServiceEstimates(), Reservations(), lambda: []
        )

    def register(self, area, union, handler):
        self.handler = handler

    def post(self, peer, area, message):
        self.network.sent[self.name] += 1
        if not {self.name, peer} & self.network.partitioned:
            self.network.hosts[peer].take(self.name, message)

    def take(self, peer, message):
        try:
            self.handler(peer, message).send(None)
        except StopIteration:
            pass

    def begin(self, target, rank=0, tokens=100):
        tracked = self.table.get(target)
        number = len(tracked.load.runs)
        tracked.load.begin(f"{number}", OwnRun(tokens, tokens, rank, self.network.now))

    def in_flight(self, target):
        return self.table.get(target).load.in_flight(self.network.now)

    @property
    def collector(self):
        return self.exchange._collector


def names(count):
    return [f"10.1.0.{number}" for number in range(count)]


class TestCollector(unittest.TestCase):
    def setUp(self):
        # Reports expire by the monotonic clock that the handlers read.
        patch = unittest.mock.patch(
            "bronzepoint_node.placement._load_exchange.monotonic",
            lambda: self.network.now,
        )
        patch.start()
        self.addCleanup(patch.stop)

    def region(self, count):
        self.network = Network(names(count))
        self.hosts = list(self.network.hosts.values())
        self.network.steps(12)

    def selecting_hosts(self):
        """Return the hosts that select targets for requests."""
        return [h for h in self.hosts if h.exchange.scheduler is None]

    @params((2,), (MAX_DIRECT + 1,), (MAX_DIRECT + 2,), (23,))
    def test_every_host_knows_what_all_have_in_progress(self, count):
        self.region(count)
        for host in self.hosts:
            host.begin("t1")
        self.hosts[0].begin("t2", tokens=40_000)
        self.network.step()
        for host in self.selecting_hosts():
            self.assertEqual(host.in_flight("t1"), count)
        self.network.steps(NOTICE_STEPS)
        self.assertEqual([h.in_flight("t1") for h in self.hosts], [count] * count)
        self.assertEqual([h.in_flight("t2") for h in self.hosts], [1] * count)
        for host in self.hosts[1:]:
            before = host.table.get("t2").load.tokens_before(0, 1e-9, self.network.now)
            self.assertAlmostEqual(before, 40_000, delta=1)

    @params((MAX_DIRECT + 1, None), (MAX_DIRECT + 2, 1), (23, 1))
    def test_number_of_collectors(self, count, collectors):
        self.region(count)
        found = {host.collector for host in self.hosts}
        self.assertEqual(found == {None}, collectors is None)
        self.assertEqual(len(found), 1)

    def test_messages_grow_with_the_hosts_and_not_with_their_square(self):
        """Guards against notices that use a fifth of each host's processor at 70 hosts.

        Each request changes a load. If every host reports to every other host, the
        number of messages grows with the square of the hosts.
        """
        most = {}
        for count in (12, 24):
            self.region(count)
            self.network.sent.clear()
            for _ in range(10):
                for host in self.hosts:
                    host.begin("t1")
                self.network.step()
            most[count] = sorted(self.network.sent.values())
        self.assertEqual(most[24][-2], most[12][-2], "members send no more messages")
        self.assertLessEqual(most[24][-1], 2.2 * most[12][-1])

    def test_dead_collector_is_replaced(self):
        """Guards against hosts of a region that all send to the same target.

        This happens when the collector dies but still counts as live for a while, and
        its members no longer get each other's loads.
        """
        self.region(9)
        former = self.hosts[0].collector
        self.network.partitioned.add(former)
        self.network.steps(26)
        left = [host for host in self.hosts if host.name != former]
        self.assertEqual(len({host.collector for host in left}), 1)
        self.assertNotEqual(left[0].collector, former)
        for host in left:
            host.begin("t1")
        self.network.step()
        (selecting_host,) = [host for host in left if host.exchange.scheduler is None]
        self.assertEqual(selecting_host.in_flight("t1"), 8)
        self.network.steps(NOTICE_STEPS)
        self.assertEqual([h.in_flight("t1") for h in left], [8] * 8)

    def test_reachable_collector_resumes(self):
        """Guards against hosts that each permanently know half of a region's load.

        This happens when a network partition separates some hosts from the collector,
        and they keep their second choice after it has ended.
        """
        self.region(9)
        former = self.hosts[0].collector
        self.network.partitioned.add(former)
        self.network.steps(26)
        self.network.partitioned.clear()
        self.network.steps(25)
        self.assertEqual({host.collector for host in self.hosts}, {former})
        for host in self.hosts:
            host.begin("t2")
        self.network.step()
        (selecting_host,) = self.selecting_hosts()
        self.assertEqual(selecting_host.in_flight("t2"), 9)
        self.network.steps(NOTICE_STEPS)
        self.assertEqual([h.in_flight("t2") for h in self.hosts], [9] * 9)

    def test_collector_change_counts_no_load_twice(self):
        """Guards against refused requests because targets look twice as busy for 3 s.

        This happens when a new host becomes the collector, and the sum of the former
        one is kept beside the new one.
        """
        everyone = names(12)
        joining = CollectorSelector(everyone[0]).order(everyone[1:])[0]
        self.region(12)
        for host in self.hosts:
            self.network.known[host.name].discard(joining)
        self.network.steps(40)
        present = [host for host in self.hosts if host.name != joining]
        for host in present:
            host.begin("t1")
        self.network.steps(NOTICE_STEPS)
        for host in present:
            self.network.known[host.name].add(joining)
        for _ in range(2 * NOTICE_STEPS):
            self.network.step()
            self.assertLessEqual(max(h.in_flight("t1") for h in present), 11)
        self.assertEqual({h.in_flight("t1") for h in present}, {11})

    def test_restarted_collector_receives_full_loads(self):
        """Guards against targets that are overloaded for a second after a restart.

        A restarted collector knows no requests of its members. They report only
        changes, and their full load once a second.
        """
        self.region(9)
        for host in self.hosts:
            host.begin("t1")
        self.network.steps(12)
        (former,) = self.selecting_hosts()
        restarted = self.network.hosts[former.name] = Member(self.network, former.name)
        restarted.exchange._selector = former.exchange._selector
        for host in self.hosts:
            if host is not former:
                host.begin("t2")
        self.network.steps(3)
        self.assertEqual(restarted.in_flight("t1"), 8)
        self.assertEqual(restarted.in_flight("t2"), 8)

    @params((MAX_DIRECT + 2,), (23,), (64,))
    def test_age_of_data_behind_a_choice_is_bounded(self, count):
        """Guards against targets that are overloaded in large regions only.

        This happens when data about the other hosts gets older with their number, and
        its age is neither bounded nor reported.
        """
        self.region(count)
        ages = []
        for _ in range(100):
            for host in self.hosts:
                host.begin("t1")
            self.network.step(REPORT_INTERVAL)
            (selecting_host,) = self.selecting_hosts()
            ages.append(selecting_host.exchange.staleness(self.network.now))
        self.assertLessEqual(max(ages), MAX_CHOICE_AGE_S)
        self.assertGreater(min(ages), 0.0)
        members = [h for h in self.hosts if h is not selecting_host]
        own = [h.exchange.staleness(self.network.now) for h in members]
        self.assertLessEqual(max(own), NOTICE_INTERVAL + REPORT_INTERVAL)

    def test_unresponsive_member_makes_data_stale_until_its_reports_expire(self):
        self.region(9)
        (selecting_host,) = self.selecting_hosts()
        self.network.partitioned.add(
            next(h.name for h in self.hosts if h is not selecting_host)
        )
        ages = []
        for _ in range(45):
            self.network.step()
            ages.append(selecting_host.exchange.staleness(self.network.now))
        self.assertGreater(max(ages), 2.0)
        self.assertLess(max(ages), MAX_AGE)
        self.assertLess(ages[-1], 0.2)

    def test_member_without_notices_reports_its_staleness(self):
        self.region(9)
        (selecting_host,) = self.selecting_hosts()
        self.network.partitioned.add(selecting_host.name)
        member = next(h for h in self.hosts if h is not selecting_host)
        for _ in range(15):
            self.network.step()
        self.assertGreater(member.exchange.staleness(self.network.now), NOTICE_INTERVAL)
        self.network.steps(10)
        self.assertLessEqual(member.exchange.staleness(self.network.now), MAX_AGE)

    def test_one_host_polls_the_engines_for_all(self):
        """Guards against engines that answer 10 polls a second, which are paid for.

        This happens when each of 23 hosts polls each engine, because a report is known
        only to the host that polled.
        """
        self.region(9)
        pollers = [h for h in self.hosts if h.exchange.poller_count(9)]
        self.assertEqual(len(pollers), 1)
        self.assertEqual(pollers[0].exchange.poller_count(9), 1)
        for host in self.hosts:
            host.begin("t1")
        self.network.step()
        tracked = pollers[0].table.get("t1")
        report = EngineReport(running=20, waiting=3, used_tokens=500, total_tokens=900)
        tracked.apply_report(report, self.network.now, 9)
        self.network.steps(NOTICE_STEPS)
        for host in self.hosts:
            known = host.table.get("t1")
            self.assertEqual(known.report, report)
            self.assertEqual(known.runs_at_report, 9)
            reported_at = known.report_at
            self.assertAlmostEqual(reported_at, tracked.report_at, delta=0.01)

    @params((0.5, False), (5.0, True))
    def test_engine_unresponsive_only_to_the_collector(self, contact_age, unresponsive):
        """Guards against a working engine that gets no requests from a whole region.

        This happens when only the collector cannot reach it, and its report takes
        precedence over the answers that members get.
        """
        self.region(9)
        poller = next(h for h in self.hosts if h.exchange.poller_count(9))
        member = next(h for h in self.hosts if h is not poller)
        known = member.table.get("t1")
        known.record_contact(self.network.now - contact_age)
        for _ in range(2):
            poller.table.get("t1").record_failure(self.network.now)
        self.network.steps(4)
        self.assertTrue(is_unresponsive(poller.table.get("t1"), self.network.now))
        self.assertEqual(is_unresponsive(known, self.network.now), unresponsive)
        known.record_contact(self.network.now)
        self.assertFalse(is_unresponsive(known, self.network.now))


class TestChoice(unittest.TestCase):
    def test_returned_host_gets_a_new_time_limit(self):
        first, *others = names(9)
        *others, name = CollectorSelector(first).order(others)
        choice = CollectorSelector(name)
        first = choice.choose(others, 0.0)
        self.assertNotEqual(choice.choose(others, 3.0), first)
        choice.choose([name for name in others if name != first], 4.0)
        self.assertEqual(choice.choose(others, 5.0), first)


if __name__ == "__main__":
    unittest.main()
