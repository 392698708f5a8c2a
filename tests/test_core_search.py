"""Hosts that find the core again after all that they knew of it has gone."""

import unittest
from collections import Counter
from unittest import mock

import curio
from nose2.tools import params

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import PeerTimeout
from bronzepoint_node.fleet import CoreSearch, Registry
from bronzepoint_node.fleet import _core_search as core_search_module
from bronzepoint_schema.generated.fleet import CoreHost, EntryHost, EntryState
from tests._core_fleet import with_fleet

CORE = ("a1", "b1", "c1", "a2", "b2")
REPLACED = {"a1": "a3", "b1": "b3", "c1": "c2", "a2": "a4", "b2": "b4"}
LOST = 4.5
"""Seconds after which a host counts contact as lost."""


class TestEntryHosts(unittest.TestCase):
    @params(("a8",), ("a8", "a9"))
    @with_fleet(CORE, ("a8", "a9", "b8"))
    async def test_core_is_found_through_another_entry_host(self, fleet, *isolated):
        """Guards against an entry host that is lost for good, since the whole core was
        replaced while it was cut off."""
        fleet.isolate(*isolated)
        await curio.sleep(LOST)
        await fleet.replace_all(REPLACED)
        await fleet.put("a3", 2, b"2")
        fleet.rejoin(*isolated)
        await fleet.until_in_force(2, "a8", "a9", "b8")


class TestCoreHosts(unittest.TestCase):
    @with_fleet((*CORE, "c9"), ("a8", "c8"))
    async def test_core_is_found_through_an_entry_host(self, fleet):
        """Guards against a core host that stays on an old catalogue for good, and its
        entry hosts with it, since all others were replaced while it was cut off."""
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


if __name__ == "__main__":
    unittest.main()
