"""Requests are forwarded only to regions that can be reached and report room."""

import random
import unittest

from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.core import CoreSync
from bronzepoint_node.core._core_sync import REGION_SILENCE
from bronzepoint_node.fleet import Registry
from bronzepoint_node.placement import (
    NO_OWN_QUEUE,
    NoLocalTarget,
    OtherRegions,
    Rejected,
    RejectReason,
    RemotePlacement,
    ServiceEstimates,
)
from bronzepoint_node.placement._other_regions import REGION_RTT
from bronzepoint_node.placement._region_reachability import (
    CONTACT_VALIDITY,
    CORE_REPORT_VALIDITY,
    PROBE_INTERVAL,
    TIMEOUT_WINDOW,
    RegionReachability,
)
from bronzepoint_node.relay import CallerHead
from bronzepoint_node.relay._call import Call, NotRun
from bronzepoint_node.relay._host_headers import (
    BLOCKED_HEADER,
    HOST_REFUSED_HEADER,
    RAN_HEADER,
)
from bronzepoint_node.relay._placement_search import _may_wait, _placement_request
from bronzepoint_node.relay._request_intake import _parse_lease
from bronzepoint_node.relay._sender import _record_not_run
from bronzepoint_node.relay._try import _refusal_reason
from bronzepoint_schema.generated.fleet import (
    CoreHost,
    CoreNotice,
    EntryHost,
    EntryState,
    RegionLoad,
)
from bronzepoint_schema.generated.scheduling import NoTarget
from tests.test_core_notices import StubPeers
from tests.test_placement_placer import Site, info, route

NO_ROOM = NoLocalTarget()
TO_B = RemotePlacement("b", "b1", "10.0.0.1:1", "")


def make_call(of_route=None):
    now = monotonic()
    head = CallerHead("id", "h", 5.0, None, None, {})
    of_route = of_route or route()
    return Call(None, head, of_route, b"", now, now + 5.0, False, None)


def find(site, call):
    """Place a call where the own region has no room."""
    return site.placer.decide(_placement_request(call), NO_ROOM, monotonic())


def two_hosts_of_b(site):
    for name in ("b1", "b2"):
        host = EntryHost(name, "b", "z", name, name, EntryState.ready, 0)
        site.registry.merge_entries([host])


class TestRefusedRegion(unittest.TestCase):
    def test_request_is_not_forwarded_again_to_a_region_that_refused_it(self):
        """Guards against requests that are forwarded four times to a full region, and
        then refused for good without having waited in their own queue."""
        site, call = Site(info("t1")), make_call()
        two_hosts_of_b(site)
        site.remote_loads(b=0)
        self.assertIsInstance(find(site, call), RemotePlacement)
        refusal = NotRun("region_refused", retry_after=1.5)
        _record_not_run(call, TO_B, refusal, site.placer.regions)
        placement = find(site, call)
        self.assertIsInstance(placement, Rejected)
        self.assertFalse(placement.final, "it may wait in the queue")

    def test_another_region_may_still_take_it(self):
        """Guards against one refusal that excludes all regions."""
        site, call = Site(info("t1")), make_call()
        site.remote_loads(b=0, c=0)
        call.refused_regions["b"] = monotonic() + 1.0
        self.assertEqual({find(site, call).region for _ in range(20)}, {"c"})

    @params(
        ({RAN_HEADER: "no"}, "region_refused"),
        ({RAN_HEADER: "no", HOST_REFUSED_HEADER: "yes"}, "host_refused"),
        ({RAN_HEADER: "no", BLOCKED_HEADER: "yes"}, "held"),
    )
    def test_refusal_of_one_host_is_not_one_of_its_region(self, headers, reason):
        """Guards against a region that gets nothing because one of its hosts lags."""
        self.assertEqual(_refusal_reason(headers), reason)

    @params(("host_refused", False), ("connect_failed", False))
    def test_other_hosts_of_the_region_are_tried(self, reason, timed_out):
        """Guards against a restarting host that excludes its whole region."""
        site, call = Site(info("t1")), make_call()
        two_hosts_of_b(site)
        site.remote_loads(b=0)
        call.tried_hosts.add("b1")
        outcome = NotRun(reason, timed_out=timed_out)
        _record_not_run(call, TO_B, outcome, site.placer.regions)
        self.assertEqual(find(site, call).host, "b2")


