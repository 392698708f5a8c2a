"""Tests of limits that are shared by the hosts of a region."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_node.policy import Refused
from bronzepoint_node.policy._fair_shares import max_min_shares
from bronzepoint_node.policy._local_limit import LimitKey
from bronzepoint_node.policy._token_bucket import TokenBucket
from bronzepoint_schema.generated.limits import LimitScope
from tests._policy_fakes import Bounds, FakeRegion, request


async def run_for(region, offered, seconds, tickets=None):
    """Offer requests at rates by host in steps of 0.05 s; return the admitted ones.

    Args:
        region: The hosts.
        offered: Requests per second for each host.
        seconds: Duration by the fake clock.
        tickets: Receives the host and ticket of each request, which then isn't
            released.
    """
    admitted = dict.fromkeys(region.names, 0)
    pending = dict.fromkeys(region.names, 0.0)
    for step in range(int(seconds / 0.05)):
        region.clock.now += 0.05
        if step % 20 == 19:
            await region.report()
        for host, rate in offered.items():
            pending[host] += rate * 0.05
            while pending[host] >= 1:
                pending[host] -= 1
                taken = await region.limits[host].acquire(request())
                if isinstance(taken, Refused):
                    continue
                admitted[host] += 1
                if tickets is None:
                    region.limits[host].release(taken, 0)
                else:
                    tickets.append((host, taken))
    return admitted


class TestShares(unittest.TestCase):
    @params(
        (10, {"a": 2, "b": 20, "c": 20}, {"a": 2, "b": 4, "c": 4}),
        (10, {"a": 1, "b": 2}, {"a": 1, "b": 2}),
        (9, {"a": 5, "b": 5, "c": 5}, {"a": 3, "b": 3, "c": 3}),
        (5, {}, {}),
    )
    def test_max_min(self, amount, demands, expected):
        self.assertEqual(max_min_shares(amount, demands), expected)

    def test_bucket_admits_a_request_above_its_size_once(self):
        bucket = TokenBucket(10.0, 10.0, 0.0)
        self.assertTrue(bucket.take(100, 0.0))
        self.assertFalse(bucket.take(1, 5.0))
        self.assertTrue(bucket.take(1, 9.2))


class TestRegionLimits(unittest.TestCase):
    @params(
        ({"h0": 60, "h1": 60, "h2": 60},),
        ({"h0": 200, "h1": 1, "h2": 0},),
        ({"h0": 0, "h1": 35, "h2": 2},),
    )
    def test_rate_over_all_hosts(self, offered):
        region = FakeRegion(3, acme=Bounds(rate=30))

        async def main():
            await run_for(region, offered, 6)
            before = region.net.calls
            admitted = sum((await run_for(region, offered, 20)).values())
            return admitted, region.net.calls - before

        admitted, calls = curio.run(main)
        possible = min(30, sum(offered.values())) * 20
        self.assertLessEqual(admitted, 30 * 1.1 * 21 + 3)
        self.assertGreaterEqual(admitted, 0.8 * possible)
        # At most one regular and four early reports per period, whatever the load.
        self.assertLessEqual(calls, 3 * 5 * 20)

    def test_holder_lost(self):
        """The loss of the holder must not let hosts exceed a limit several times.

        One host is granted nearly all of a limit when the holder fails and callers
        also use another host. If its grant never expired, the first host would keep
        using the whole limit in addition to the second host's equal share.
        """
        region = FakeRegion(3, acme=Bounds(rate=30))

        async def main():
            limits = region.limits["h0"]
            holder = limits._holder(LimitKey(LimitScope.owner, "acme"))
            first, second = [name for name in region.names if name != holder]
            await run_for(region, {first: 200}, 6)
            region.net.partitioned.add(holder)
            both = {first: 200, second: 200}
            return sum((await run_for(region, both, 10)).values())

        admitted = curio.run(main)
        # The old grant for its lifetime, then two equal shares, and their bursts.
        self.assertLessEqual(admitted, 30 * 2.5 + 20 * 10 + 20 + 30)
        self.assertGreaterEqual(admitted, 20 * 10)

    def test_isolated_host(self):
        """The two sides of a network partition must not exceed a limit together.

        An isolated host is seen as dead by the others. If the holder divided the whole
        limit between them, the isolated host would still use its equal share.
        """
        region = FakeRegion(3, acme=Bounds(rate=30))

        async def main():
            limits = region.limits["h0"]
            holder = limits._holder(LimitKey(LimitScope.owner, "acme"))
            isolated = next(name for name in region.names if name != holder)
            region.net.partitioned.add(isolated)
            region.live.remove(isolated)
            offered = {name: 60 for name in region.names}
            await run_for(region, offered, 6)
            return sum((await run_for(region, offered, 10)).values())

        admitted = curio.run(main)
        self.assertLessEqual(admitted, 30 * 1.1 * 11 + 3)
        self.assertGreaterEqual(admitted, 30 * 10 * 0.8)

    def test_rate_moves(self):
        """Twice the limit must not be admitted right after callers move.

        One host is granted the whole limit and still uses it when another host gets
        requests. The holder may grant the second only what the first has returned.
        """
        region = FakeRegion(3, acme=Bounds(rate=60))

        async def main():
            await run_for(region, {"h0": 300}, 6)
            return await run_for(region, {"h0": 300, "h1": 300}, 0.9)

        admitted = sum(curio.run(main).values())
        # The whole rate, and the second host's equal share with its burst.
        self.assertLessEqual(admitted, 0.9 * 60 + 20 + 5)

    def test_demand_moves(self):
        """Requests in progress must not exceed the limit right after callers move.

        One host's grant covers nearly all of the limit when other hosts report demand.
        If the grant were given to them before it has expired, both sides could use it.
        """
        region = FakeRegion(3, acme=Bounds(in_progress=12))

        async def main():
            tickets = []
            await run_for(region, {"h0": 40}, 4, tickets)
            first = len(tickets)
            await run_for(region, {"h1": 40, "h2": 40}, 4, tickets)
            moved = len(tickets)
            for host, ticket in tickets:
                region.limits[host].release(ticket, 0)
            tickets.clear()
            await run_for(region, {"h1": 40}, 8, tickets)
            return first, moved, len(tickets)

        first, moved, last = curio.run(main)
        self.assertEqual(first, 12)
        # The equal shares of the two hosts without a grant: 4 each, once.
        self.assertLessEqual(moved, 12 + 8)
        self.assertEqual(last, 12)

    def test_tokens_are_corrected(self):
        region = FakeRegion(1, acme=Bounds(tokens=100))
        limits = region.limits["h0"]

        async def main():
            first = await limits.acquire(request(max_tokens=100))
            second = await limits.acquire(request(max_tokens=100))
            limits.release(first, 10)
            third = await limits.acquire(request(max_tokens=90))
            return second, third

        second, third = curio.run(main)
        self.assertEqual(second.kind, "tokens_limited")
        self.assertGreater(second.retry_after, 0)
        self.assertNotIsInstance(third, Refused)

    def test_low_demand_is_not_reported(self):
        region = FakeRegion(3, **{f"o{i}": Bounds(rate=30) for i in range(500)})

        async def main():
            for i in range(500):
                taken = await region.limits["h0"].acquire(request(f"o{i}"))
                region.limits["h0"].release(taken, 0)
                region.clock.now += 0.01
            region.clock.now += 1.5
            await region.report()
            kept = region.limits["h0"].size()
            region.clock.now += 20
            await region.report()
            return region.net.items, kept, region.limits["h0"].size()

        items, kept, left = curio.run(main)
        self.assertEqual((items, kept, left), (0, 500, 0))
