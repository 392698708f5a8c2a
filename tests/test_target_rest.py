"""Targets that want no requests of a host for a while: what it does meanwhile."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import HttpClient, HttpLimits
from bronzepoint_node.placement import (
    LocalPlacement,
    NoLocalTarget,
    Rejected,
    RejectReason,
    RemotePlacement,
)
from bronzepoint_node.relay._call import Call, NotRun
from bronzepoint_node.relay._codec import CallerHead
from bronzepoint_node.relay._sender import _result_of
from bronzepoint_node.relay._try import Destination, Try
from bronzepoint_platform._codec import PlatformCodec
from bronzepoint_schema.generated.decisions import TryResult
from tests._scheduling_region import Region
from tests._stand_in_target import StandInTarget
from tests.test_placement_placer import Site, info
from tests.test_relay_caller_left import ROUTE, FakeExchange

REST = 30.0
"""Seconds of rest in these tests."""


def resting_site(*names, **remote):
    """Return a site with two targets, some of which rest."""
    site = Site(info("t1"), info("t2"))
    for name in names:
        site.table.get(name).record_rest(REST, site.now)
    site.remote_loads(**remote)
    return site


class TestChoice(unittest.TestCase):
    def test_other_target_takes_the_request(self):
        site = resting_site("t1")
        chosen = {site.place().target.info.incarnation for _ in range(20)}
        self.assertEqual(chosen, {"t2"})

    @params(
        # seconds asked for, seconds after which it was asked; rest that is left at 2 s
        (((3.0, 0.0),), 1.0),
        (((3.0, 0.0), (0.5, 1.0)), 1.0),
        (((0.5, 0.0), (3.0, 1.0)), 2.0),
        (((1.0, 0.0),), 0.0),
    )
    def test_longest_rest_counts(self, rests, expected):
        """Guards against a short rest that ends a longer one."""
        site = Site(info("t1"))
        for seconds, at in rests:
            site.table.get("t1").record_rest(seconds, site.now + at)
        left = site.table.rests_for("s", "", site.now + 2.0)
        self.assertAlmostEqual(left, expected)

    def test_new_start_of_a_target_does_not_rest(self):
        site = resting_site("t1")
        site.update([info("t1~2")])
        self.assertIsInstance(site.place(), LocalPlacement)

    def test_other_region_takes_the_request(self):
        self.assertIsInstance(resting_site("t1", "t2", b=0).place(), RemotePlacement)

    def test_refusal_says_when_a_target_may_be_used(self):
        """Guards against callers that all come back too soon."""
        placement = resting_site("t1", "t2").place()
        self.assertIsInstance(placement, Rejected)
        self.assertIs(placement.reason, RejectReason.RESTING)
        self.assertGreaterEqual(placement.retry_after, REST - 1.0)

    def test_other_regions_are_told_of_no_free_capacity(self):
        """Guards against requests that other regions forward to resting targets."""
        site = resting_site("t1", "t2")
        (load,) = site.placer.region_loads(site.now)
        self.assertEqual(load.slots, 0)


class TestScheduler(unittest.TestCase):
    @params((3, ()), (8, ("c1",)))
    def test_scheduler_places_the_request_elsewhere(self, hosts, core):
        """Guards against a scheduler that doesn't know which hosts were turned away."""

        async def main():
            async with Region(hosts, 3, core=core) as region:
                host = region.hosts[region.names[-1]]
                for name in ("t0", "t1"):
                    host.table.get(name).record_rest(REST, monotonic())
                found = [await host.send(f"r{n}") for n in range(12)]
                return {placement.target.info.incarnation for placement in found}

        self.assertEqual(curio.run(main), {"t2"})

    @params((3, ()), (8, ("c1",)))
    def test_all_targets_rest(self, hosts, core):
        """Guards against waiting for a target while none may be used."""

        async def main():
            async with Region(hosts, 2, core=core) as region:
                host = region.hosts[region.names[-1]]
                for name in ("t0", "t1"):
                    host.table.get(name).record_rest(REST, monotonic())
                async with curio.timeout_after(REST / 10):
                    return await host.send("r1", wait=REST)

        found = curio.run(main)
        self.assertIsInstance(found, NoLocalTarget)
        self.assertGreater(found.rests_for, REST / 2)


class TestLeaving(unittest.TestCase):
    def leaving_site(self, *names, **remote):
        site = resting_site(**remote)
        for name in names:
            site.table.get(name).said_leaving = True
        return site

    def test_other_target_takes_the_request(self):
        site = self.leaving_site("t1")
        chosen = {site.place().target.info.incarnation for _ in range(20)}
        self.assertEqual(chosen, {"t2"})

    def test_list_that_says_ready_does_not_reopen_it(self):
        """Guards against sending to a target that leaves as its list entry is old."""
        site = self.leaving_site("t1", "t2", b=0)
        site.update([info("t1"), info("t2")])
        self.assertIsInstance(site.place(), RemotePlacement)

    def test_new_start_of_the_target_is_used(self):
        site = self.leaving_site("t1")
        site.update([info("t1~2")])
        self.assertEqual(site.place().target.info.incarnation, "t1~2")

    @params((3, ()), (8, ("c1",)))
    def test_scheduler_places_the_request_elsewhere(self, hosts, core):
        """Guards against a scheduler that hasn't heard that a target leaves."""

        async def main():
            async with Region(hosts, 2, core=core) as region:
                host = region.hosts[region.names[-1]]
                host.table.get("t0").said_leaving = True
                found = [await host.send(f"r{n}") for n in range(12)]
                return {placement.target.info.incarnation for placement in found}

        self.assertEqual(curio.run(main), {"t1"})


class TestSend(unittest.TestCase):
    def test_request_is_not_sent_once_its_target_asks_for_rest(self):
        """Guards against a request that was placed before its host was turned away."""

        async def main():
            target = StandInTarget("i-1", "127.0.0.1", 0)
            await target.server.start("127.0.0.1:0")
            client = HttpClient(HttpLimits(), 1.0)
            now = monotonic()
            head = CallerHead("id", "h", 5.0, None, None, {})
            call = Call(FakeExchange(), head, ROUTE, b"", now, now + 5.0, False, None)
            attempt = Try(
                client,
                PlatformCodec(),
                call,
                lambda events, seconds: None,
                may_send=lambda: False,
            )
            outcome = await attempt.run(
                Destination(target.server.address, {}, 2.0, 1.0)
            )
            await client.close()
            await target.server.close(0)
            return outcome, len(target.seen), call.written

        outcome, seen, written = curio.run(main)
        self.assertEqual(outcome, NotRun("withheld"))
        self.assertEqual((seen, written), (0, False))

    def test_withheld_request_is_no_failure_of_its_target(self):
        """Guards against ejecting a target because nothing was sent there."""
        self.assertIs(_result_of(NotRun("withheld")), TryResult.cancelled)


if __name__ == "__main__":
    unittest.main()
