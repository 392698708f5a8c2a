"""Request limits of targets: who may send how much, and who knows of them."""

import math
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.placement import Rejected, RejectReason, RemotePlacement
from bronzepoint_node.placement._request_limit import MIN_RATE, RequestLimit
from tests._limited_site import WINDOW, allowed
from tests._scheduling_region import Region
from tests.test_placement_placer import Site, info

STEP = 0.02
"""Seconds between two attempts of a simulated host to send."""
REPORT_TIME = 3.0
"""Seconds within which every host must know of a limit."""


class TestObservations(unittest.TestCase):
    @params(
        # observations as (rate, time); the resulting rate
        ((), None),
        (((2.0, 1.0),), 2.0),
        (((2.0, 1.0), (None, 2.0)), None),
        (((2.0, 1.0), (0.5, 2.0), (3.0, 1.5)), 0.5),
        (((2.0, 1.0), (None, 2.0), (2.0, 1.9)), None),
        (((2.0, 1.0), (None, 2.0), (4.0, 3.0)), 4.0),
        (((None, 5.0), (2.0, 1.0)), 2.0),
    )
    def test_the_newest_answer_decides(self, observations, expected):
        limit = RequestLimit()
        for rate, at in observations:
            limit.observe(rate, at)
        self.assertEqual(limit.rate, expected)


def simulate(rate, views, seconds=16.0):
    """Return the times at which hosts send that always have a request waiting.

    Args:
        rate: Limit of the target in requests per second.
        views: For each host, its name and the hosts that it takes for live.
        seconds: Length of the simulation.
    """
    limits = {name: RequestLimit(rate, 0.0) for name, _ in views}
    sent = []
    for step in range(round(seconds / STEP)):
        now = step * STEP
        for name, hosts in views:
            share = limits[name].host_rate("t", name, hosts)
            if not limits[name].seconds_until_next(share, now):
                limits[name].note_sent(now)
                sent.append(now)
    return sent


def all_see_all(count):
    names = [f"h{number}" for number in range(count)]
    return [(name, names) for name in names]


def halves(count):
    names = [f"h{number}" for number in range(count)]
    sides = (names[: count // 2], names[count // 2 :])
    return [(name, side) for side in sides for name in side]


class TestRate(unittest.TestCase):
    @params(
        *[
            (rate, views)
            for rate in (0.05, 0.3, 1.0, 1.1, 7.5, 40.0)
            for views in (
                all_see_all(1),
                all_see_all(2),
                all_see_all(6),
                all_see_all(60),
                halves(6),
                halves(60),
                # a scheduler, and hosts that it doesn't answer
                [("core", ["core"]), *all_see_all(8)],
            )
        ]
    )
    def test_all_hosts_together_keep_a_limit(self, rate, views):
        """Guards against hosts that each keep a limit for themselves alone."""
        sent = simulate(rate, views)
        most = max(sum(at <= t < at + WINDOW for t in sent) for at in sent)
        self.assertLessEqual(most, allowed(rate))

    @params((1.0, 0.75), (20.0, 15.0), (0.1, MIN_RATE), (0.0, MIN_RATE))
    def test_a_limited_target_gets_its_rate(self, rate, expected):
        """Guards against a target that gets nothing, so that nobody would learn of the
        end of its limit."""
        sent = simulate(rate, all_see_all(3), seconds=60.0)
        self.assertGreaterEqual(len(sent), 0.9 * 60.0 * expected)

    def test_no_limit(self):
        limit = RequestLimit()
        share = limit.host_rate("t", "h", [])
        self.assertEqual((share, limit.seconds_until_next(share, 0.0)), (math.inf, 0.0))


async def until(condition):
    """Wait until a condition holds; return whether it did in time."""
    end = monotonic() + REPORT_TIME
    while not condition():
        if monotonic() > end:
            return False
        await curio.sleep(0.01)
    return True


class TestKnowledge(unittest.TestCase):
    @params((3, ()), (8, ()), (8, ("c1",)), (60, ("c1", "c2")))
    def test_hosts_that_select_targets_hear_of_a_limit_and_its_end(self, hosts, core):
        """Guards against a limit that only the host knows that got the answer."""

        async def main():
            async with Region(hosts, 2, core=core) as region:
                first = region.hosts[region.names[0]]
                target = first.table.get("t0")
                heard = []
                for rate in (2.0, 0.5, None):
                    target.record_limit(rate, monotonic())
                    heard.append(await until(lambda: knows(region, rate)))  # noqa: B023
                return heard

        self.assertEqual(curio.run(main), [True, True, True])

    @params((3, ()), (8, ("c1",)))
    def test_a_restarted_host_hears_of_a_limit(self, hosts, core):
        """Guards against a limit that each new process learns from its own answers."""

        async def main():
            async with Region(hosts, 2, core=core) as region:
                region.hosts[region.names[0]].table.get("t0").record_limit(
                    2.0, monotonic()
                )
                await until(lambda: knows(region, 2.0))
                restarted = region.hosts[region.names[1]].table.get("t0")
                restarted.limit = RequestLimit()
                return await until(lambda: restarted.limit.rate == 2.0)

        self.assertTrue(curio.run(main))


def knows(region, rate):
    """Return whether all hosts and core hosts that matter know a limit of ``t0``."""
    schedulers = [s for s in region.core.values() if s.name == scheduler_of(region)]
    tables = [host.table for host in [*region.hosts.values(), *schedulers]]
    return all(table.get("t0").limit.rate == rate for table in tables)


def scheduler_of(region):
    return region.hosts[region.names[0]].exchange.scheduler


class TestAllTargetsLimited(unittest.TestCase):
    def limited_site(self, **remote):
        site = Site(info("t1"), info("t2"))
        for name in ("t1", "t2"):
            target = site.table.get(name)
            target.record_limit(1.0, site.now)
            target.limit.note_sent(site.now)
        site.remote_loads(**remote)
        return site

    def test_another_region_takes_the_request(self):
        self.assertIsInstance(self.limited_site(b=0).place(), RemotePlacement)

    def test_the_refusal_says_when_a_target_may_be_used(self):
        placement = self.limited_site().place()
        self.assertIsInstance(placement, Rejected)
        self.assertIs(placement.reason, RejectReason.LIMITED)
        self.assertGreaterEqual(placement.retry_after, 1 / 0.75)

    def test_other_regions_are_told_of_no_free_capacity(self):
        """Guards against requests that other regions forward to limited targets."""
        site = self.limited_site()
        (load,) = site.placer.region_loads(site.now)
        self.assertEqual(load.slots, 0)

    def test_a_target_without_a_limit_takes_the_request(self):
        site = self.limited_site()
        site.table.get("t2").record_limit(None, site.now + 1.0)
        self.assertEqual(site.place().target.info.incarnation, "t2")


if __name__ == "__main__":
    unittest.main()
