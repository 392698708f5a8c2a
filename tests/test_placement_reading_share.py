"""Bound on the time that targets spend on reading, so that their streams end."""

import unittest
from collections import deque

from nose2.tools import params

from bronzepoint_node.fleet import EngineProperties, ServedService
from bronzepoint_node.placement import (
    LocalPlacement,
    NoLocalTarget,
    Prompt,
    PromptPart,
)
from bronzepoint_node.placement._local_request import LocalPlacementRequest
from bronzepoint_node.placement._reading_share import (
    MIN_SHARE,
    TIME_CONSTANT,
    ReadingShare,
    StreamMix,
    deadline_factor,
    max_share,
)
from bronzepoint_schema.generated.target_loads import TargetLoad
from tests.test_placement_placer import Site, info

SLOTS = 48
RATE = 40_800.0
"""Prompt tokens that a target reads per second."""
STEP = 0.00585
"""Seconds of a decoding step in which nothing is read."""
EVENT_TOKENS = 6
CHUNK = 2048
SERVICE = ServedService(
    "s",
    "/h",
    100,
    engine=EngineProperties(SLOTS, 10_000_000, event_tokens=EVENT_TOKENS),
)
DRAFT = (628, 49, 15.285, 0.41)
SUMMARY = (2890, 9, 5.088, 1.02)
"""Tokens to read, events, seconds to the deadline, and seconds that it may wait in the
queue: half of its objective."""


class _Replay:
    """One target that gets drafts and summaries in the order of their arrival.

    It does what the engines do: one chunk in each step, and one token of each stream.
    """

    def __init__(self, is_bounded):
        self.is_bounded = is_bounded
        self.share, self.mix = ReadingShare(), StreamMix()
        self.now = self.event_seconds = 0.0
        self.unread, self.streams = deque(), []
        self.ended = {DRAFT: 0, SUMMARY: 0}
        self.lost = 0

    def may_start(self, kind, time_left):
        tokens, events, *_ = kind
        in_flight = len(self.unread) + len(self.streams)
        if in_flight >= SLOTS:
            return False
        before = sum(entry[0] for entry in self.unread) + tokens
        expected = before / RATE + events * self.event_seconds
        if not self.is_bounded:
            return expected < 1.6 * time_left
        if expected >= deadline_factor(in_flight, SLOTS, 1.6) * time_left:
            return False
        share, now = self.share, self.now
        return share.admits(tokens, in_flight, SLOTS, RATE, EVENT_TOKENS, self.mix, now)

    def start(self, kind, arrived, time_left):
        tokens, events, *_ = kind
        self.mix.note_granted(tokens, events, self.now)
        self.mix.note_pace(self.event_seconds, self.now)
        self.share.note_granted(tokens, events, time_left, self.now)
        self.unread.append([tokens, events * EVENT_TOKENS, kind, arrived])

    def step(self):
        chunk, begun = CHUNK, []
        while self.unread and chunk:
            read = min(chunk, self.unread[0][0])
            self.unread[0][0] -= read
            chunk -= read
            if not self.unread[0][0]:
                begun.append(self.unread.popleft())
        seconds = STEP + (CHUNK - chunk) / RATE
        self.now += seconds
        if self.streams:
            event_seconds = seconds * EVENT_TOKENS
            former = self.event_seconds or event_seconds
            self.event_seconds = 0.98 * former + 0.02 * event_seconds
        running = []
        for stream in self.streams:
            stream[1] -= 1
            _, left, kind, arrived = stream
            if not left:
                self.ended[kind] += 1
            elif self.now - arrived > kind[2]:
                self.lost += 1
            else:
                running.append(stream)
        self.streams = running + begun

    def run(self, seconds, rates):
        """Run with some requests per second of each kind."""
        queue, counts = deque(), dict.fromkeys(rates, 0)
        while self.now < seconds:
            for kind, rate in rates.items():
                while rate and counts[kind] < self.now * rate:
                    queue.append((kind, counts[kind] / rate))
                    counts[kind] += 1
            for kind, arrived in list(queue):
                waited = self.now - arrived
                if waited > kind[3]:
                    queue.remove((kind, arrived))
                elif self.may_start(kind, kind[2] - waited):
                    queue.remove((kind, arrived))
                    self.start(kind, arrived, kind[2] - waited)
            self.step()
        return self