class TestUnreachedRegion(unittest.TestCase):
    @params(((), Rejected), (("b",), RemotePlacement))
    def test_second_host_is_tried_only_without_an_own_queue(self, homes, expected):
        """Guards against a connection timeout for each host of a region behind a cut
        link, and against a dead host that has a home-bound request refused."""
        site, call = Site(info("t1")), make_call(route(homes))
        two_hosts_of_b(site)
        site.remote_loads(b=0)
        call.tried_hosts.add("b1")
        outcome = NotRun("connect_failed", timed_out=True)
        _record_not_run(call, TO_B, outcome, site.placer.regions)
        self.assertIsInstance(find(site, call), expected)

    def test_region_is_skipped_for_all_requests_after_two_timeouts(self):
        """Guards against each request waiting for a connection to a cut-off region."""
        site = Site(info("t1"))
        two_hosts_of_b(site)
        regions, now = site.placer.regions, monotonic()
        regions.note_forwarded("b", "s", "0", now)
        site.remote_loads(b=0)
        regions.record_unreachable_host("b", "b8", True, now)
        self.assertIsInstance(find(site, make_call()), RemotePlacement)
        regions.record_unreachable_host("b", "b9", True, now)
        self.assertIsInstance(find(site, make_call()), Rejected)
        regions.reachability.record_contact("b", now)
        self.assertIsInstance(find(site, make_call()), RemotePlacement)


class TestReachability(unittest.TestCase):
    @params(
        # hosts and times of timeouts, skipped
        ([("h1", 0.0)], False),
        ([("h1", 0.0), ("h1", 0.1)], False),
        ([("h1", 0.0), ("h2", 0.1)], True),
        ([("h1", -TIMEOUT_WINDOW - 1.0), ("h2", 0.0)], False),
        ([("h1", -TIMEOUT_WINDOW - 1.0), ("h2", 0.0), ("h3", 0.1)], True),
    )
    def test_timeouts_that_exclude_a_region(self, timeouts, skipped):
        """Guards against a dead host that excludes its region, and against a cut that
        is never noticed."""
        known = RegionReachability()
        for host, at in timeouts:
            known.record_timeout("b", host, at)
        self.assertEqual(known.is_skipped("b", 0.2), skipped)

    def test_skipped_region_is_probed(self):
        """Guards against a region that is skipped for good after a short cut."""
        known = RegionReachability()
        for host in ("h1", "h2"):
            known.record_forward("b", 0.0)
            known.record_timeout("b", host, 0.5)
        self.assertFalse(known.may_forward("b", 1.0))
        self.assertTrue(known.may_forward("b", PROBE_INTERVAL + 0.1))
        known.record_forward("b", PROBE_INTERVAL + 0.1)
        self.assertFalse(known.may_forward("b", PROBE_INTERVAL + 0.2))
        known.record_contact("b", PROBE_INTERVAL + 0.3)
        self.assertTrue(known.may_forward("b", PROBE_INTERVAL + 0.4))

    def test_region_that_no_core_host_hears_is_skipped_by_all_hosts(self):
        """Guards against each host of a region finding out about a cut by itself, at
        two connection timeouts per host."""
        known = RegionReachability()
        known.record_silent_regions(["b"], 0.0)
        self.assertTrue(known.is_skipped("b", 0.1))
        self.assertFalse(known.is_skipped("c", 0.1))
        known.record_contact("b", 0.2)
        self.assertFalse(known.is_skipped("b", 0.3), "this host reaches it")
        self.assertTrue(known.is_skipped("b", 0.3 + CONTACT_VALIDITY))
        self.assertFalse(known.is_skipped("b", 0.1 + CORE_REPORT_VALIDITY))

    def test_region_that_is_heard_again_is_used_again(self):
        """Guards against an idle region after the end of a cut."""
        known = RegionReachability()
        for host in ("h1", "h2"):
            known.record_timeout("b", host, 0.0)
        known.record_silent_regions(["b"], 0.1)
        self.assertTrue(known.is_skipped("b", 0.2))
        known.record_silent_regions([], 0.3)
        self.assertFalse(known.is_skipped("b", 0.4))

    def test_core_host_names_regions_that_it_stopped_hearing(self):
        """Guards against a cut that is hidden by reports through a third region."""
        core_sync = CoreSync("a1", "a", None, None, StubPeers())
        hosts = [CoreHost("b1", "b", 0), CoreHost("c1", "c", 0), CoreHost("d1", "d", 0)]
        core_sync.registry.merge_core(hosts)
        now = monotonic()
        load = RegionLoad("b", "s", 64, 0, 0, 0)

        async def hear(peer):
            await core_sync._handle(peer, CoreNotice([], [load], [], []))

        for peer in ("b1", "c1"):
            with self.assertRaises(StopIteration):
                hear(peer).send(None)
        self.assertEqual(core_sync.silent_regions(), [])
        core_sync._heard_at["b"] = now - REGION_SILENCE - 0.1
        self.assertEqual(core_sync.silent_regions(), ["b"])


