"""Tests of all decisions of one host together, through the policy's interface."""

import time
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.policy import (
    LocalPlacement,
    Policy,
    Refused,
    RegionHosts,
    RegionView,
    RemotePlacement,
)
from bronzepoint_node.policy._waiting import QueuedRequest
from bronzepoint_schema.generated.catalogue import EntryClass
from bronzepoint_schema.generated.decisions import RetryReason, TryResult
from bronzepoint_schema.generated.settings import PolicyChoice, PolicySection
from tests._policy_fakes import Bounds, FakeCatalogue, FakeNet, request, target


class Harness:
    """Policy of one host in region bkk with two targets; sgp is the other region."""

    def __init__(self, choice=PolicyChoice.policy, **owners):
        self.views = [target("a", slots=4), target("b", slots=4)]
        self.regions = [
            RegionView("bkk", slots=8),
            RegionView("sgp", slots=8, trip=0.06),
        ]
        self.metrics = Metrics(None)
        self.policy = Policy(
            "h0",
            "bkk",
            PolicySection(choice=choice, seed=1, retry_share=2.0),
            FakeNet().peers("h0"),
            self.metrics,
            FakeCatalogue(**owners),
            lambda: RegionHosts(["h0"], ["h0"]),
        )

    async def place(self, req):
        ticket = await self.policy.enter(req)
        if isinstance(ticket, Refused):
            return None, ticket
        placed = await self.policy.place(
            ticket, lambda: self.views, lambda: self.regions
        )
        if isinstance(placed, LocalPlacement):
            placed.target.in_flight += 1
        return ticket, placed

    async def finish(self, ticket, placed, result=TryResult.answered):
        placed.target.in_flight -= 1
        await self.policy.record_try(ticket, placed, result, 0.1)
        await self.policy.leave(ticket, True, 10)


