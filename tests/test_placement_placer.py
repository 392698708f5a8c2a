"""Home or away and at which target, from what one entry host knows."""

import math
import random
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.fleet import (
    EngineFacts,
    Registry,
    RouteKind,
    ServedRoute,
    ServedService,
    ServiceShare,
)
from bronzepoint_node.placement import (
    AtHome,
    ColdGate,
    Elsewhere,
    EngineReport,
    PlacementAsk,
    Placer,
    Prober,
    Prompt,
    PromptPart,
    Rejected,
    ReportOfOtherStart,
    ReportUnavailable,
    ReportUnreadable,
    TargetTable,
    is_silent,
)
from bronzepoint_node.placement._region_owner import weighted_owner
from bronzepoint_schema.generated.decisions import TryResult
from bronzepoint_schema.generated.fleet import (
    EntryHost,
    EntryState,
    RegionLoad,
    TargetInfo,
)

ENGINE = ServedService("s", "/h", 100, 3.0, 2.0, EngineFacts(64, 200_000))
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
            self.registry.hear_entries([host])
        self.update(targets, closed)
        self.placer = Placer(
            "a", self.table, self.registry, ColdGate("a1"), random.Random(1)
        )

    def update(self, targets, closed=(), age=0.0):
        services = {"s": self.service}
        self.table.update(list(targets), age, services, frozenset(closed), self.now)

    def away(self, **in_progress):
        for region, count in in_progress.items():
            self.registry.hear_loads([RegionLoad(region, "s", 64, count, 0, 0)])

    def ask(self, of_route=None, prompt=None, forwarded=False, tried=()):
        return PlacementAsk(
            "id", of_route or route(), prompt, forwarded, 5.0, set(tried), set(), 0
        )

    def place(self, *args, **options):
        return self.placer.place(self.ask(*args, **options), self.now)


class TestHomeOrAway(unittest.TestCase):
    @params(
        ([info("t1")], (), {"b": 0}, False, AtHome),
        # what may get no work
        ([info("t1", leaving=True)], (), {"b": 0}, False, Elsewhere),
        ([info("t1")], ("a-1",), {"b": 0}, False, Elsewhere),
        ([], (), {"b": 0}, False, Elsewhere),
        # another region is full, or none is known
        ([], (), {"b": 96}, False, Rejected),
        ([], (), {}, False, Rejected),
        # a forwarded request is never sent on
        ([], (), {"b": 0}, True, Rejected),
    )
    def test_where(self, targets, closed, away, forwarded, expected):
        site = Site(*targets, closed=closed)
        site.away(**away)
        self.assertIsInstance(site.place(forwarded=forwarded), expected)

    @params((("b",), "b"), (("c",), "c"), (("a", "c"), "c"))
    def test_home_bound_requests_go_only_where_they_may(self, homes, expected):
        site = Site()
        site.away(b=0, c=0)
        for _ in range(20):
            placement = site.place(route(homes))
            self.assertEqual(placement.region, expected)

    # Where all lag, one of them is better than a refusal.
    @params((False, {"b1"}), (True, {"b1", "b2"}))
    def test_forwards_go_to_hosts_that_keep_up(self, all_lag, expected):
        """Guards against requests that are sent to a host without a processor."""
        site = Site()
        site.away(b=0)
        for name, lags in (("b1", all_lag), ("b2", True)):
            host = EntryHost(name, "b", "z", name, name, EntryState.ready, 0, lags)
            site.registry.hear_entries([host])
        self.assertEqual({site.place().host for _ in range(40)}, expected)

    def test_home_bound_elsewhere_leaves_though_home_has_room(self):
        site = Site(info("t1"))
        site.away(b=0)
        self.assertEqual(site.place(route(("b",))).region, "b")

    def test_a_refusal_says_what_was_known(self):
        site = Site(info("t1"), closed=("a-1",))
        site.away(b=200)
        self.assertGreater(site.place().retry_after, 0)
        known = site.placer.known_room(site.ask(), site.now)
        for word in ("b 200/64", "closed ['a-1']"):
            self.assertIn(word, known)


class TestLongPrompts(unittest.TestCase):
    @params((0, math.inf, Elsewhere), (37_000, 6e5, AtHome), (37_000, 1e8, Elsewhere))
    def test_body_that_takes_long_on_a_narrow_link_stays(self, size, link, expected):
        """Symptom: nearly all answers that are late were sent to another region.
        Sequence: the own region would answer within its objective; a prompt of 37 KB
        leaves over a link of 5 Mbit/s, and comes in over another one.
        Cause: the time of the body wasn't counted, only the trip."""
        site = Site(info("t1"))
        site.away(b=0)
        site.placer.regions._link_bytes = link
        home = AtHome(site.table.get("t1"), "", 0.38)
        asked = site.ask()
        asked.body_bytes = size
        self.assertIsInstance(site.placer.decide(asked, home, site.now), expected)


