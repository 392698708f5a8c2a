"""Messages about leases between the schedulers of two regions."""

import unittest

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area
from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_node.core._room_lease_exchange import (
    SCHEDULERS_ASKED,
    RoomLeaseExchange,
)
from bronzepoint_node.fleet import COLLECTOR_ORDER, Registry
from bronzepoint_node.placement import RegionLeases, ServiceRoom
from bronzepoint_schema.generated.fleet import CoreHost, RegionLoad
from bronzepoint_schema.generated.room_leases import RoomReturn

SLOTS = 32
TARGETS = 10
COST = 0.05
CORE = {"a": ["a1", "a2", "a3"], "b": ["b1", "b2", "b3"]}
"""Core hosts of each region."""


def load(region, in_progress):
    return RegionLoad(region, "s", TARGETS * SLOTS, in_progress, 0, 0)


def first_hosts(region):
    return rendezvous_order(COLLECTOR_ORDER, CORE[region])[:SCHEDULERS_ASKED]


class Net:
    """Core hosts of two regions; the first in order of each is the scheduler."""

    def __init__(self):
        self.cut = False
        self.posted = []
        self.hosts = {n: CoreStub(self, n) for names in CORE.values() for n in names}
        self.a = self.hosts[first_hosts("a")[0]]
        self.b = self.hosts[first_hosts("b")[0]]

    def update(self, a_load, b_load):
        """Let both schedulers send what is due, and deliver everything."""
        reported = [load("a", a_load), load("b", b_load)]
        shown = {}
        for host, own in zip((self.a, self.b), reported, strict=True):
            host.registry.merge_loads(reported)
            (shown[host.name],) = host.exchange.update([own])
        curio.run(self.deliver)
        return shown

    async def deliver(self):
        while self.posted:
            sender, receiver, area, message = self.posted.pop(0)
            if not self.cut:
                await self.hosts[receiver].handlers[area](sender, message)


class CoreStub:
    """One core host, which also serves as the `peers` of its exchange."""

    def __init__(self, net, name):
        self.net = net
        self.name = name
        self.handlers = {}
        self.registry = Registry()
        self.registry.merge_core(
            CoreHost(n, region, 0) for region, names in CORE.items() for n in names
        )
        self.metrics = Metrics()
        self.silent = []
        self.leases = RegionLeases(name[0])
        self.leases.note_arrival("s", monotonic() - 10.0)
        self.exchange = RoomLeaseExchange(
            name[0],
            self,
            self.registry,
            self.leases,
            lambda own: ServiceRoom(
                TARGETS, own.in_progress / SLOTS, own.in_progress // 2, COST, SLOTS
            ),
            lambda: self.silent,
            self.metrics,
        )

    def register(self, area, union, handler):
        self.handlers[area] = handler

    def post(self, peer, area, message):
        self.net.posted.append((self.name, peer, area, message))

    def held(self):
        return self.leases.borrower.held("s", monotonic())


class TestExchange(unittest.TestCase):
    def test_busy_region_gets_a_lease_from_an_idle_one(self):
        net = Net()
        shown = net.update(TARGETS * SLOTS, 0)
        granted = net.a.held()["b"]
        self.assertGreater(granted, 0)
        self.assertEqual(shown[net.a.name].slots, TARGETS * SLOTS)
        shown = net.update(TARGETS * SLOTS, 0)
        # What is lent isn't shown to others, and the borrower shows no room.
        self.assertGreaterEqual(shown[net.b.name].in_progress, granted * SLOTS // 1000)
        self.assertGreaterEqual(shown[net.a.name].in_progress, TARGETS * SLOTS)
        gauges = net.a.metrics.gauges(), net.b.metrics.gauges()
        self.assertEqual(gauges[0]["lease.in_permille.b.s"], granted)
        self.assertEqual(gauges[1]["lease.out_permille.a.s"], granted)

    def test_ask_goes_to_the_scheduler_and_its_successor(self):
        """Guards against a lease that ends with the lender's scheduler, and against two
        answers to one ask."""
        net = Net()
        net.a.registry.merge_loads([load("b", 0)])
        net.a.exchange.update([load("a", TARGETS * SLOTS)])
        posted = net.posted
        self.assertEqual([peer for _, peer, *_ in posted], first_hosts("b"))
        answers = []
        for _, peer, area, message in list(posted):
            before = len(net.posted)
            curio.run(net.hosts[peer].handlers[area], net.a.name, message)
            answers.append(len(net.posted) - before)
        # Neither host has members, so it isn't known to be the scheduler.
        self.assertEqual(answers, [0, 0])

    def test_cut_region_is_asked_for_nothing(self):
        """Guards against asks that fill the outbox of a link that is cut."""
        net = Net()
        net.a.silent = ["b"]
        net.update(TARGETS * SLOTS, 0)
        self.assertEqual(net.a.held(), {})

    def test_return_frees_the_room(self):
        """Guards against room that stays reserved after a peak."""
        net = Net()
        net.update(TARGETS * SLOTS, 0)
        (held,) = net.a.leases.borrower._held.values()
        message = RoomReturn(held.number)
        curio.run(net.b.handlers[Area.ROOM_LEASES], net.a.name, message)
        net.update(TARGETS * SLOTS, 0)
        self.assertEqual(net.b.leases.lender.lent("s", monotonic()), {})
        self.assertNotIn("lease.out_permille.a.s", net.b.exchange._shown)

    def test_lost_messages_leave_both_regions_with_their_own_room(self):
        """Guards against a region that shows no room as its asks are lost."""
        net = Net()
        net.cut = True
        net.update(TARGETS * SLOTS, 0)
        shown = net.update(TARGETS * SLOTS, 0)
        self.assertEqual(net.a.held(), {})
        self.assertEqual(shown[net.b.name].in_progress, 0)


if __name__ == "__main__":
    unittest.main()
