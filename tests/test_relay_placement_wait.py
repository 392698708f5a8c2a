"""A waiting request checks for free capacity periodically, so that others can run."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.fleet import RouteKind, ServedRoute, ServiceShare
from bronzepoint_node.placement import LocalPlacement, Rejected, RejectReason
from bronzepoint_node.placement._engine_load import OwnRun
from bronzepoint_node.relay import CallerHead, PlacementSearch
from bronzepoint_node.relay._call import Call
from bronzepoint_schema.generated.target_loads import Hold
from tests._scheduling_region import SLOTS, Region, prompt

OBJECTIVE = 1.0
"""Objective of the route, in seconds."""
DEADLINE = 5.0
"""Seconds until the deadline of a request."""
ROUTE = ServedRoute(
    "r",
    "h",
    "/",
    RouteKind.STREAM,
    DEADLINE,
    OBJECTIVE,
    0,
    (ServiceShare("s", 1.0),),
    2,
)
WAIT = 0.5
"""Seconds for which a request may wait for free capacity."""
LONG_HOLD_MS = 60_000
"""Milliseconds for which a request holds a slot: long enough that no request may wait
for one to become free."""
MANY = 200
"""Number of measurements after which the estimate is close to the measured value."""
MAX_PLACEMENT_REQUESTS = 3
"""Maximum placement requests for a request that is refused at once."""


def make_call():
    now = monotonic()
    head = CallerHead("id", "h", DEADLINE, prompt(), None, {})
    return Call(None, head, ROUTE, b"", now, now + DEADLINE, False, None)


def fill(region, hold_ms):
    """Occupy all slots of all targets, in the view of every host."""
    schedulers = [*region.hosts.values(), *region.core.values()]
    for scheduler in schedulers:
        for tracked in scheduler.table.all():
            for number in range(SLOTS):
                run = OwnRun(100, 0, 0, monotonic(), started=True)
                tracked.load.begin(f"{scheduler.name}-{number}", run)
    for host in region.hosts.values():
        for _ in range(MANY):
            host.placer.estimates.learn_hold(Hold("s", hold_ms))


async def find_placement(host, call):
    search = PlacementSearch(host.placer, host.client)
    return await search.find(call, monotonic() + WAIT)


class TestQueueTooLong(unittest.TestCase):
    def test_request_that_no_queue_accepts_is_refused_at_once(self):
        """Guards against a host that requests placements in a tight loop while no
        target has free capacity."""
        # A single host chooses targets itself; with several hosts, each one queries the
        # scheduler of its region.
        for hosts in (1, 8):
            with self.subTest(hosts=hosts):
                placement, placement_requests = curio.run(self.place, hosts)
                self.assertIsInstance(placement, Rejected)
                self.assertIs(placement.reason, RejectReason.NO_ROOM)
                self.assertLessEqual(placement_requests, MAX_PLACEMENT_REQUESTS)

    async def place(self, hosts):
        async with Region(hosts, 1) as region:
            fill(region, LONG_HOLD_MS)
            host = region.members[0] if hosts > 1 else region.scheduler
            call = make_call()
            return await find_placement(host, call), call.placement_requests


class TestTrialByPermit(unittest.TestCase):
    @params(1, 8)
    def test_no_target_is_free_of_trials_in_time(self, hosts):
        """Guards against refusing an unrelated request while all targets have suspects
        on trial, and against holding it until its deadline."""

        async def main():
            async with Region(hosts, 2) as region:
                for each in [*region.hosts.values(), *region.core.values()]:
                    for tracked in each.table.all():
                        tracked.isolate(monotonic() + 2 * DEADLINE)
                host = region.members[0] if hosts > 1 else region.scheduler
                call = make_call()
                call.suspect = call.has_permit = True
                began = monotonic()
                placement = await find_placement(host, call)
                return placement, monotonic() - began

        placement, seconds = curio.run(main)
        self.assertIsInstance(placement, LocalPlacement)
        self.assertGreaterEqual(seconds, WAIT)
        self.assertLess(seconds, DEADLINE / 2)


class TestQueueThatMoves(unittest.TestCase):
    def test_request_waits_for_capacity_in_queue(self):
        async def main():
            async with Region(1, 1) as region:
                fill(region, 1)
                host = region.scheduler
                call = make_call()
                waiting = await curio.spawn(find_placement, host, call)
                await curio.sleep(WAIT / 5)
                host.table.get("t0").load.end(f"{host.name}-0")
                return (
                    await waiting.join()
                ).target.info.incarnation, call.placement_requests

        self.assertEqual(curio.run(main), ("t0", 2))


class TestForecast(unittest.TestCase):
    @params((8, LocalPlacement), (1, Rejected))
    def test_request_waits_for_as_long_as_the_forecast_says(self, hosts, expected):
        """Guards against requests that are refused after a fixed part of their
        objective, although they would have started in time.

        A host that chooses for itself has no forecast.
        """

        async def main():
            async with Region(hosts, 1) as region:
                fill(region, 1000)
                host = region.members[0] if hosts > 1 else region.scheduler
                search = PlacementSearch(host.placer, host.client)
                until = monotonic() + 0.05
                waiting = await curio.spawn(search.find, make_call(), until)
                await curio.sleep(0.3)
                for each in region.hosts.values():
                    load = each.table.get("t0").load
                    for name in list(load.runs):
                        load.end(name)
                return await waiting.join()

        self.assertIsInstance(curio.run(main), expected)


if __name__ == "__main__":
    unittest.main()
