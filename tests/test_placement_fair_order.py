"""Order of the requests that wait for one service, by organisation and cost."""

import itertools
import unittest
from collections import Counter, deque

from nose2.tools import params

from bronzepoint_node.fleet import Organisation, Quota
from bronzepoint_node.placement import organisation_weights
from bronzepoint_node.placement._fair_order import (
    MAX_OVERTAKEN,
    FairOrder,
    FlowKey,
    RankKey,
)
from bronzepoint_node.placement._request_queue import QueuedRequest

STEP = 0.01
"""Seconds between two grants of the replay."""
SECONDS = 20.0
"""Seconds that are replayed."""
MAX_WAIT = 0.8
"""Seconds that a request of the replay waits in the queue."""


def request(organisation, arrived=0.0, cost=0.05, rank=0, route_priority=0, route=""):
    return QueuedRequest(
        rank,
        arrived,
        arrived + MAX_WAIT,
        route_priority=route_priority,
        flow=FlowKey(organisation, route),
        cost=cost,
    )


def order_of(*entries, now=0.0, weight=lambda _: 1.0):
    order = FairOrder(weight)
    for entry in entries:
        order.add(entry, now)
    return order


def grant(order, entry, now=0.0):
    order.charge(entry.key, entry.flow, entry.cost, now)
    order.remove(entry)


def replay(rates, capacity, costs=None, weights=None, by_arrival=False):
    """Return the requests granted by organisation.

    Args:
        rates: Requests per second of each organisation.
        capacity: Target seconds per second that the service starts.
        costs: Cost of each organisation's requests in target seconds.
        weights: Weight of each organisation.
        by_arrival: Grant by arrival alone, as the former queue did.
    """
    order = FairOrder(lambda name: (weights or {}).get(name, 1.0))
    arrivals = sorted(
        (number / rate, name)
        for name, rate in rates.items()
        for number in range(int(rate * SECONDS))
    )
    coming = deque(arrivals)
    waiting, granted, spare = {}, Counter(), 0.0
    for step in range(int(SECONDS / STEP)):
        now = step * STEP
        while coming and coming[0][0] <= now:
            arrived, name = coming.popleft()
            entry = request(name, arrived, (costs or {}).get(name, 0.05))
            waiting[id(entry)] = entry
            order.add(entry, now)
        for entry in [each for each in waiting.values() if each.until < now]:
            del waiting[id(entry)]
            order.remove(entry)
        spare = min(spare + capacity * STEP, 0.2)
        while waiting and spare > 0:
            if by_arrival:
                entry = min(waiting.values(), key=lambda each: each.arrived)
            else:
                entry = next(order.in_order(now))
            grant(order, entry, now)
            del waiting[id(entry)]
            granted[entry.flow.organisation] += 1
            spare -= entry.cost
    return granted


class TestFlood(unittest.TestCase):
    RATES = {"large": 12.0, "mid": 5.0, "small": 2.0, "tiny": 1.0}
    WEIGHTS = {"large": 2.4, "mid": 1.0, "small": 0.4, "tiny": 0.2}
    CAPACITY = 1.1
    """Target seconds per second; all of them together usually need 1.0."""

    @params("large", "mid", "small", "tiny")
    def test_others_keep_what_they_have_without_the_flood(self, sender):
        """Guards against an organisation at seven times its use that takes the capacity
        of the others."""
        usual = replay(self.RATES, self.CAPACITY, weights=self.WEIGHTS)
        flood = {**self.RATES, sender: 7 * self.RATES[sender]}
        during = replay(flood, self.CAPACITY, weights=self.WEIGHTS)
        for name in self.RATES.keys() - {sender}:
            self.assertGreaterEqual(during[name], 0.97 * usual[name], name)
        self.assertGreaterEqual(during[sender], 0.97 * usual[sender])

    def test_the_flood_harms_others_without_fair_order(self):
        usual = replay(self.RATES, self.CAPACITY, by_arrival=True)
        flood = {**self.RATES, "large": 7 * self.RATES["large"]}
        during = replay(flood, self.CAPACITY, by_arrival=True)
        self.assertLess(during["small"], 0.6 * usual["small"])

    def test_share_is_by_cost_not_by_count(self):
        """Guards against an organisation that gets several times the capacity of
        another one because its requests are larger."""
        granted = replay({"a": 40.0, "b": 40.0}, 1.0, {"a": 0.1, "b": 0.025})
        self.assertAlmostEqual(
            granted["a"] * 0.1 / (granted["b"] * 0.025), 1, delta=0.1
        )

    def test_share_follows_the_weight(self):
        granted = replay({"a": 40.0, "b": 40.0}, 1.0, weights={"a": 3.0})
        self.assertAlmostEqual(granted["a"] / granted["b"], 3, delta=0.3)