class TestPolicy(unittest.TestCase):
    def test_record_names_all_candidates_and_limits(self):
        harness = Harness(acme=Bounds(rate=10))
        _, placed = curio.run(harness.place, request())
        self.assertIsInstance(placed, LocalPlacement)
        names = {candidate.name for candidate in placed.candidates}
        self.assertEqual(names, {"bkk", "sgp", "a", "b"})
        self.assertIn("limits: within owner:acme", placed.notes)
        self.assertIn("least expected loss at home", placed.reason)

    def test_residency_applies_without_local_targets(self):
        harness = Harness()
        harness.views = []
        _, away = curio.run(harness.place, request())
        self.assertIsInstance(away, RemotePlacement)
        _, refused = curio.run(harness.place, request(allowed_regions=["bkk"]))
        self.assertEqual(refused.kind, "no_target")

    @params(*PolicyChoice)
    def test_own_region_excluded_by_residency_serves_nothing(self, choice):
        """A request must not be served in a region that its residency forbids.

        The only allowed region is unreachable, and this region has idle targets.
        """
        harness = Harness(choice)
        harness.regions[1].reachable = False
        _, refused = curio.run(harness.place, request(allowed_regions=["sgp"]))
        self.assertEqual(refused.kind, "region_unreachable")

    def test_slot_of_a_caller_that_left_is_free(self):
        harness = Harness()
        harness.regions = harness.regions[:1]

        async def main():
            held = [await harness.place(request()) for _ in range(8)]
            waiting = await curio.spawn(harness.place, request())
            while harness.policy.queued("chat") == 0:
                await curio.sleep(0)
            ticket, placed = held[0]
            placed.target.in_flight -= 1
            await harness.policy.leave(ticket, False, 0)
            _, again = await waiting.join()
            return again

        self.assertIsInstance(curio.run(main), LocalPlacement)

    def test_limit_refuses(self):
        harness = Harness(acme=Bounds(in_progress=1))

        async def main():
            ticket, placed = await harness.place(request())
            _, refused = await harness.place(request())
            await harness.finish(ticket, placed)
            _, again = await harness.place(request())
            return refused, again

        refused, again = curio.run(main)
        self.assertEqual(refused.kind, "in_progress_limited")
        self.assertGreater(refused.retry_after, 0)
        self.assertIsInstance(again, LocalPlacement)

    def test_waiting_request_starts_when_one_ends(self):
        harness = Harness()
        harness.regions = harness.regions[:1]

        async def main():
            held = [await harness.place(request()) for _ in range(8)]
            waiting = await curio.spawn(harness.place, request())
            while harness.policy.queued("chat") == 0:
                await curio.sleep(0)
            self.assertGreater(harness.policy.expected_wait("chat"), 0)
            await harness.finish(*held[0])
            _, placed = await waiting.join()
            return placed

        placed = curio.run(main)
        self.assertIsInstance(placed, LocalPlacement)
        self.assertIn("admission: waited", placed.notes[-1])

    @params((True, 1.0), (False, 0.0))
    def test_longest_wait_for_another_region(self, idempotent, least):
        """Callers must not hang until their deadline when a region is partitioned.

        For some seconds requests are still forwarded over the failed link, without
        any error. A missing answer doesn't show whether the request ran, so only an
        idempotent request is tried in another place before its deadline.
        """
        harness = Harness()
        harness.views = []

        async def main():
            ticket, placed = await harness.place(request())
            await harness.policy.record_try(ticket, placed, TryResult.answered, 0.1)
            ticket, placed = await harness.place(request(idempotent=idempotent))
            await harness.policy.record_try(ticket, placed, TryResult.timeout, None)
            may_retry_it = harness.policy.may_retry(
                ticket, RetryReason.target_error, "sgp"
            )
            _, again = await harness.place(request())
            return placed, may_retry_it, again

        placed, may_retry_it, again = curio.run(main)
        self.assertGreaterEqual(placed.max_wait, least)
        self.assertEqual(placed.max_wait > 0, idempotent)
        self.assertEqual(may_retry_it, idempotent)
        self.assertEqual(again.kind, "no_target")

    @params(
        ("free target", {}, "LocalPlacement"),
        ("full targets", {"in_flight": 4}, "NoneType"),
        ("others are queued", {"queued": EntryClass.interactive}, "NoneType"),
        ("lower class is queued", {"queued": EntryClass.batch}, "LocalPlacement"),
        ("no retry left", {"retries": 0}, "NoneType"),
        ("other region", {"in_flight": 4, "region": "cnx"}, "RemotePlacement"),
        ("region too far", {"in_flight": 4, "region": "cnx", "trip": 90}, "NoneType"),
    )
    def test_replacement_is_held(self, _, state, expected):
        """Guards against leaving a late region with no other place to go to.

        The target there may still work on the request.
        """
        harness = Harness()
        harness.views, views = [], harness.views
        for view in views:
            view.in_flight = state.get("in_flight", 0)

        async def main():
            ticket, placed = await harness.place(request())
            await harness.policy.record_try(ticket, placed, TryResult.answered, 0.1)
            ticket, placed = await harness.place(request())
            harness.views = views
            if "region" in state:
                other = RegionView(state["region"], slots=8, trip=state.get("trip", 0))
                harness.regions.append(other)
            policy = harness.policy
            if "queued" in state:
                pool = frozenset(view.name for view in views)
                other = request(entry_class=state["queued"], owner="other")
                queue = policy._admission._queue(pool)
                queue.add(QueuedRequest(other, time.monotonic()))
            while "retries" in state and policy.may_retry(
                ticket, RetryReason.target_error, placed.region
            ):
                pass
            before = harness.metrics.counters().get("retry.target_error", 0)
            found = policy.find_replacement(
                ticket, placed.region, lambda: harness.views, lambda: harness.regions
            )
            after = harness.metrics.counters().get("retry.target_error", 0)
            return placed, found, after - before, ticket

        placed, found, retries, ticket = curio.run(main)
        self.assertEqual(placed.region, "sgp")
        self.assertEqual(type(found).__name__, expected)
        self.assertEqual(retries, 0 if found is None else 1)
        self.assertEqual(ticket.holds_slot, expected == "LocalPlacement")
        self.assertEqual(ticket.request.tried_regions, [])

    def test_refusing_region_is_paused(self):
        harness = Harness()
        harness.views = []

        async def main():
            ticket, placed = await harness.place(request())
            await harness.policy.record_try(
                ticket, placed, TryResult.refused_by_target, None
            )
            may_retry_it = harness.policy.may_retry(
                ticket, RetryReason.region_refused, "sgp"
            )
            _, again = await harness.place(request())
            return may_retry_it, again

        may_retry_it, again = curio.run(main)
        self.assertTrue(may_retry_it)
        self.assertEqual(again.kind, "no_target")
        self.assertEqual(harness.metrics.counters()["retry.region_refused"], 1)

    @params(
        (PolicyChoice.round_robin, {"a": 4, "b": 4}),
        (PolicyChoice.least_in_progress, {"a": 4, "b": 4}),
    )
    def test_baselines(self, choice, expected):
        harness = Harness(choice)

        async def main():
            counts = {"a": 0, "b": 0}
            for _ in range(8):
                _, placed = await harness.place(request())
                counts[placed.target.name] += 1
            return counts

        self.assertEqual(curio.run(main), expected)

    def test_random_region_keeps_to_residency(self):
        harness = Harness(PolicyChoice.random_region)

        async def main():
            free = [(await harness.place(request()))[1] for _ in range(40)]
            bound = request(allowed_regions=["bkk"])
            home = [(await harness.place(bound))[1] for _ in range(40)]
            return free, home

        free, home = curio.run(main)
        self.assertEqual(
            {type(placed) for placed in free}, {LocalPlacement, RemotePlacement}
        )
        self.assertEqual({type(placed) for placed in home}, {LocalPlacement})
