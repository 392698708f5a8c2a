"""The scheduler's queue with organisations and forecasts, and its failures."""

import unittest
from collections import Counter

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area
from bronzepoint_node.placement import (
    LocalPlacement,
    NoLocalTarget,
    RaisedWeights,
    Rejected,
)
from bronzepoint_node.placement._engine_load import OwnRun
from bronzepoint_node.placement._fair_order import FlowKey, RankKey
from bronzepoint_node.placement._local_request import LocalPlacementRequest
from bronzepoint_node.placement._queue_metrics import MAX_NAMES, QueueMetrics
from bronzepoint_node.placement._scheduler import make_query
from bronzepoint_node.placement._scheduler_client import ANSWER_TIMEOUT
from bronzepoint_schema.generated.scheduling import TargetRelease
from bronzepoint_schema.generated.target_loads import Hold
from tests._scheduling_region import SLOTS, Region
from tests.test_placement_placer import Site

HOLD_MS = 1000


def fill(region, hold_ms=HOLD_MS):
    """Occupy all slots, and let the scheduler know how long requests take."""
    chooser = region.scheduler
    load = chooser.table.get("t0").load
    for number in range(SLOTS):
        load.begin(f"{number}", OwnRun(1, 0, 0, monotonic(), started=True))
    for _ in range(200):
        chooser.placer.estimates.learn_hold(Hold("s", hold_ms))
    return load


async def wait_for(found, host, name, seconds=0.9, **fields):
    placement = await host.send(name, wait=seconds, **fields)
    if isinstance(placement, LocalPlacement):
        found.append(name)


class TestAdmission(unittest.TestCase):
    def test_request_that_can_not_be_served_is_refused_at_once(self):
        """Guards against requests that wait in a queue that doesn't move, and are told
        a random time."""

        async def main():
            async with Region(9, 1) as region:
                fill(region, hold_ms=300_000)
                member = region.members[0]
                await member.send("first", objective=0.8)
                began = monotonic()
                found = await member.send("x", wait=0.9, objective=0.8)
                return found, monotonic() - began

        found, seconds = curio.run(main)
        self.assertTrue(found.crowded)
        self.assertGreater(found.retry_after, 5.0)
        self.assertLess(seconds, ANSWER_TIMEOUT)

    def test_request_that_can_be_served_may_wait(self):
        async def main():
            async with Region(9, 1) as region:
                load = fill(region)
                member = region.members[0]
                first = await member.send("first", objective=0.8)
                found = []
                tasks = [
                    await curio.spawn(wait_for(found, host, f"w{n}", objective=0.8))
                    for n, host in enumerate(region.members[:3])
                ]
                await curio.sleep(0.1)
                for number in range(3):
                    load.end(f"{number}")
                for task in tasks:
                    await task.join()
                return first, found

        first, found = curio.run(main)
        self.assertFalse(first.crowded)
        self.assertGreater(first.retry_after, 0)
        self.assertEqual(sorted(found), ["w0", "w1", "w2"])

    def test_old_hosts_wait_as_they_ask_for(self):
        """Guards against refusals of hosts whose queries don't name an objective."""

        async def main():
            async with Region(9, 1) as region:
                fill(region)
                return await region.members[0].send("x", wait=0.1)

        self.assertEqual(curio.run(main), NoLocalTarget(late=False))


class TestOrganisations(unittest.TestCase):
    def test_asking_often_gives_no_larger_share(self):
        """Guards against an organisation that takes each slot that becomes free because
        it asks more often than the waiting requests are checked."""

        async def main():
            async with Region(9, 1) as region:
                load = fill(region)
                members, served = region.members, Counter()

                async def ask(number):
                    while True:
                        found = await members[number].send(
                            f"{monotonic()}", organisation="flood"
                        )
                        served["flood"] += isinstance(found, LocalPlacement)

                found = []
                flood = [await curio.spawn(ask, number) for number in range(4)]
                waiting = [
                    await curio.spawn(
                        wait_for(found, members[5], f"w{n}", organisation="usual")
                    )
                    for n in range(6)
                ]
                await curio.sleep(0.05)
                for number in range(6):
                    load.end(f"{number}")
                    await curio.sleep(0.06)
                for task in flood:
                    await task.cancel()
                for task in waiting:
                    await task.cancel()
                return len(found), served["flood"]

        waited, flood = curio.run(main)
        # Each of the two organisations gets its half of the six slots.
        self.assertGreaterEqual(waited, 3)
        self.assertLessEqual(flood, 3)


class TestOperators(unittest.TestCase):
    def test_raised_weight_ends_by_itself(self):
        """Guards against an organisation that keeps a raised share for ever because
        nobody takes it back."""
        now = [100.0]
        weights = RaisedWeights(lambda: now[0])
        weights.set("a", 3.0, 60.0)
        before = weights.factor("a"), weights.factor("b")
        now[0] = 161.0
        self.assertEqual((before, weights.factor("a")), ((3.0, 1.0), 1.0))

    @params((0.0, 60.0), (1e9, 60.0), (float("nan"), 60.0), (2.0, 0.0), (2.0, 1e9))
    def test_factor_or_time_out_of_range(self, factor, seconds):
        with self.assertRaises(ValueError):
            RaisedWeights(monotonic).set("a", factor, seconds)

    def test_metrics_by_organisation_and_route(self):
        metrics = Metrics()
        counted = QueueMetrics(metrics)
        request = LocalPlacementRequest("id", "s", None, 5.0, 0, 0.0, set())
        request.organisation, request.route = "Acme & Co", "drafts"
        counted.note_result(request, NoLocalTarget(crowded=True))
        counted.note_result(request, NoLocalTarget(late=True))
        counted.note_waiting(request, 1)
        name = "Acme___Co.drafts"
        expected = {
            f"queue.refused_crowded.{name}": 1,
            f"queue.refused_late.{name}": 1,
        }
        self.assertEqual(metrics.counters(), expected)
        self.assertEqual(metrics.gauges(), {f"queue.waiting.{name}": 1})

    def test_number_of_metrics_is_bounded(self):
        """Guards against a host that runs out of memory by the metrics of thousands of
        organisations."""
        metrics = Metrics()
        counted = QueueMetrics(metrics)
        for number in range(3 * MAX_NAMES):
            request = LocalPlacementRequest("id", "s", None, 5.0, 0, 0.0, set())
            request.organisation, request.route = f"o{number}", "drafts"
            counted.note_result(request, NoLocalTarget(crowded=True))
        self.assertEqual(len(metrics.counters()), MAX_NAMES + 1)


