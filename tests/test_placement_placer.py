"""Choice of region and target from the state of one entry host."""

import math
import random
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.fleet import (
    EngineProperties,
    Registry,
    RouteKind,
    ServedRoute,
    ServedService,
    ServiceShare,
)
from bronzepoint_node.placement import (
    ColdStartLimiter,
    EnginePoller,
    EngineReport,
    LocalPlacement,
    PlacementRequest,
    Placer,
    Prompt,
    PromptPart,
    Rejected,
    RemotePlacement,
    ReportOfOtherStart,
    ReportUnavailable,
    ReportUnreadable,
    TargetTable,
    is_unresponsive,
)
from bronzepoint_node.placement._engine_load import OwnRun
from bronzepoint_node.placement._region_owner import weighted_owner
from bronzepoint_schema.generated.decisions import TryResult
from bronzepoint_schema.generated.fleet import (
    EntryHost,
    EntryState,
    RegionLoad,
    TargetInfo,
)

ENGINE = ServedService("s", "/h", 100, 3.0, 2.0, EngineProperties(64, 200_000))
PLAIN = ServedService("s", "/h", 100)


def route(homes=(), priority=0):
    shares = (ServiceShare("s", 1.0),)
    return ServedRoute(
        "r", "h", "/", RouteKind.STREAM, 5.0, 1.0, priority, shares, 2, True, 0.3, homes
    )


def info(name, zone="a-1", leaving=False, cold_ms=0):
    port = name[1:].partition("~")[0]
    return TargetInfo(name, "s", f"10.0.0.1:{port}", zone, 64, leaving, cold_ms)


class Site:
    """Region ``a`` with some targets, and regions ``b`` and ``c``."""

    def __init__(self, *targets, service=ENGINE, closed=()):
        self.now = monotonic()
        self.table = TargetTable()
        self.service = service
        self.registry = Registry()
        for region in "abc":
            name = f"{region}1"
            host = EntryHost(name, region, "z", name, name, EntryState.ready, 0)
            self.registry.merge_entries([host])
        self.update(targets, closed)
        self.placer = Placer(
            "a", self.table, self.registry, ColdStartLimiter("a1"), random.Random(1)
        )

    def update(self, targets, closed=(), age=0.0):
        services = {"s": self.service}
        self.table.update(list(targets), age, services, frozenset(closed), self.now)

    def remote_loads(self, **in_progress):
        for region, count in in_progress.items():
            self.registry.merge_loads([RegionLoad(region, "s", 64, count, 0, 0)])

    def make_request(self, of_route=None, prompt=None, forwarded=False, tried=()):
        return PlacementRequest(
            "id", of_route or route(), prompt, forwarded, 5.0, set(tried), set(), 0
        )

    def place(self, *args, **options):
        return self.placer.place(self.make_request(*args, **options), self.now)