class TestWhatWasSentAway(unittest.TestCase):
    @params((True, Elsewhere), (False, Rejected))
    def test_answered_requests_leave_room(self, answered, expected):
        """Symptom: with a region's targets closed, its calls of the plain service are
        refused while both other regions stand idle.
        Sequence: the other region's last word is 0.6 s old and says that nothing is in
        progress; ten calls were sent there since, and are answered.
        Cause: all that was sent since that word counted as in progress."""
        site = Site(info("t1"), service=PLAIN, closed=("a-1",))
        site.registry.hear_loads([RegionLoad("b", "s", 6, 0, 0, 600)])
        regions = site.placer.regions
        for number in range(10):
            regions.note_forwarded("b", "s", str(number), site.now)
            if answered:
                regions.note_returned("b", "s", str(number))
        self.assertIsInstance(site.place(), expected)


class TestTargets(unittest.TestCase):
    def test_replaced_target_gets_nothing_until_the_list_is_read_again(self):
        """Symptom: for a second every request is turned away with 421.
        Sequence: a target is started anew at its address; the list still names the
        former start; each request is sent there, and uses up a repeat.
        Cause: what the first rejection said was not kept."""
        site = Site(info("t1"), info("t2"))
        site.table.get("t1").replaced = True
        chosen = {site.place().target.info.incarnation for _ in range(20)}
        self.assertEqual(chosen, {"t2"})

    def test_silent_engine_is_left_while_another_answers(self):
        site = Site(info("t1"), info("t2"))
        silent = site.table.get("t1")
        silent.note_silent(site.now - 1.0)
        silent.note_silent(site.now - 0.5)
        silent.trial_at = site.now
        chosen = {site.place().target.info.incarnation for _ in range(20)}
        self.assertEqual(chosen, {"t2"})

    @params(False, True)
    def test_lone_silent_target_is_tried_once_a_second(self, away):
        """Symptom: requests for a plain service fail for seconds though another region
        serves it.
        Sequence: the only target of the region is lost; each request waits for a
        connection to it, and uses up the sends that it has.
        Cause: a silent target was used where the region has no other."""
        site = Site(info("t1"), service=PLAIN)
        if away:
            site.away(b=0)
        silent = site.table.get("t1")
        silent.note_silent(site.now - 1.0)
        silent.note_silent(site.now - 0.5)
        first = site.place()
        self.assertIsInstance(first, AtHome)
        silent.trial_at = site.now
        expected = Elsewhere if away else Rejected
        self.assertIsInstance(site.place(), expected)
        site.now += 1.1
        self.assertIsInstance(site.place(), AtHome)

    def test_any_answer_ends_the_silence(self):
        site = Site(info("t1"), service=PLAIN)
        target = site.table.get("t1")
        target.note_silent(site.now - 1.0)
        target.note_silent(site.now - 0.5)
        site.table.note_result(target, TryResult.answered, 0.1, site.now)
        self.assertFalse(is_silent(target, site.now))

    def test_engine_that_reads_a_long_prompt_is_left(self):
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
            if isinstance(placement, AtHome):
                site.placer.home._cold.note_sent("t1", site.now)
                sent += 1
        self.assertLessEqual(sent, 1 + seconds * 2.0 * 0.7)
        self.assertGreaterEqual(sent, min(most, 1))

    def test_reopened_data_center_counts_as_cold_until_a_later_list(self):
        """Symptom: cold targets crash right after an evacuation is taken back.
        Sequence: the data center is opened again; its targets were cold; the list
        that says so comes a second later.
        Cause: they were sent their whole load at once."""
        site = Site(info("t1"), closed=("a-1",))
        site.update([info("t1")], age=0.5)
        tracked = site.table.get("t1")
        self.assertGreater(tracked.cold_until, site.now + 3.0)
        site.now += 0.5
        site.update([info("t1")], age=0.7)  # read before the opening
        self.assertGreater(tracked.cold_until, site.now)
        site.now += 1.0
        site.update([info("t1")], age=0.2)
        self.assertLessEqual(tracked.cold_until, site.now)