class TestOrder(unittest.TestCase):
    def test_rank_goes_first_and_then_the_priority_of_the_route(self):
        """Guards against urgent drafts that wait behind long summaries because the
        priority of their organisation replaces that of the route."""
        entries = [
            request("a", 0.0, rank=1),
            request("a", 0.1, route_priority=2),
            request("a", 0.2, route_priority=0),
        ]
        found = list(order_of(*entries).in_order(0.0))
        self.assertEqual(found, entries[::-1])

    def test_one_organisation_is_served_by_arrival(self):
        entries = [request("a", at, cost) for at, cost in ((0, 9), (1, 0.1), (2, 1))]
        self.assertEqual(list(order_of(*entries).in_order(0.0)), entries)

    def test_requests_without_organisation_share_by_route(self):
        entries = [request("", number, route="long") for number in range(5)]
        short = request("", 9.0, route="short")
        found = list(order_of(*entries, short).in_order(9.0))
        self.assertLessEqual(found.index(short), 2)

    def test_idle_organisation_saves_up_no_share(self):
        """Guards against an organisation that takes all capacity for as long as it has
        been idle before."""
        order = FairOrder(lambda _: 1.0)
        for number in range(100):
            busy = request("busy", number)
            order.charge(busy.key, busy.flow, busy.cost, number)
        entries = [request(name, 100.0) for _ in range(20) for name in ("idle", "busy")]
        for entry in entries:
            order.add(entry, 100.0)
        first = list(itertools.islice(order.in_order(100.0), 10))
        names = Counter(entry.flow.organisation for entry in first)
        self.assertLessEqual(names["idle"], 6)

    def test_overtaken_request_goes_first_once(self):
        """Guards against a request that heavier organisations overtake for ever, and
        against a flood whose old requests all go before those of others."""
        weights = {"heavy": 1000.0}
        order = FairOrder(lambda name: weights.get(name, 1.0))
        light = request("light", 0.0, cost=5.0)
        order.add(light, 0.0)
        grant(order, light)
        queued = [request("light", 0.0) for _ in range(5)]
        heavy = [request("heavy", 0.1) for _ in range(5)]
        for entry in (*queued, *heavy):
            order.add(entry, 0.1)
        before = next(order.in_order(0.5)).flow.organisation
        after = list(order.in_order(0.2 + MAX_OVERTAKEN))
        self.assertEqual(before, "heavy")
        names = [entry.flow.organisation for entry in after]
        # Both have waited; the flood of either one is served by share from then on.
        self.assertEqual(names[0], "light")
        self.assertEqual(names[2:6].count("heavy"), 4)


class TestWeightAndRefund(unittest.TestCase):
    def test_changed_weight_counts_from_the_next_grant(self):
        """Guards against a raised weight that has an effect only once the requests
        queued before are done."""
        weights = {}
        order = FairOrder(lambda name: weights.get(name, 1.0))
        entries = [request(name, i) for i in range(30) for name in ("a", "b")]
        for entry in entries:
            order.add(entry, 0.0)
        shares = []
        for raised in ({}, {"a": 4.0}):
            weights.update(raised)
            names = Counter()
            for _ in range(10):
                entry = next(order.in_order(0.0))
                grant(order, entry)
                names[entry.flow.organisation] += 1
            shares.append(names["a"])
        self.assertEqual(shares[0], 5)
        self.assertGreaterEqual(shares[1], 7)

    def test_refund_restores_the_position(self):
        order = order_of(request("b", 0.0))
        charge = order.charge(RankKey(0), FlowKey("a"), 3.0, 0.0)
        mine = request("a", -1.0)
        self.assertTrue(order.is_behind_others(mine))
        order.refund(charge)
        self.assertFalse(order.is_behind_others(mine))

    def test_removed_requests_leave_no_cost(self):
        entries = [request("a", number, 0.1) for number in range(3)]
        order = order_of(*entries)
        for entry in entries:
            order.remove(entry)
        self.assertEqual(order.ranks[RankKey(0)].waiting_cost, 0.0)
        self.assertEqual(list(order.in_order(0.0)), [])


class TestWeights(unittest.TestCase):
    @params(
        (None, {}),
        ({"a": None}, {}),
        ({"a": (30, True), "b": (10, True), "c": None}, {"a": 1.5, "b": 0.5}),
        ({"a": (30, True), "b": (10, False)}, {}),
    )
    def test_weights_follow_the_quotas(self, quotas, expected):
        organisations = quotas and {
            name: Organisation(name, quota=quota and Quota(quota[0], 1.0, quota[1]))
            for name, quota in quotas.items()
        }
        self.assertEqual(organisation_weights(organisations), expected)


if __name__ == "__main__":
    unittest.main()