class TestLocalOrRemote(unittest.TestCase):
    @params(
        ([info("t1")], (), {"b": 0}, False, LocalPlacement),
        # targets that may get no requests
        ([info("t1", leaving=True)], (), {"b": 0}, False, RemotePlacement),
        ([info("t1")], ("a-1",), {"b": 0}, False, RemotePlacement),
        ([], (), {"b": 0}, False, RemotePlacement),
        # another region is full, or none is known
        ([], (), {"b": 96}, False, Rejected),
        ([], (), {}, False, Rejected),
        # a forwarded request is never forwarded again
        ([], (), {"b": 0}, True, Rejected),
    )
    def test_kind_of_placement(
        self, targets, closed, remote_loads, forwarded, expected
    ):
        site = Site(*targets, closed=closed)
        site.remote_loads(**remote_loads)
        self.assertIsInstance(site.place(forwarded=forwarded), expected)

    @params((("b",), "b"), (("c",), "c"), (("a", "c"), "c"))
    def test_home_bound_requests_go_only_where_they_may(self, homes, expected):
        site = Site()
        site.remote_loads(b=0, c=0)
        for _ in range(20):
            placement = site.place(route(homes))
            self.assertEqual(placement.region, expected)

    # If all hosts lag, forwarding to one of them is better than a refusal.
    @params((False, {"b1"}), (True, {"b1", "b2"}))
    def test_forwards_go_to_hosts_that_keep_up(self, all_lag, expected):
        """Guards against forwarding to a host that has no processor time."""
        site = Site()
        site.remote_loads(b=0)
        for name, lags in (("b1", all_lag), ("b2", True)):
            host = EntryHost(name, "b", "z", name, name, EntryState.ready, 0, lags)
            site.registry.merge_entries([host])
        self.assertEqual({site.place().host for _ in range(40)}, expected)

    def test_route_bound_to_another_region_is_forwarded(self):
        site = Site(info("t1"))
        site.remote_loads(b=0)
        self.assertEqual(site.place(route(("b",))).region, "b")

    def test_refusal_reports_known_capacity(self):
        site = Site(info("t1"), closed=("a-1",))
        site.remote_loads(b=200)
        self.assertGreater(site.place().retry_after, 0)
        known = site.placer.describe_capacity(site.make_request(), site.now)
        for text in ("b 200/64", "closed ['a-1']"):
            self.assertIn(text, known)

    def test_refusal_names_few_of_many_targets(self):
        """Guards against log lines that grow with the number of targets."""
        site = Site(*(info(f"t{number}") for number in range(32)))
        for number in range(31):
            target = site.table.get(f"t{number}")
            target.load.begin("run", OwnRun(1, 0, 0, site.now))
        site.table.get("t3").record_rest(5.0, site.now)
        known = site.placer.describe_capacity(site.make_request(), site.now)
        for text in ("32 targets 31/", "with room, 1 rests", "t31 0/"):
            self.assertIn(text, known)
        self.assertLess(len(known), 250)


class TestLongPrompts(unittest.TestCase):
    @params(
        (0, math.inf, RemotePlacement),
        (37_000, 6e5, LocalPlacement),
        (37_000, 1e8, RemotePlacement),
    )
    def test_body_that_takes_long_on_a_narrow_link_stays(self, size, link, expected):
        """Guards against late answers to long prompts that were forwarded.

        Nearly all late answers were to forwarded requests. A prompt of 37 KB is sent
        over a link of 5 Mbit/s and received over another one. If only the round trip is
        counted, it is forwarded although its own region would answer within the
        objective.
        """
        site = Site(info("t1"))
        site.remote_loads(b=0)
        site.placer.regions._link_bytes = link
        local = LocalPlacement(site.table.get("t1"), "", 0.38)
        request = site.make_request()
        request.body_bytes = size
        self.assertIsInstance(site.placer.decide(request, local, site.now), expected)


class TestForwardedRequests(unittest.TestCase):
    @params((True, RemotePlacement), (False, Rejected))
    def test_answered_requests_free_capacity(self, answered, expected):
        """Guards against refused requests while the other regions are idle.

        The targets of the region are closed. The load report of the other region is 0.6
        s old and shows no requests. Ten requests of a plain service were forwarded
        there since and have been answered, but would count as in progress.
        """
        site = Site(info("t1"), service=PLAIN, closed=("a-1",))
        site.registry.merge_loads([RegionLoad("b", "s", 6, 0, 0, 600)])
        regions = site.placer.regions
        for number in range(10):
            regions.note_forwarded("b", "s", str(number), site.now)
            if answered:
                regions.record_returned("b", "s", str(number))
        self.assertIsInstance(site.place(), expected)


