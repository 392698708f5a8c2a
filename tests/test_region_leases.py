"""Leases of free capacity between regions: decisions, failures, and a replayed peak."""

import heapq
import itertools
import random
import unittest
from collections import deque

import curio
from msgspec import structs
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.placement import (
    LeasedAsks,
    LeaseGrant,
    NoLocalTarget,
    RegionLeases,
    Rejected,
    RemotePlacement,
    ServiceRoom,
)
from bronzepoint_node.placement._engine_load import OwnRun
from bronzepoint_node.placement._forward_tally import ForwardTally
from bronzepoint_node.placement._room_borrower import BORROWER_BURST, RENEW_INTERVAL
from bronzepoint_node.placement._room_budget import LEASE_TIME
from bronzepoint_node.placement._room_lender import LEND_MARGIN, LENDER_BURST
from bronzepoint_node.relay._placement_search import LEASED_WAIT
from bronzepoint_schema.generated.fleet import RegionLoad
from bronzepoint_schema.generated.room_leases import RoomAsk, RoomLease, RoomReturn
from bronzepoint_schema.generated.scheduling import NoTarget, TargetAsk, TargetGrant
from tests._scheduling_region import SLOTS, Region
from tests.test_forwarding_discipline import find, make_call
from tests.test_placement_placer import Site, info, route

COST = 0.05
"""Target seconds of a request: 1.6 s in one of 32 slots."""
TARGETS = 10
RTT = 0.16


def room(used=0.0, waiting=0, capacity=TARGETS, cost=COST):
    return ServiceRoom(capacity, used, waiting, cost, SLOTS)


FULL = room(used=TARGETS, waiting=400)
IDLE = room(used=0.17 * TARGETS)


def load(region, in_progress):
    return RegionLoad(region, "s", TARGETS * SLOTS, in_progress, 0, 0)


class Pair:
    """The schedulers of a busy region ``a`` and of an idle region ``b``."""

    def __init__(self):
        self.a = RegionLeases("a", 1000)
        self.b = RegionLeases("b", 9000)
        self.now = 100.0
        # The schedulers have run for a while, and know all leases of their regions.
        for leases in (self.a, self.b):
            leases.note_arrival("s", self.now - 10.0)

    def ask(self, room=FULL):
        """Return the message that ``a`` sends to ``b`` now; None if none is due."""
        loads = [load("a", 0), load("b", 54)]
        planned = self.a.plan("s", room, loads, [], self.now)
        return planned[0][1] if planned else None

    def borrow(self, room=IDLE):
        """Ask, and deliver ask and answer at once."""
        answer = self.b.answer(self.ask(), room, self.now)
        self.a.borrower.apply(answer, self.now)
        return answer

    def held(self):
        return self.a.borrower.held("s", self.now).get("b", 0)

    def lent(self):
        return self.b.lender.lent("s", self.now).get("a", 0)

    def assign(self):
        regions = ["b"]
        return self.a.borrower.assign("s", regions, 5.0, 100, COST, self.now)


