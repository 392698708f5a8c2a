"""Hosts that find the core again after all that they knew of it has gone."""

import unittest
from collections import Counter
from unittest import mock

import curio
from nose2.tools import params

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import PeerTimeout
from bronzepoint_node.core import _lost_host_notifier as notifier_module
from bronzepoint_node.core._lost_host_notifier import LostHostNotifier
from bronzepoint_node.fleet import CoreSearch, Registry
from bronzepoint_node.fleet import _core_search as core_search_module
from bronzepoint_schema.generated.fleet import CoreHost, EntryHost, EntryState
from tests._core_fleet import with_fleet

CORE = ("a1", "b1", "c1", "a2", "b2")
REPLACED = {"a1": "a3", "b1": "b3", "c1": "c2", "a2": "a4", "b2": "b4"}
LOST = 4.5
"""Seconds after which a host counts contact as lost."""


def without_notifier(test):
    """Run a test's coroutine while no core host notifies lost hosts."""

    async def run(self, fleet, *arguments):
        with mock.patch.object(LostHostNotifier, "notify"):
            await test(self, fleet, *arguments)

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


class TestEntryHosts(unittest.TestCase):
    @params(("a8",), ("a8", "a9"))
    @with_fleet(CORE, ("a8", "a9", "b8"))
    @without_notifier
    async def test_core_is_found_through_another_entry_host(self, fleet, *isolated):
        """Guards against an entry host that is lost for good, since the whole core was
        replaced while it was cut off."""
        fleet.isolate(*isolated)
        await curio.sleep(LOST)
        await fleet.replace_all(REPLACED)
        await fleet.put("a3", 2, b"2")
        fleet.rejoin(*isolated)
        await fleet.until_in_force(2, "a8", "a9", "b8")

    @with_fleet(CORE, ("a8", "a9"))
    @without_notifier
    async def test_core_is_found_by_seeds_that_change_without_a_signal(self, fleet):
        """Guards against an entry host that reads its settings at its start only."""
        fleet.isolate("a8", "a9")
        await fleet.replace_all(REPLACED)
        await fleet.put("a3", 2, b"2")
        fleet.current_seeds["a8"] = ["b3"]
        fleet.rejoin("a8", "a9")
        await fleet.until_in_force(2, "a8", "a9")

    @with_fleet(CORE, ("a8", "b8"))
    async def test_core_calls_entry_hosts_that_know_none_of_it(self, fleet):
        """Guards against the loss of all entry hosts, where none of them could ask
        another one."""
        fleet.isolate("a8", "b8")
        await fleet.replace_all(REPLACED)
        await fleet.put("a3", 2, b"2")
        fleet.rejoin("a8", "b8")
        await fleet.until_in_force(2, "a8", "b8")

    @with_fleet(CORE, ("a8", "b8"))
    async def test_core_calls_entry_hosts_after_a_loss_of_power_of_all(self, fleet):
        """Guards against entry hosts that start with seeds that have all been replaced,
        while the core hosts have restarted, too."""
        stale = list(fleet.seeds)
        await fleet.replace_all(REPLACED)
        await fleet.put("a3", 2, b"2")
        await fleet.until_in_force(2, "a8", "b8")
        await curio.sleep(2 * LOST)
        core = list(fleet.running)
        for name in ("a8", "b8"):
            await fleet.stop_entry(name)
        for name in core:
            await fleet.stop(name)
        for name in core:
            await fleet.start(name)
        fleet.seeds = stale
        for name in ("a8", "b8"):
            await fleet.start_entry(name)
        await fleet.until_in_force(2, "a8", "b8")


class TestCoreHosts(unittest.TestCase):
    @with_fleet((*CORE, "c9"), ("a8", "c8"))
    @without_notifier
    async def test_core_is_found_through_an_entry_host(self, fleet):
        """Guards against a core host that stays on an old catalogue for good, and its
        entry hosts with it, since all others were replaced while it was cut off."""
        fleet.isolate("c9")
        await fleet.replace_all(REPLACED)
        await fleet.put("a3", 2, b"2")
        fleet.rejoin("c9")
        await fleet.until(lambda: fleet.running["c9"].documents.version == 2)

    @with_fleet((*CORE, "c9"), ())
    async def test_core_host_that_knows_no_other_is_called(self, fleet):
        """Guards against the same where it knows no entry host."""
        fleet.isolate("c9")
        await fleet.replace_all(REPLACED)
        await fleet.put("a3", 2, b"2")
        fleet.rejoin("c9")
        await fleet.until(lambda: fleet.running["c9"].documents.version == 2)


class Net:
    """Entry hosts of one region, whose messages arrive at once.

    Attributes:
        asked: Number of questions to each host; core hosts don't answer.
        confirmed: Hosts that the core has confirmed.
    """

    def __init__(self, hosts, core=()):
        self.names = [f"h{number}" for number in range(hosts)]
        self.asked = Counter()
        self.confirmed = set()
        self.registries = {name: Registry() for name in self.names}
        entries = [
            EntryHost(name, "r", "z", "", "", EntryState.ready, 20_000)
            for name in self.names
        ]
        self.searches = {}
        for name, registry in self.registries.items():
            registry.merge_entries(entries)
            registry.merge_core(CoreHost(host, "r", 20_000) for host in core)
            self.searches[name] = CoreSearch(
                name,
                registry,
                Link(self, name),
                list,
                lambda name=name: 0.0 if name in self.confirmed else 99.0,
                Metrics(),
            )

    async def __aenter__(self):
        for search in self.searches.values():
            await search.start()
            search._started_at -= 60.0
        return self

    async def __aexit__(self, *failure):
        for search in self.searches.values():
            await search.close()

    def told(self):
        """Return the number of hosts that know a live core host."""
        return sum(bool(registry.core()) for registry in self.registries.values())