class TestTargets(unittest.TestCase):
    def test_replaced_target_gets_nothing_until_the_list_is_read_again(self):
        """Guards against a second in which every request is refused with 421.

        A target restarts at its address, and the list still names the former
        incarnation. Each request is sent there and uses up a retry, unless the first
        rejection is remembered.
        """
        site = Site(info("t1"), info("t2"))
        site.table.get("t1").replaced = True
        chosen = {site.place().target.info.incarnation for _ in range(20)}
        self.assertEqual(chosen, {"t2"})

    def test_unresponsive_engine_is_avoided_while_another_answers(self):
        site = Site(info("t1"), info("t2"))
        unresponsive = site.table.get("t1")
        unresponsive.record_failure(site.now - 1.0)
        unresponsive.record_failure(site.now - 0.5)
        unresponsive.trial_at = site.now
        chosen = {site.place().target.info.incarnation for _ in range(20)}
        self.assertEqual(chosen, {"t2"})

    @params(False, True)
    def test_only_target_is_tried_once_a_second_if_unresponsive(self, remote_loads):
        """Guards against requests that fail although another region serves them.

        The only target of a plain service in the region is lost. For seconds each
        request waits for a connection to it and uses up its tries, if an unresponsive
        target is used whenever the region has no other.
        """
        site = Site(info("t1"), service=PLAIN)
        if remote_loads:
            site.remote_loads(b=0)
        unresponsive = site.table.get("t1")
        unresponsive.record_failure(site.now - 1.0)
        unresponsive.record_failure(site.now - 0.5)
        first = site.place()
        self.assertIsInstance(first, LocalPlacement)
        unresponsive.trial_at = site.now
        expected = RemotePlacement if remote_loads else Rejected
        self.assertIsInstance(site.place(), expected)
        site.now += 1.1
        self.assertIsInstance(site.place(), LocalPlacement)

    def test_any_answer_makes_a_target_responsive(self):
        site = Site(info("t1"), service=PLAIN)
        target = site.table.get("t1")
        target.record_failure(site.now - 1.0)
        target.record_failure(site.now - 0.5)
        site.table.note_result(target, TryResult.answered, 0.1, site.now)
        self.assertFalse(is_unresponsive(target, site.now))

    def test_engine_that_reads_a_long_prompt_is_avoided(self):
        site = Site(info("t1"), info("t2"))
        long = Prompt((PromptPart("own", 39_000),), 39_000, 50)
        site.table.get("t1").begin("long", long, 1, site.now)
        short = Prompt((PromptPart("p", 100), PromptPart("q", 600)), 700, 300)
        chosen = {site.place(prompt=short).target.info.incarnation for _ in range(20)}
        self.assertEqual(chosen, {"t2"})

    def test_prompt_that_doesn_t_fit_into_the_memory_waits(self):
        site = Site(info("t1"))
        big = Prompt((PromptPart("own", 150_000),), 150_000, 50)
        site.table.get("t1").begin("1", big, 1, site.now)
        self.assertIsInstance(site.place(prompt=big), Rejected)

    @params((0.0, 1), (2.0, 2), (10.0, 8))
    def test_cold_target_gets_few_requests(self, seconds, most):
        site = Site(info("t1", cold_ms=60_000))
        sent = 0
        for _ in range(int(seconds * 50) + 1):
            site.now += 0.02
            placement = site.place()
            if isinstance(placement, LocalPlacement):
                site.placer.local_selector._cold.note_sent("t1", site.now)
                sent += 1
        self.assertLessEqual(sent, 1 + seconds * 2.0 * 0.7)
        self.assertGreaterEqual(sent, min(most, 1))

    def test_reopened_data_center_counts_as_cold_until_a_later_list(self):
        """Guards against cold targets that crash right after an evacuation is reverted.

        The data center is reopened, and the list that marks its targets as cold arrives
        a second later. Until then they would get their full load.
        """
        site = Site(info("t1"), closed=("a-1",))
        site.update([info("t1")], age=0.5)
        tracked = site.table.get("t1")
        self.assertGreater(tracked.cold_until, site.now + 3.0)
        site.now += 0.5
        site.update([info("t1")], age=0.7)  # read before the reopening
        self.assertGreater(tracked.cold_until, site.now)
        site.now += 1.0
        site.update([info("t1")], age=0.2)
        self.assertLessEqual(tracked.cold_until, site.now)