class TestFailures(unittest.TestCase):
    def test_lost_scheduler_does_not_hold_requests_back(self):
        """Guards against requests that wait for the forecast of a scheduler that is
        lost."""

        async def main():
            async with Region(9, 2) as region:
                region.partitioned.add(region.scheduler.name)
                member = region.members[0]
                began = monotonic()
                found = await member.send("x", objective=0.8)
                return found, monotonic() - began

        found, seconds = curio.run(main)
        self.assertIsInstance(found, LocalPlacement)
        self.assertLess(seconds, 2 * ANSWER_TIMEOUT)

    def test_requests_of_a_restarted_host_leave_the_queue(self):
        """Guards against a queue that stays full of requests whose host has restarted
        and has forgotten them."""

        async def main():
            async with Region(9, 1) as region:
                fill(region)
                chooser, member = region.scheduler, region.members[0]
                for number in range(10):
                    request = member.make_request(organisation="a")
                    query = make_query(request, number, 0.4, monotonic())
                    await chooser.handlers[Area.SCHEDULING](member.name, query)
                await curio.sleep(0.05)
                region.partitioned.add(member.name)
                queue = chooser.client._scheduler._queues["s"]
                before = len(queue)
                await curio.sleep(0.6)
                order = queue.order
                cost = sum(rank.waiting_cost for rank in order.ranks.values())
                return before, len(queue), cost

        self.assertEqual(curio.run(main), (10, 0, 0.0))

    def test_ask_of_a_caller_that_has_left_is_withdrawn(self):
        """Guards against capacity that is granted to requests whose callers have
        left."""

        async def main():
            async with Region(9, 1) as region:
                load = fill(region)
                member = region.members[0]
                task = await curio.spawn(member.send("x", wait=0.9, organisation="a"))
                await curio.sleep(0.05)
                queue = region.scheduler.client._scheduler._queues["s"]
                before = len(queue)
                await task.cancel()
                await curio.sleep(0.02)
                after = len(queue)
                load.end("0")
                await curio.sleep(0.05)
                return before, after, load.in_flight(monotonic())

        self.assertEqual(curio.run(main), (1, 0, SLOTS - 1))

    def test_unused_grant_gives_back_capacity_and_share(self):
        """Guards against an organisation that is charged for grants which its callers
        didn't wait for."""

        async def main():
            async with Region(9, 1) as region:
                chooser, member = region.scheduler, region.members[0]
                scheduler = chooser.client._scheduler
                handle = chooser.handlers[Area.SCHEDULING]
                request = member.make_request(organisation="a")
                await handle(member.name, make_query(request, 7, 0.0, monotonic()))
                load = chooser.table.get("t0").load
                order = scheduler._queues["s"].order

                def state():
                    lead = order.lead(RankKey(0), FlowKey("a"))
                    return load.in_flight(monotonic()), lead > 0

                granted = state()
                for _ in range(2):
                    await handle(member.name, TargetRelease(7))
                return granted, state()

        granted, released = curio.run(main)
        self.assertEqual((granted, released), ((1, True), (0, False)))

    @params(1, 5)
    def test_long_prompts_that_wait_hold_up_no_short_ones(self, waiting):
        """Guards against idle slots behind prompts that no target may read now."""

        async def main():
            async with Region(9, 1) as region:
                selector = region.scheduler.placer.local_selector
                selector._may_read = lambda *arguments: False
                hosts = region.members
                for _ in range(200):
                    region.scheduler.placer.estimates.learn_hold(Hold("s", HOLD_MS))
                found = []
                fields = {"objective": 2.0, "organisation": "a"}
                long = [
                    await curio.spawn(
                        wait_for(found, hosts[n], f"long{n}", tokens=9000, **fields)
                    )
                    for n in range(waiting)
                ]
                await curio.sleep(0.1)
                fields["organisation"] = "b"
                short = await hosts[6].send("short", rank=1, **fields)
                still_waiting = not found
                for task in long:
                    await task.cancel()
                return short, still_waiting

        short, still_waiting = curio.run(main)
        self.assertIsInstance(short, LocalPlacement)
        self.assertTrue(still_waiting)

    @params(0.3, 1.0)
    def test_refusal_names_a_time_from_the_forecast(self, seconds):
        """Guards against callers that return before there is room, or all together."""
        site = Site()
        found = NoLocalTarget(crowded=True, retry_after=seconds)
        request = site.make_request()
        refusals = [site.placer.decide(request, found, monotonic()) for _ in range(50)]
        waits = [refusal.retry_after for refusal in refusals]
        self.assertIsInstance(refusals[0], Rejected)
        self.assertGreaterEqual(min(waits), 1.1 * seconds)
        self.assertLessEqual(max(waits), 1.5 * seconds)
        self.assertGreater(len(set(waits)), 40)


if __name__ == "__main__":
    unittest.main()