class Link:
    """Stub of ``Peers`` of one host of a net."""

    def __init__(self, net, name):
        self.net = net
        self.name = name

    async def call(self, peer, area, message, timeout, on_late_reply=None):
        self.net.asked[peer] += 1
        if peer not in self.net.searches:
            raise PeerTimeout(peer, timeout)
        return self.net.searches[peer].answer(self.name, message)

    def post(self, peer, area, message):
        self.net.searches[peer].answer(self.name, message)


class TestManyHosts(unittest.TestCase):
    def setUp(self):
        self.interval = 0.1
        patch = mock.patch.object(core_search_module, "SEARCH_INTERVAL", self.interval)
        patch.start()
        self.addCleanup(patch.stop)

    @params(9, 200)
    def test_one_host_that_finds_the_core_tells_all(self, hosts):
        """Guards against a region whose hosts are all lost although one of them has
        found the core again."""

        async def main():
            async with Net(hosts, core=("c1", "c2", "c3")) as net:
                await curio.sleep(20 * self.interval)
                self.assertEqual(net.told(), 0)
                net.registries["h0"].merge_core([CoreHost("c9", "r", 0)])
                async with curio.ignore_after(30.0):
                    while net.told() < hosts:
                        await curio.sleep(0.01)
                return net.told()

        self.assertEqual(curio.run(main), hosts)

    def test_questions_of_many_hosts_are_spread(self):
        """Guards against a herd: each host asks three others in a round, and no host
        is asked much more often than the rest."""

        async def main():
            rounds = 40
            async with Net(200, core=("c1", "c2", "c3")) as net:
                await curio.sleep(rounds * self.interval)
                return rounds, net.asked

        rounds, asked = curio.run(main)
        most = rounds * core_search_module.HOSTS_PER_ROUND
        self.assertLessEqual(asked.total(), 200 * most * 1.1)
        self.assertLessEqual(max(asked.values()), 2 * most)

    def test_host_in_contact_asks_nobody(self):
        """Guards against questions of hosts that have not lost the core."""

        async def main():
            net = Net(9)
            net.confirmed = set(net.names)
            async with net:
                await curio.sleep(20 * self.interval)
            return net.asked.total()

        self.assertEqual(curio.run(main), 0)


class TestLostHostNotifier(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.posted = Counter()
        for module in ("fleet._registry", "core._lost_host_notifier"):
            name = f"bronzepoint_node.{module}.monotonic"
            patch = mock.patch(name, lambda: self.now)
            patch.start()
            self.addCleanup(patch.stop)

    def post(self, peer, area, message):
        self.posted[peer] += 1

    def make_notifier(self, has_lost_core=False):
        registry = Registry("c1")
        registry.merge_core([CoreHost("c2", "r", 0)])
        hosts = [
            EntryHost(f"h{n}", "r", "z", "", "", EntryState.ready, 0) for n in "12"
        ]
        registry.merge_entries(hosts)
        search = mock.Mock(has_lost_core=has_lost_core)
        return registry, LostHostNotifier(registry, search, self, Metrics())

    @params((3.0, 0), (5.0, 3))
    def test_lost_hosts_of_both_roles_are_notified(self, silence, notified):
        _, notifier = self.make_notifier()
        self.now += silence
        notifier.notify()
        self.assertEqual(self.posted, Counter(["h1", "h2", "c2"][:notified]))

    def test_host_that_has_left_is_not_notified(self):
        """Guards against messages to each host that was taken away as planned."""
        registry, notifier = self.make_notifier()
        left = EntryHost("h1", "r", "z", "", "", EntryState.leaving, 0)
        self.now += 1.0
        registry.merge_entries([left])
        self.now += 60.0
        notifier.notify()
        self.assertEqual(set(self.posted), {"h2", "c2"})

    def test_core_host_that_has_lost_the_core_notifies_nobody(self):
        """Guards against hosts that are sent to a core host which knows nothing new."""
        _, notifier = self.make_notifier(has_lost_core=True)
        self.now += 60.0
        notifier.notify()
        self.assertEqual(self.posted.total(), 0)

    def test_host_that_is_gone_for_good_gets_few_messages(self):
        """Guards against messages without end to an address that is given up."""
        registry, notifier = self.make_notifier()
        for _ in range(2 * 3600):
            self.now += notifier_module.CHECK_INTERVAL
            registry.merge_core([CoreHost("c1", "r", 0)])
            notifier.notify()
        self.assertLess(self.posted["h1"], 100)
        self.assertGreater(self.posted["h1"], 20)


if __name__ == "__main__":
    unittest.main()