class TestSharedParts(unittest.TestCase):
    def prompt_owned_by(self, region):
        weights = {"a": 64.0, "b": 64.0, "c": 64.0}
        for number in range(100):
            name = f"part{number}"
            if weighted_owner(name, weights) == region:
                parts = (PromptPart(name, 6000), PromptPart("own", 1000))
                return Prompt(parts, 7000, 50)
        raise AssertionError("no part of that region")

    @params(("a", None), ("b", "b"), ("c", "c"))
    def test_part_missing_here_is_read_where_it_is_cached(self, owner, expected):
        site = Site(info("t1"))
        site.remote_loads(b=0, c=0)
        placement = site.place(prompt=self.prompt_owned_by(owner))
        self.assertEqual(getattr(placement, "region", None), expected)

    def test_part_cached_here_is_served_here(self):
        site = Site(info("t1"))
        site.remote_loads(b=0, c=0)
        prompt = self.prompt_owned_by("b")
        site.table.get("t1").memory.note_used(prompt)
        self.assertIsInstance(site.place(prompt=prompt), LocalPlacement)

    def test_busy_cache_holder_is_not_waited_for(self):
        site = Site(info("t1"))
        site.registry.merge_loads([RegionLoad("b", "s", 64, 10, 900, 0)])
        site.remote_loads(c=0)
        placement = site.place(prompt=self.prompt_owned_by("b"))
        self.assertIsInstance(placement, LocalPlacement)


if __name__ == "__main__":
    unittest.main()


class TestEnginePoller(unittest.TestCase):
    @params(
        (ReportUnavailable("no answer"), 1, False),
        (ReportUnreadable("running: expected int"), 0, False),
        (ReportOfOtherStart("it was born at 6"), 0, True),
        (EngineReport(1, 0, 5, 10), 0, False),
    )
    def test_effect_of_a_report(self, report, failed, replaced):
        """Guards against treating every unusable report as a missing one.

        An engine whose report cannot be parsed would get no requests. An engine that
        has restarted would get prompts whose parts it no longer caches.
        """
        site = Site(info("t1"))

        polled = []

        async def read(address, incarnation):
            polled.append(incarnation)
            if len(polled) > 1:
                await again.set()
                await curio.sleep(60.0)
            if isinstance(report, Exception):
                raise report
            return report

        async def main():
            engine_poller = EnginePoller(site.table, read, lambda: 1)
            await engine_poller.start()
            await again.wait()
            await engine_poller.close()

        again = curio.Event()

        curio.run(main)
        tracked = site.table.get("t1")
        self.assertEqual((tracked.failed_reports, tracked.replaced), (failed, replaced))

    def test_restart_under_the_same_id_starts_empty(self):
        """Guards against a target that looks busy and warm after a restart.

        A target with requests in progress and cached parts crashes, and is listed under
        the same id with another start time. Its state must not be kept by id alone.
        """
        site = Site(info("t1~5"))
        prompt = Prompt((PromptPart("p", 500), PromptPart("o", 5)), 505, 5)
        tracked = site.table.get("t1~5")
        tracked.begin("r1", prompt, 0, site.now)
        tracked.record_failure(site.now)
        site.update([info("t1~9")])
        restarted = site.table.get("t1~9")
        self.assertIsNone(site.table.get("t1~5"))
        self.assertEqual(restarted.load.in_flight(site.now), 0)
        self.assertEqual(restarted.memory.cached_tokens(prompt), 0)
        self.assertEqual(restarted.failed_reports, 0)


class TestReportedRegionLoads(unittest.TestCase):
    @params(
        ({}, 2),
        ({"cold_ms": 3000}, 1),
    )
    def test_cold_targets_are_not_reported_as_capacity(self, changes, targets):
        """Guards against hundreds of requests a second that are forwarded and refused.

        The engines of a region restart cold, and a cold one may get a single request
        now. If it is reported with its 64 slots, other regions forward requests that
        are refused and join the queue of their own host late.
        """
        site = Site(info("t1"), info("t2", **changes))
        (load,) = site.placer.region_loads(site.now)
        self.assertEqual(load.slots, 64 * targets)

    def test_unresponsive_and_ejected_targets_are_not_reported(self):
        site = Site(info("t1"), info("t2"), info("t3"), info("t4"))
        site.table.get("t1").reported_unresponsive = True
        site.table.get("t2").health.eject(site.now)
        (load,) = site.placer.region_loads(site.now)
        self.assertEqual(load.slots, 2 * 64)