class TestDecisions(unittest.TestCase):
    def test_idle_region_leases_what_its_own_demand_leaves(self):
        pair = Pair()
        granted = pair.borrow().granted_permille
        self.assertGreater(granted, 0)
        self.assertEqual(pair.held(), granted)
        self.assertEqual(pair.lent(), granted)
        most = round(1000 * TARGETS * (1 - LEND_MARGIN - 0.17))
        self.assertLessEqual(granted, most)

    @params(0.5, 0.84, 0.9, 1.0, 2.0)
    def test_what_is_lent_and_needed_never_exceeds_the_room(self, load_of_lender):
        """Guards against a region that lends to several others what it needs itself, or
        the same room twice."""
        leases = RegionLeases("b", 1)
        leases.note_arrival("s", 0.0)
        needed = load_of_lender * TARGETS
        lender_room = room(used=needed)
        now = 100.0
        for turn, number in itertools.product((1, 2, 3), range(12)):
            ask = RoomAsk(f"r{number}", "s", number, turn, 4000)
            leases.answer(ask, lender_room, now)
            lent = sum(leases.lender.lent("s", now).values()) / 1000
            if lent:
                self.assertLessEqual(lent + needed, TARGETS * (1 - LEND_MARGIN) + 1e-9)
            now += 0.05
        if load_of_lender < 0.8:
            self.assertGreater(lent, 0)

    def test_rise_of_the_own_demand_takes_room_back_with_the_next_renewal(self):
        """Guards against own requests that are refused while others use the room."""
        pair = Pair()
        pair.borrow()
        pair.now += RENEW_INTERVAL
        pair.borrow(room(used=0.95 * TARGETS))
        self.assertEqual((pair.held(), pair.lent()), (0, 0))

    def test_region_that_lacks_nothing_asks_for_nothing(self):
        pair = Pair()
        self.assertIsNone(pair.ask(room(used=0.5 * TARGETS)))

    def test_leases_are_returned_after_the_peak(self):
        """Guards against an idle region that keeps room of others."""
        pair = Pair()
        pair.borrow()
        pair.now += LEASE_TIME
        message = pair.ask(room(used=0.1 * TARGETS))
        self.assertIsInstance(message, RoomReturn)
        pair.b.lender.take_back(message.number, pair.now)
        self.assertEqual((pair.held(), pair.lent()), (0, 0))

    def test_requests_under_a_lease_are_bounded_by_its_rate(self):
        """Guards against more crossing requests than the far region keeps room for."""
        pair = Pair()
        granted = pair.borrow().granted_permille / 1000
        crossed = 0
        for _ in range(1000):
            crossed += pair.assign() is not None
            pair.now += 0.001
        self.assertLessEqual(crossed * COST, granted * (1.0 + BORROWER_BURST) + COST)
        self.assertGreater(crossed * COST, granted)

    def test_lender_admits_no_more_than_it_has_leased(self):
        """Guards against a borrower that sends more than it was granted."""
        pair = Pair()
        lease = pair.borrow()
        granted = lease.granted_permille / 1000
        admitted = 0
        for _ in range(1000):
            if pair.b.admits(lease.number, pair.now):
                pair.b.lender.charge(lease.number, COST, pair.now)
                admitted += 1
            pair.now += 0.001
        self.assertLessEqual(admitted * COST, granted * (1.0 + LENDER_BURST) + COST)

    def test_requests_with_time_and_short_prompts_cross_first(self):
        """Guards against leases that are used up by requests that are late after the
        trip."""
        pair = Pair()
        pair.borrow()
        crossed = {"draft": 0, "summary": 0}
        kinds = {"draft": (15.0, 826), "summary": (5.0, 9190)}
        for number in range(5000):
            if number == 2500:
                # The rate of the requests is known after a second.
                crossed = dict.fromkeys(crossed, 0)
            kind = "draft" if number % 2 else "summary"
            left, tokens = kinds[kind]
            found = pair.a.borrower.assign("s", ["b"], left, tokens, COST, pair.now)
            crossed[kind] += found is not None
            pair.now += 0.0004
        self.assertGreater(crossed["draft"], 0)
        self.assertEqual(crossed["summary"], 0)