class TestRoomOfOtherRegions(unittest.TestCase):
    @params((63, RemotePlacement), (64, Rejected), (80, Rejected))
    def test_request_waits_in_its_own_queue_unless_a_slot_is_free(self, used, expected):
        """Guards against forwards to a region without a free slot, which are refused
        after a round trip."""
        site = Site(info("t1"))
        site.remote_loads(b=used)
        self.assertIsInstance(find(site, make_call()), expected)

    @params((8, 12, 40), (27, 12, 200), (27, 480, 200))
    def test_hosts_together_fill_the_room_once(self, hosts, free, asks):
        """Guards against all hosts of a region that use the same free slots, and
        against free slots that stay idle since each host's share of them is below one.
        """
        scheduler = OtherRegions("a", Registry(), ServiceEstimates(), random.Random(1))
        sites = [Site(info("t1")) for _ in range(hosts)]
        names = [f"a{number}" for number in range(hosts)]
        for site in sites:
            site.registry.note_size("a", len(names))
        load = RegionLoad("b", "s", 480, 480 - free, 0, 0)
        now = monotonic()
        forwarded = 0
        for ask in range(asks):
            site = sites[ask % hosts]
            counts = scheduler.expect_forward([load], "b", now)
            answer = NoTarget(ask, False, [load], forwarded=counts)
            site.registry.merge_loads([load])
            site.placer.regions.apply_scheduler_answer(answer, now)
            request = site.make_request()
            placement = site.placer.decide(request, NO_ROOM, now)
            if isinstance(placement, RemotePlacement):
                forwarded += 1
                site.placer.regions.note_forwarded("b", "s", str(ask), now)
        self.assertEqual(forwarded, min(free, asks))

    def test_request_that_stays_is_not_counted(self):
        """Guards against room that counts as used up by requests that may not go
        there, or that another region has forwarded here."""
        regions = OtherRegions("a", Registry(), ServiceEstimates(), random.Random(1))
        load, now = RegionLoad("b", "s", 12, 0, 0, 0), monotonic()
        for _ in range(12):
            regions.expect_forward([load], [], now)
        self.assertEqual(regions.expect_forward([load], "b", now), [0])

    def test_count_ends_with_the_next_report(self):
        """Guards against room that counts as used up for good."""
        regions = OtherRegions("a", Registry(), ServiceEstimates(), random.Random(1))
        load, now = RegionLoad("b", "s", 12, 0, 0, 0), monotonic()
        for _ in range(12):
            regions.expect_forward([load], "b", now)
        self.assertEqual(regions.expect_forward([load], "b", now), [12])
        later = now + REGION_RTT + 0.1
        self.assertEqual(regions.expect_forward([load], "b", later), [0])


class TestNoOwnQueue(unittest.TestCase):
    """Requests that their own region may not serve."""

    @params((0, RemotePlacement), (64, RemotePlacement), (96, Rejected))
    def test_home_bound_request_goes_to_a_full_home(self, used, expected):
        """Guards against home-bound requests that are refused as long as the queue of
        their home isn't empty, though they are more urgent than what waits there."""
        site = Site(info("t1"))
        site.remote_loads(b=used)
        placement = find(site, make_call(route(("b",))))
        self.assertIsInstance(placement, expected)
        if expected is RemotePlacement:
            self.assertEqual(placement.lease, NO_OWN_QUEUE)

    @params(("-2", True), ("7", True), ("0", False), ("", False), ("-1", False))
    def test_it_may_wait_in_the_region_that_it_is_forwarded_to(self, header, expected):
        """Guards against a refusal of what can wait nowhere else, and against a queue
        of requests that can."""
        call = make_call()
        call.forwarded = True
        call.lease = _parse_lease(header)
        rejected = Rejected(RejectReason.NO_ROOM, 1.0)
        self.assertEqual(_may_wait(call, rejected), expected)


class TestRetryAfter(unittest.TestCase):
    @params(
        # homes, seconds until room in the regions that refused it, longest wait named
        (("b",), {"b": 7.0}, 7.0),
        (("b", "c"), {"b": 7.0, "c": 5.0}, 5.0),
        ((), {"b": 0.25}, 0.25),
    )
    def test_refusal_names_the_first_region_with_room(self, homes, refused, expected):
        """Guards against a random time although another region has named it."""
        site, call = Site(info("t1")), make_call(route(homes))
        now = monotonic()
        call.refused_regions = {r: now + seconds for r, seconds in refused.items()}
        placement = find(site, call)
        self.assertIs(placement.reason, RejectReason.NO_ROOM)
        self.assertAlmostEqual(placement.retry_after, expected, delta=0.05)


if __name__ == "__main__":
    unittest.main()
