"""No stream is begun that can't end: how fast engines write, and what that decides."""

import unittest

from nose2.tools import params

from bronzepoint_node.fleet import EngineFacts, ServedService
from bronzepoint_node.placement import (
    AtHome,
    Elsewhere,
    Prompt,
    PromptPart,
    Rejected,
    RejectReason,
)
from bronzepoint_node.placement._pace import LEAST_EVENTS, MEMORY, Pace
from tests.test_placement_placer import Site, info

FACTS = EngineFacts(64, 4_000_000, event_tokens=7)
SERVICE = ServedService("s", "/h", 100, 3.0, 2.0, FACTS)
LEFT = 5.0
"""Seconds that the requests of `Site.ask` have left."""


def prompt(own, output, name="own"):
    return Prompt((PromptPart(name, own),), own, 2 * output, output)


def write(tracked, seconds_per_event, now):
    """Let an engine write so that its pace is known."""
    for _ in range(int(2 * LEAST_EVENTS)):
        tracked.pace.note(1, seconds_per_event, now)


class TestPace(unittest.TestCase):
    @params(
        ((), 0.0, 0.0),
        (((LEAST_EVENTS - 1, 1.0),), 0.0, 0.0),
        (((40, 4.0),), 0.0, 0.1),
        (((40, 4.0), (40, 12.0)), 0.0, 0.2),
        # long ago: nothing is known any more
        (((40, 4.0),), 3 * MEMORY, 0.0),
    )
    def test_mean_time_of_an_event(self, notes, later, expected):
        pace = Pace()
        for events, seconds in notes:
            pace.note(events, seconds, 10.0)
        self.assertAlmostEqual(pace.seconds_per_event(10.0 + later), expected)


class TestWhatIsBegun(unittest.TestCase):
    @params(
        # seconds an event, tokens of the answer, what is expected
        (0.05, 350, AtHome),
        (0.1, 350, AtHome),
        (0.5, 350, Rejected),
        (0.5, 35, AtHome),
    )
    def test_stream_that_would_outlast_its_deadline(self, pace, output, expected):
        """Symptom: 200 requests of a bad day end at their deadline with a stream that
        runs, and slow down all others until then.
        Sequence: a crowd of long prompts keeps engines reading; streams that are begun
        meanwhile write at a quarter of the usual pace.
        Cause: only slots and memory were looked at."""
        site = Site(info("t1"), service=SERVICE)
        write(site.table.get("t1"), pace, site.now)
        placed = site.place(prompt=prompt(100, output))
        self.assertIsInstance(placed, expected)
        if expected is Rejected:
            self.assertEqual(placed.reason, RejectReason.NO_TIME)

    @params(({"b": 0}, Elsewhere), ({}, Rejected))
    def test_another_region_may_be_in_time(self, away, expected):
        site = Site(info("t1"), service=SERVICE)
        site.away(**away)
        write(site.table.get("t1"), 0.5, site.now)
        self.assertIsInstance(site.place(prompt=prompt(100, 350)), expected)

    def test_faster_target_is_taken(self):
        site = Site(info("t1"), info("t2"), service=SERVICE)
        write(site.table.get("t1"), 0.5, site.now)
        chosen = {
            site.place(prompt=prompt(100, 350)).target.info.incarnation
            for _ in range(20)
        }
        self.assertEqual(chosen, {"t2"})

    def test_crowd_of_long_prompts_is_begun_as_far_as_it_ends(self):
        """Symptom: after a kill of everything, 119 callers come back in a quarter of a
        second; nearly all of their streams end at the deadline, unfinished.
        Sequence: all are sent to the engines at once, which then read for longer than
        any of them has left.
        Cause: what lies unread before a request was no reason not to begin it."""
        site = Site(info("t1"), service=SERVICE)
        tracked = site.table.get("t1")
        tracked.engine = EngineFacts(500, 4_000_000, event_tokens=7)
        outcomes = []
        for number in range(119):
            asked = prompt(12_000, 70, f"own-{number}")
            placed = site.place(prompt=asked)
            outcomes.append(type(placed))
            if isinstance(placed, AtHome):
                tracked.begin(f"r{number}", asked, 2, site.now)
        begun = outcomes.count(AtHome)
        rate = site.placer.speeds.rate("s").tokens_per_second
        self.assertGreater(begun, 5)
        self.assertLess(begun * 12_000 / rate, 2 * LEFT)
        self.assertEqual(outcomes[-1], Rejected)