class TestNoPingPong(unittest.TestCase):
    def test_two_full_regions_lend_each_other_nothing(self):
        """Guards against full regions that exchange their requests."""
        pair = Pair()
        pair.ask()
        loads = [load("a", 0), load("b", 54)]
        planned = pair.b.plan("s", FULL, loads, [], pair.now)
        answer = pair.a.answer(planned[0][1], IDLE, pair.now)
        self.assertEqual(answer.granted_permille, 0)

    def test_lender_does_not_borrow_until_a_lease_time_after_its_lease(self):
        """Guards against a region that forwards what it has room for."""
        pair = Pair()
        pair.borrow()
        loads = [load("a", 0), load("c", 0)]
        for seconds, asks in ((0.1, 0), (2 * LEASE_TIME - 0.2, 0), (0.2, 2)):
            pair.now += seconds
            planned = pair.b.plan("s", FULL, loads, [], pair.now)
            self.assertEqual(len(planned), asks, pair.now)

    def test_borrower_does_not_lend_until_a_lease_time_after_its_lease(self):
        """Guards against a region that lends room while its own requests cross."""
        pair = Pair()
        pair.borrow()
        ask = RoomAsk("c", "s", 5, 1, 2000)
        for seconds, lends in (
            (0.1, False),
            (2 * LEASE_TIME - 0.2, False),
            (0.2, True),
        ):
            pair.now += seconds
            granted = pair.a.answer(ask, IDLE, pair.now).granted_permille
            self.assertEqual(granted > 0, lends, pair.now)

    def test_region_that_lends_keeps_its_own_requests(self):
        """Guards against two lenders that exchange requests by their load reports."""
        pair = Pair()
        pair.borrow()
        answer = NoTarget(1, False)
        ask = TargetAsk(1, "s", "id", [], 100, 10, 0, 0, 5000, 0, 0, [])
        LeasedAsks(pair.b, lambda service: COST, Metrics()).complete(
            ask, answer, pair.now
        )
        self.assertTrue(answer.lends)
        site = Site(info("t1"))
        site.remote_loads(b=0)
        found = NoLocalTarget(lends=answer.lends)
        placement = site.placer.decide(site.make_request(), found, site.now)
        self.assertIsInstance(placement, Rejected)
        self.assertFalse(placement.final)

    def test_request_that_has_crossed_gets_no_lease(self):
        """Guards against a request that crosses between regions twice."""
        site = Site(info("t1"))
        site.remote_loads(b=0, c=0)
        regions = site.placer.regions
        for forwarded, expected in ((False, ["b", "c"]), (True, [])):
            request = site.make_request(forwarded=forwarded)
            found = regions.lease_regions(request, "s", site.now)
            self.assertEqual(found, expected)
        request = site.make_request(forwarded=True)
        found = NoLocalTarget(lease=LeaseGrant("b", 7))
        self.assertIsInstance(site.placer.decide(request, found, site.now), Rejected)