class TestSharedParts(unittest.TestCase):
    def prompt_kept_by(self, region):
        weights = {"a": 64.0, "b": 64.0, "c": 64.0}
        for number in range(100):
            name = f"part{number}"
            if weighted_owner(name, weights) == region:
                parts = (PromptPart(name, 6000), PromptPart("own", 1000))
                return Prompt(parts, 7000, 50)
        raise AssertionError("no part of that region")

    @params(("a", None), ("b", "b"), ("c", "c"))
    def test_a_part_that_is_missing_at_home_is_read_where_it_is_kept(
        self, keeper, expected
    ):
        site = Site(info("t1"))
        site.away(b=0, c=0)
        placement = site.place(prompt=self.prompt_kept_by(keeper))
        self.assertEqual(getattr(placement, "region", None), expected)

    def test_a_part_that_is_cached_at_home_stays(self):
        site = Site(info("t1"))
        site.away(b=0, c=0)
        prompt = self.prompt_kept_by("b")
        site.table.get("t1").memory.note_used(prompt)
        self.assertIsInstance(site.place(prompt=prompt), AtHome)

    def test_a_busy_keeper_is_not_waited_for(self):
        site = Site(info("t1"))
        site.registry.hear_loads([RegionLoad("b", "s", 64, 10, 900, 0)])
        site.away(c=0)
        placement = site.place(prompt=self.prompt_kept_by("b"))
        self.assertIsInstance(placement, AtHome)


if __name__ == "__main__":
    unittest.main()


class TestProber(unittest.TestCase):
    @params(
        (ReportUnavailable("no answer"), 1, False),
        (ReportUnreadable("running: expected int"), 0, False),
        (ReportOfOtherStart("it was born at 6"), 0, True),
        (EngineReport(1, 0, 5, 10), 0, False),
    )
    def test_what_a_report_teaches(self, word, failed, replaced):
        """Symptom: an engine that answers gets nothing, or one that has started anew
        gets prompts whose parts it no longer keeps.
        Sequence: its report can't be read, or speaks of another start.
        Cause: every report that couldn't be taken counted as silence."""
        site = Site(info("t1"))

        asked = []

        async def read(address, incarnation):
            asked.append(incarnation)
            if len(asked) > 1:
                await again.set()
                await curio.sleep(60.0)
            if isinstance(word, Exception):
                raise word
            return word

        async def main():
            prober = Prober(site.table, read, lambda: 1)
            await prober.start()
            await again.wait()
            await prober.close()

        again = curio.Event()

        curio.run(main)
        tracked = site.table.get("t1")
        self.assertEqual((tracked.failed_reports, tracked.replaced), (failed, replaced))

    def test_new_start_under_the_same_id_begins_with_nothing(self):
        """Symptom: after a restart under its id a target looks busy and warm.
        Sequence: it has requests in progress and cached parts; it crashes, starts
        again and is listed under its id with another time of start.
        Cause: all that was known was kept by its id."""
        site = Site(info("t1~5"))
        prompt = Prompt((PromptPart("p", 500), PromptPart("o", 5)), 505, 5)
        tracked = site.table.get("t1~5")
        tracked.begin("r1", prompt, 0, site.now)
        tracked.note_silent(site.now)
        site.update([info("t1~9")])
        anew = site.table.get("t1~9")
        self.assertIsNone(site.table.get("t1~5"))
        self.assertEqual(anew.load.in_flight(site.now), 0)
        self.assertEqual(anew.memory.cached_tokens(prompt), 0)
        self.assertEqual(anew.failed_reports, 0)


class TestWhatOtherRegionsAreTold(unittest.TestCase):
    @params(
        ({}, 2),
        ({"cold_ms": 3000}, 1),
    )
    def test_cold_targets_are_no_room_for_others(self, changes, targets):
        """Symptom: hundreds of requests a second are forwarded to a region that
        refuses each of them, and come back late to hosts whose line they then join.
        Sequence: the region's engines come back cold; a cold one may be sent one
        request just now; it counts with its 64 slots.
        Cause: what may be sent to now was told as room."""
        site = Site(info("t1"), info("t2", **changes))
        (load,) = site.placer.region_loads(site.now)
        self.assertEqual(load.slots, 64 * targets)

    def test_silent_and_ejected_targets_are_no_room_for_others(self):
        site = Site(info("t1"), info("t2"), info("t3"), info("t4"))
        site.table.get("t1").told_silent = True
        site.table.get("t2").health.eject(site.now)
        (load,) = site.placer.region_loads(site.now)
        self.assertEqual(load.slots, 2 * 64)