class TestOverload(unittest.TestCase):
    @params((11, 13), (14, 14), (5, 25), (14, 30))
    def test_drafts_end_beside_many_summaries(self, drafts, summaries):
        """Guards against targets that only read and whose streams never end.

        All slots are occupied then, and each of the drafts takes as long as its
        deadline allows, or longer.
        """
        rates = {DRAFT: drafts, SUMMARY: summaries}
        former = _Replay(is_bounded=False).run(30, rates)
        bounded = _Replay(is_bounded=True).run(30, rates)
        self.assertGreater(bounded.ended[DRAFT], 2 * former.ended[DRAFT])
        events = [
            sum(kind[1] * n for kind, n in replay.ended.items())
            for replay in (former, bounded)
        ]
        self.assertGreater(events[1], 1.2 * events[0])
        self.assertEqual(bounded.lost, 0)

    @params(
        # Drafts and summaries per second.
        (4, 1.9),
        (11, 5),
        (30, 0),
        (0, 8),
    )
    def test_nothing_changes_below_the_limit_of_reading(self, drafts, summaries):
        """Guards against a bound that refuses prompts which a target could read."""
        rates = {DRAFT: drafts, SUMMARY: summaries}
        former = _Replay(is_bounded=False).run(20, rates)
        self.assertEqual(_Replay(is_bounded=True).run(20, rates).ended, former.ended)

    def test_summaries_alone_use_the_whole_target(self):
        """Guards against unused reading time when there is little to write."""
        former = _Replay(is_bounded=False).run(30, {SUMMARY: 30})
        bounded = _Replay(is_bounded=True).run(30, {SUMMARY: 30})
        self.assertGreater(bounded.ended[SUMMARY], 0.98 * former.ended[SUMMARY])