class TestFailures(unittest.TestCase):
    def test_link_cut_during_a_lease(self):
        """Guards against requests that are sent over a cut link under a lease, and
        against room that stays reserved for a region that can't be reached."""
        pair = Pair()
        pair.borrow()
        for _ in range(5):
            pair.now += RENEW_INTERVAL
            pair.ask()  # lost
        self.assertEqual((pair.held(), pair.lent()), (0, 0))
        self.assertIsNone(pair.assign())
        self.assertEqual(pair.b.lender.unused("s", pair.now), 0.0)

    def test_region_that_is_not_heard_is_asked_for_nothing(self):
        """Guards against asks for room that a cut region can't lend."""
        pair = Pair()
        loads = [load("b", 54), load("c", 54)]
        planned = pair.a.plan("s", FULL, loads, ["b"], pair.now)
        self.assertEqual([region for region, _ in planned], ["c"])

    def test_successor_of_the_lender_honours_leases_that_borrowers_name(self):
        """Guards against leased requests that are refused after a change of scheduler,
        and against a successor that lends the same room again."""
        pair = Pair()
        lease = pair.borrow()
        pair.b = RegionLeases("b", 77)
        pair.b.note_arrival("s", pair.now)
        self.assertTrue(pair.b.admits(lease.number, pair.now), "not known yet")
        pair.now += RENEW_INTERVAL
        ask = pair.ask()
        self.assertEqual(ask.held_permille, lease.granted_permille)
        # The region needs its targets itself by now, but the lease holds to its end.
        for turn in (ask.turn, ask.turn + 1):
            named = structs.replace(ask, turn=turn)
            answer = pair.b.answer(named, room(used=0.9 * TARGETS), pair.now)
            self.assertEqual(answer.granted_permille, lease.granted_permille)
            self.assertEqual(answer.valid_ms, ask.held_ms)
        self.assertEqual(pair.lent(), lease.granted_permille)
        another = RoomAsk("c", "s", 5, 1, 8000)
        self.assertEqual(pair.b.answer(another, IDLE, pair.now).granted_permille, 0)
        pair.now += LEASE_TIME - RENEW_INTERVAL
        self.assertEqual(pair.lent(), 0)
        self.assertFalse(pair.b.admits(lease.number, pair.now))

    def test_successor_of_the_lender_renews_the_lease(self):
        """Guards against a pause of the crossing requests after a change."""
        pair = Pair()
        first = pair.borrow()
        pair.b = RegionLeases("b", 77)
        pair.now += RENEW_INTERVAL
        renewed = pair.borrow()
        self.assertEqual(renewed.number, first.number)
        self.assertGreater(renewed.granted_permille, 0)

    def test_hosts_fall_back_to_summaries_without_their_scheduler(self):
        """Guards against requests that wait for a lease of a lost scheduler."""
        site = Site(info("t1"))
        site.remote_loads(b=0)
        placement = find(site, make_call())
        self.assertIsInstance(placement, RemotePlacement)
        self.assertEqual(placement.lease, 0)

    def test_successor_of_the_borrower_uses_no_lease_of_its_predecessor(self):
        """Guards against two schedulers that use one lease, and against room that
        stays reserved for a lost one."""
        pair = Pair()
        former = pair.borrow()
        pair.a = RegionLeases("a", 5000)
        pair.a.note_arrival("s", pair.now - 10.0)
        self.assertIsNone(pair.assign())
        pair.now += LEASE_TIME
        self.assertEqual(pair.lent(), 0)
        self.assertNotEqual(pair.borrow().number, former.number)
        self.assertGreater(pair.held(), 0)

    @params((0.0, LEASE_TIME), (1.5, LEASE_TIME - 1.5), (LEASE_TIME, 0.0), (5.0, 0.0))
    def test_validity_counts_from_when_the_lease_was_asked_for(self, delay, valid):
        """Guards against a lease that arrives late and is used when its room has been
        lent to another region."""
        pair = Pair()
        asked_at = pair.now
        answer = pair.b.answer(pair.ask(), IDLE, pair.now)
        pair.now += delay
        pair.a.borrower.apply(answer, pair.now)
        self.assertEqual(pair.held() > 0, valid > 0)
        pair.now = asked_at + LEASE_TIME - 0.01
        if valid:
            self.assertGreater(pair.held(), 0)
        pair.now = asked_at + LEASE_TIME
        self.assertEqual(pair.held(), 0)

    def test_delayed_messages_do_not_undo_later_ones(self):
        """Guards against an old ask or an old answer that changes a renewed lease."""
        pair = Pair()
        early_ask = pair.ask()
        early_answer = pair.b.answer(early_ask, IDLE, pair.now)
        pair.now += RENEW_INTERVAL
        granted = pair.borrow().granted_permille
        self.assertIsNone(pair.b.answer(early_ask, FULL, pair.now))
        refused = RoomLease(early_answer.number, early_answer.turn, 0, 0)
        pair.a.borrower.apply(refused, pair.now)
        self.assertEqual((pair.held(), pair.lent()), (granted, granted))

    def test_answer_of_a_scheduler_without_room_does_not_end_the_lease(self):
        """Guards against two schedulers of one region that answer the same ask."""
        pair = Pair()
        ask = pair.ask()
        answer = pair.b.answer(ask, IDLE, pair.now)
        pair.a.borrower.apply(answer, pair.now)
        pair.a.borrower.apply(RoomLease(ask.number, ask.turn, 0, 0), pair.now)
        self.assertEqual(pair.held(), answer.granted_permille)

    def test_old_schedulers_that_return_use_and_admit_nothing(self):
        """Guards against a scheduler that goes on with its leases after a freeze."""
        pair = Pair()
        lease = pair.borrow()
        pair.now += 10.0
        self.assertIsNone(pair.assign())
        self.assertFalse(pair.b.admits(lease.number, pair.now))
        self.assertEqual(pair.b.lender.unused("s", pair.now), 0.0)


class TestAsks(unittest.TestCase):
    def ask(self, wait_ms=0, lease=0, regions=()):
        return TargetAsk(
            1, "s", "id", [], 100, 10, 0, 0, 5000, 0, wait_ms, [],
            lease=lease, lease_regions=list(regions),
        )  # fmt: skip

    def asks_of(self, leases):
        self.metrics = Metrics()
        return LeasedAsks(leases, lambda service: COST, self.metrics)

    def test_ask_without_room_gets_a_lease(self):
        pair = Pair()
        number = pair.borrow().number
        asks = self.asks_of(pair.a)
        answer = NoTarget(1, False)
        asks.complete(self.ask(regions=["b"]), answer, pair.now)
        self.assertEqual((answer.lease_region, answer.lease), ("b", number))
        self.assertEqual(self.metrics.counters(), {"lease.assigned": 1})

    @params(((), None), (("c",), None))
    def test_request_that_may_not_go_there_gets_no_lease(self, regions, expected):
        """Guards against a lease that takes a request out of its home regions."""
        pair = Pair()
        pair.borrow()
        answer = NoTarget(1, False)
        self.asks_of(pair.a).complete(self.ask(regions=regions), answer, pair.now)
        self.assertEqual(answer.lease, 0)

    def test_grant_is_charged_to_the_lease(self):
        pair = Pair()
        number = pair.borrow().number
        grant = TargetGrant(1, "t", "", 0, 0, 0, "", 0)
        self.asks_of(pair.b).complete(self.ask(lease=number), grant, pair.now)
        self.assertAlmostEqual(pair.b.lender.used("s", pair.now), COST)

    @params((0, True), (-1, False), (-2, True), (7, False))
    def test_only_known_leases_let_other_regions_queue(self, number, expected):
        """Guards against requests of other regions that take places in the queue."""
        pair = Pair()
        asks = self.asks_of(pair.b)
        ask = self.ask(wait_ms=100, lease=number)
        self.assertEqual(asks.may_wait(ask, pair.now), expected)


class TestPlacement(unittest.TestCase):
    def test_request_is_forwarded_under_its_lease(self):
        """Guards against a lease that isn't used, as the region's report shows no room
        beside what it has leased."""
        site = Site(info("t1"))
        site.remote_loads(b=64)
        found = NoLocalTarget(lease=LeaseGrant("b", 7))
        placement = site.placer.decide(site.make_request(), found, site.now)
        self.assertEqual((placement.region, placement.lease), ("b", 7))

    @params((("a", "c"), set()), ((), {"b"}))
    def test_lease_does_not_override_homes_and_refusals(self, homes, refused):
        """Guards against a lease that sends a request where it must not go."""
        site = Site(info("t1"))
        site.remote_loads(b=64)
        request = site.make_request(route(homes))
        request.refused_regions = dict.fromkeys(refused, site.now)
        found = NoLocalTarget(lease=LeaseGrant("b", 7))
        placement = site.placer.decide(request, found, site.now)
        self.assertIsInstance(placement, Rejected)


class TestOverMessages(unittest.TestCase):
    """Scheduler and hosts of one region, with their messages."""

    def run_region(self, test):
        async def main():
            async with Region(8, 1, core=("c1",)) as region:
                await curio.sleep(0.3)
                core = region.core["c1"]
                for target in core.table.all():
                    for number in range(SLOTS):
                        target.load.begin(f"r{number}", _long_run())
                return await test(region, core)

        return curio.run(main)

    def test_host_gets_the_lease_with_the_answer(self):
        """Guards against leases that the scheduler holds and hosts never see."""

        async def test(region, core):
            leases = core.scheduler._answers._leased_asks._leases
            now = monotonic()
            (_, ask), *_ = leases.plan("s", FULL, [load("x", 0)], [], now)
            lease = RoomLease(ask.number, ask.turn, 2000, 2000)
            leases.borrower.apply(lease, monotonic())
            host = next(iter(region.hosts.values()))
            request = host.make_request()
            request.lease_regions = ["x"]
            return ask.number, await host.client.find(request, 0.0)

        number, found = self.run_region(test)
        self.assertEqual(found.lease, LeaseGrant("x", number))

    @params((True, 1.0), (False, 0.0))
    def test_request_waits_in_the_far_region_only_under_a_lease(self, leased, waits):
        """Guards against a refusal of a leased request for a slot that is free a moment
        later, and against a queue of requests that have no lease."""

        async def test(region, core):
            leases = core.scheduler._answers._leased_asks._leases
            leases._started_at = monotonic() - 10.0
            if leased:
                leases.answer(RoomAsk("x", "s", 5, 1, 2000), IDLE, monotonic())
            for host in region.hosts.values():
                host.placer.estimates.times("s").hold = 0.01
            core.scheduler._placer.estimates.times("s").hold = 0.01
            host = next(iter(region.hosts.values()))
            request = host.make_request()
            request.lease = 5
            began = monotonic()
            await host.client.find(request, 0.2)
            return monotonic() - began

        waited = self.run_region(test)
        if waits:
            self.assertGreater(waited, 0.15)
        else:
            self.assertLess(waited, 0.15)


def _long_run():
    return OwnRun(100, 0, 0, monotonic(), started=True)