class TestBound(unittest.TestCase):
    @params(
        # Needed events per second, seconds per event, events for each token, share.
        (0.0, 0.0, 0.03, 1.0),
        (0.0, 0.035, 0.0, 1.0),
        (0.0, 0.035, 9 / 2890, 1.0),
        (0.0, 0.035, 36.3 / 1345, 0.59),
        (0.0, 0.035, 1.0, MIN_SHARE),
        # a deadline that even an idle target can't meet
        (100.0, 0.035, 0.003, MIN_SHARE),
        (10.0, 0.035, 0.003, 0.72),
    )
    def test_largest_share(self, needed, event_seconds, per_token, expected):
        share = max_share(needed, SLOTS, RATE, EVENT_TOKENS, event_seconds, per_token)
        self.assertAlmostEqual(share, expected, delta=0.01)

    @params(
        # Requests in progress, share of the time already taken, tokens, admitted.
        (10, 3.0, 2890, True),
        (SLOTS // 2, 3.0, 2890, True),
        (SLOTS - 1, 0.5, 2890, True),
        (SLOTS - 1, 0.5, 200_000, True),
        (SLOTS - 1, 0.7, 2890, False),
        (SLOTS - 1, 0.7, 628, True),
        (36, 0.7, 2890, True),
        (36, 0.9, 2890, False),
    )
    def test_only_long_prompts_at_busy_targets_are_bounded(
        self, in_flight, taken, tokens, expected
    ):
        """Guards against a bound at targets with free slots, or for short prompts."""
        share, mix = _shares(taken)
        admitted = share.admits(
            tokens, in_flight, SLOTS, RATE, EVENT_TOKENS, mix, 100.0
        )
        self.assertEqual(admitted, expected)

    def test_very_long_prompt_is_admitted_within_seconds(self):
        """Guards against a prompt that is longer than the share ever allows."""
        share, mix = _shares(0.7)
        share.note_granted(100_000, 9, 5.0, 100.0)
        args = (SLOTS - 1, SLOTS, RATE, EVENT_TOKENS, mix)
        self.assertFalse(share.admits(100_000, *args, 100.0))
        self.assertTrue(share.admits(100_000, *args, 100.0 + 3 * TIME_CONSTANT))

    @params((0, 1.6), (24, 1.6), (36, 1.3), (48, 1.0), (60, 1.0))
    def test_stream_that_ends_late_gets_no_slot_of_a_full_target(self, used, expected):
        """Guards against streams that hold a needed slot and are lost anyway."""
        self.assertAlmostEqual(deadline_factor(used, SLOTS, 1.6), expected)


class TestSelection(unittest.TestCase):
    def test_summary_goes_to_the_target_that_reads_less(self):
        site = _busy_site("t1", "t2", reading={"t1": 0.9, "t2": 0.1})
        chosen = {_place(site).target.info.incarnation for _ in range(5)}
        self.assertEqual(chosen, {"t2"})

    def test_summary_waits_where_all_targets_read_too_much(self):
        """Guards against a final refusal: the share is free again within a second."""
        site = _busy_site("t1", "t2", reading={"t1": 0.9, "t2": 0.9})
        found = _choose(site)
        self.assertEqual(found, NoLocalTarget())
        site.now += 2 * TIME_CONSTANT
        self.assertIsInstance(_choose(site), LocalPlacement)

    def test_resumed_stream_is_not_held_up(self):
        """Guards against a gap in a stream that goes on elsewhere after a crash."""
        site = _busy_site("t1", reading={"t1": 0.9})
        self.assertIsInstance(_choose(site), NoLocalTarget)
        version = site.table.get("t1").info.software_version = "v1"
        self.assertIsInstance(_choose(site, software_version=version), LocalPlacement)

    def test_prompts_of_other_hosts_count_once(self):
        """Guards against the same prompt counted again with each report."""
        site = Site(info("t1"), service=SERVICE)
        load = site.table.get("t1").load
        for number in range(5):
            report = TargetLoad("t1", 1, 10, [2890, 0, 0, 0], 2890, 0, number)
            load.apply_notice("a2", report, site.now)
        expected = 2890 / RATE / TIME_CONSTANT
        self.assertAlmostEqual(load.reading.current(RATE, site.now), expected)


def _shares(taken):
    """Return the state of a target whose bound is about 0.59 when full."""
    share, mix = ReadingShare(), StreamMix()
    mix.note_granted(1345, 36.3, 100.0)
    mix.note_pace(0.035, 100.0)
    share.note_granted(taken * RATE * TIME_CONSTANT, 0, 5.0, 100.0)
    return share, mix


def _busy_site(*targets, reading):
    """Return a site with full targets that have been given prompts to read."""
    site = Site(*map(info, targets), service=SERVICE)
    mix = site.placer.estimates.mix("s")
    mix.note_granted(134_500, 3630, site.now)
    mix.note_pace(0.035, site.now)
    rate = site.placer.estimates.rate("s").tokens_per_second
    for name in targets:
        load = site.table.get(name).load
        load.reading.note_granted(
            reading[name] * rate * TIME_CONSTANT, 9, 15.0, site.now
        )
        for number in range(SLOTS - 8):
            site.table.get(name).begin(f"r{number}", None, 0, site.now)
    return site


def _request(site, **options):
    tokens, events, *_ = SUMMARY
    own = PromptPart("own", tokens)
    prompt = Prompt((own,), tokens, 2 * events * 6, events * 6)
    request = site.placer.local_request(site.make_request(prompt=prompt))
    for name, value in options.items():
        setattr(request, name, value)
    return request


def _choose(site, **options):
    return site.placer.local_selector.choose(_request(site, **options), site.now)


def _place(site):
    found = _choose(site)
    assert isinstance(found, LocalPlacement)
    return found


class TestLongPrompts(unittest.TestCase):
    @params(
        # prompt tokens, expected output, long
        (826, 294, False),
        (2000, 294, False),
        (9190, 52, True),
        (9190, 2000, False),
        (1500, 10, True),
        (900, 1, False),
    )
    def test_urgent_drafts_are_not_held_up_by_their_size(self, tokens, output, long):
        """Guards against drafts of a longer prompt that wait while slots are idle."""
        prompt = Prompt((PromptPart("own", tokens),), tokens, output, output)
        request = LocalPlacementRequest("id", "s", prompt, 5.0, 0, 0.0, set())
        self.assertEqual(request.has_long_prompt, long)