HOLD = 1.6
"""Mean seconds for which a request holds a slot in the replay."""
STEP = 0.01
"""Seconds of one step of the replay."""
REPORT_STEPS = 10
"""Steps between two load reports and between two plans."""
DELAY_STEPS = 8
"""Steps that a message or a request takes to another region."""
MAX_WAIT = 0.5
"""Seconds for which a request waits in its own region."""
FORMER_LOAD_FACTOR = 1.5
"""Requests per slot up to which regions got requests by the former decision."""
HOSTS = 27
"""Entry hosts of a region."""


class ReplayedRegion:
    """One region of the replay: its slots, its queue and its leases."""

    def __init__(self, name, rate):
        self.name = name
        self.rate = rate
        self.rng = random.Random(name)
        self.owed = 0.0
        self.ends = []
        self.queue = []
        self.leases = RegionLeases(name, sum(map(ord, name)) * 1000)
        self.reports = {}
        self.sent = [deque(maxlen=50) for _ in range(HOSTS)]
        self.tally = ForwardTally(name)

    @property
    def free(self):
        return TARGETS * SLOTS - len(self.ends)

    def start(self, now):
        heapq.heappush(self.ends, now + HOLD * self.rng.uniform(0.5, 1.5))

    def room(self):
        used = len(self.ends) / SLOTS
        return ServiceRoom(TARGETS, used, len(self.queue), HOLD / SLOTS, SLOTS)


class Replay:
    """A peak of one region beside others, with the former or the new decision."""

    def __init__(self, rates, is_new, cut=()):
        self.rng = random.Random(3)
        self.is_new = is_new
        self.cut = set(cut)
        capacity = TARGETS * SLOTS / HOLD
        self.regions = {n: ReplayedRegion(n, r * capacity) for n, r in rates.items()}
        self.messages = []
        self.order = itertools.count()
        self.served = self.refused = self.forwards = self.useless = 0
        self.crossings = {}
        self.directions = set()

    def run(self, seconds):
        for step in range(int(seconds / STEP)):
            now = 100.0 + step * STEP
            while self.messages and self.messages[0][0] <= step:
                heapq.heappop(self.messages)[2](step, now)
            for region in self.regions.values():
                while region.ends and region.ends[0] <= now:
                    heapq.heappop(region.ends)
                if step % REPORT_STEPS == 0:
                    self.report(region, step, now)
                self.serve_queue(region, step, now)
                region.owed += region.rate * STEP
                while region.owed >= 1:
                    region.owed -= 1
                    self.arrive(region, next(self.order), now, step)
        return self

    def post(self, step, action, delay=DELAY_STEPS):
        heapq.heappush(self.messages, (step + delay, next(self.order), action))

    def report(self, region, step, now):
        report = load(region.name, len(region.ends))
        if self.is_new:
            report = region.leases.reported_load(report, region.room(), now)
        for other in self.regions.values():
            if other is not region and {other.name, region.name} != self.cut:

                def deliver(step, _now, other=other):
                    other.reports[region.name] = (report, now)

                self.post(step, deliver)
        if not self.is_new:
            return
        loads = [found for found, _ in region.reports.values()]
        planned = region.leases.plan("s", region.room(), loads, [], now)
        for name, message in planned:
            if {name, region.name} == self.cut:
                continue

            def ask(step, now, lender=self.regions[name], message=message):
                if isinstance(message, RoomReturn):
                    lender.leases.lender.take_back(message.number, now)
                    return
                answer = lender.leases.answer(message, lender.room(), now)
                if answer is not None:
                    self.post(
                        step,
                        lambda step, now: region.leases.borrower.apply(answer, now),
                    )

            self.post(step, ask)

    def arrive(self, region, request, now, step):
        region.leases.note_arrival("s", now)
        self.place(region, request, set(), now, now, step)

    def place(self, region, request, refused, arrived, now, step):
        """Start, forward or queue a request of a region."""
        if region.free > 0 and not region.queue:
            region.start(now)
            self.served += 1
            return
        target, lease = self.choose(region, request, refused, now)
        if target is None:
            region.queue.append((arrived, request, refused))
            return
        self.forwards += 1
        self.directions.add((region.name, target.name))
        self.crossings.setdefault(request, []).append(target.name)

        latest = step + DELAY_STEPS + LEASED_WAIT / STEP

        def receive(step, now):
            admitted = lease and target.leases.admits(lease, now)
            if target.free > 0:
                target.start(now)
                self.served += 1
                if not admitted:
                    cost = HOLD / SLOTS
                    target.leases.lender.note_unleased("s", cost, now)
                else:
                    target.leases.lender.charge(lease, HOLD / SLOTS, now)
                return
            if admitted and step < latest:
                self.post(step, receive, 1)
                return
            self.useless += 1
            refused.add(target.name)
            again = lambda step, now: self.place(  # noqa: E731
                region, request, refused, arrived, now, step
            )
            self.post(step, again)

        self.post(step, receive)

    def choose(self, region, request, refused, now):
        """Return the region to forward to and the lease; (None, 0) to wait."""
        names = [n for n in self.regions if n not in refused | {region.name}]
        if self.is_new and region.leases.lender.lent("s", now):
            return None, 0
        if self.is_new:
            cost = HOLD / SLOTS
            found = region.leases.borrower.assign("s", names, 5.0, 100, cost, now)
            if found is not None:
                return self.regions[found.region], found.number
        reports = [report for report, _ in region.reports.values()]
        windows = [now - at + RTT for _, at in region.reports.values()]
        if self.is_new:
            sent = region.tally.expect_forward(reports, windows, names, now)
        else:
            own = region.sent[request % HOSTS]
            sent = [
                HOSTS * sum(at > now - window for name, at in own if name == r.region)
                for r, window in zip(reports, windows, strict=True)
            ]
            if len(self.crossings.get(request, ())) > 3:
                return None, 0
        free = {
            r.region: left
            for r, count in zip(reports, sent, strict=True)
            if (left := self.free_slots(region, r, reports, count)) > 0
            and (r.region in names or not self.is_new)
        }
        if not free:
            return None, 0
        name = self.rng.choices(list(free), list(free.values()))[0]
        region.sent[request % HOSTS].append((name, now))
        return self.regions[name], 0

    def free_slots(self, region, report, reports, sent):
        if self.is_new:
            return region.tally.free_slots(report, reports, sent)
        return FORMER_LOAD_FACTOR * report.slots - report.in_progress - sent

    def serve_queue(self, region, step, now):
        waiting, region.queue = region.queue, []
        for arrived, request, refused in waiting:
            if region.free > 0:
                region.start(now)
                self.served += 1
            elif now - arrived > MAX_WAIT:
                self.refused += 1
            else:
                region.queue.append((arrived, request, refused))


class TestReplayedPeak(unittest.TestCase):
    """The former decision, whose useless forwards cost nothing here, may serve at most
    a fiftieth more: a lender keeps some of its room."""

    @params(
        # load of each region by its capacity, part of the forwards that may be useless;
        # 2.8 and 0.17 are the peak and the low of the two deployments
        ({"a": 2.8, "b": 0.17, "c": 0.17}, 0.03),
        ({"a": 2.8, "b": 0.17, "c": 0.9}, 0.03),
        ({"a": 1.6, "b": 0.17, "c": 0.17}, 0.03),
        ({"a": 1.6, "b": 1.6, "c": 0.17}, 0.03),
    )
    def test_peak_beside_idle_regions(self, rates, most_useless):
        """Guards against useless forwards, and against fewer answers than without
        leases."""
        former = Replay(rates, is_new=False).run(12.0)
        new = Replay(rates, is_new=True).run(12.0)
        shown = [(r.served, r.refused, r.forwards, r.useless) for r in (former, new)]
        self.assertGreaterEqual(new.served, 0.98 * former.served, shown)
        self.assertLessEqual(new.useless, most_useless * new.forwards, shown)
        # Each request goes to at most one host of each region, and never back.
        for request, names in new.crossings.items():
            self.assertEqual(len(names), len(set(names)), request)

    def test_no_requests_are_exchanged(self):
        """Guards against two regions that forward to each other."""
        rates = {"a": 2.8, "b": 0.17, "c": 0.17}
        new = Replay(rates, is_new=True).run(12.0)
        exchanged = [d for d in new.directions if d[::-1] in new.directions]
        self.assertEqual(exchanged, [], new.directions)


if __name__ == "__main__":
    unittest.main()
