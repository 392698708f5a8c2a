"""Writing speed of engines: streams that would miss their deadline are not started."""

import unittest

from nose2.tools import params

from bronzepoint_node.fleet import EngineProperties, ServedService
from bronzepoint_node.placement import (
    LocalPlacement,
    Prompt,
    PromptPart,
    Rejected,
    RejectReason,
    RemotePlacement,
)
from bronzepoint_node.placement._pace import MIN_EVENTS, TIME_CONSTANT, Pace
from tests.test_placement_placer import Site, info

FACTS = EngineProperties(64, 4_000_000, event_tokens=7)
SERVICE = ServedService("s", "/h", 100, 3.0, 2.0, FACTS)
TIME_LEFT = 5.0
"""Seconds until the deadline of the requests of `Site.make_request`."""


def prompt(own, output, name="own"):
    return Prompt((PromptPart(name, own),), own, 2 * output, output)


def write(tracked, seconds_per_event, now):
    """Record events of an engine, so that its pace is known."""
    for _ in range(int(2 * MIN_EVENTS)):
        tracked.pace.note(1, seconds_per_event, now)


class TestPace(unittest.TestCase):
    @params(
        ((), 0.0, 0.0),
        (((MIN_EVENTS - 1, 1.0),), 0.0, 0.0),
        (((40, 4.0),), 0.0, 0.1),
        (((40, 4.0), (40, 12.0)), 0.0, 0.2),
        # the events are so old that the pace is unknown
        (((40, 4.0),), 3 * TIME_CONSTANT, 0.0),
    )
    def test_mean_time_of_an_event(self, notes, later, expected):
        pace = Pace()
        for events, seconds in notes:
            pace.note(events, seconds, 10.0)
        self.assertAlmostEqual(pace.seconds_per_event(10.0 + later), expected)


class TestDeadlineAdmission(unittest.TestCase):
    @params(
        # seconds per event, tokens of the answer, expected result
        (0.05, 350, LocalPlacement),
        (0.1, 350, LocalPlacement),
        (0.5, 350, Rejected),
        (0.5, 35, LocalPlacement),
    )
    def test_stream_that_would_outlast_its_deadline(self, pace, output, expected):
        """Guards against streams that end unfinished at their deadline.

        Many long prompts keep engines reading, and streams started meanwhile are
        written at a quarter of the usual speed. Until their deadline they slow down all
        others. It happens when only slots and memory are considered.
        """
        site = Site(info("t1"), service=SERVICE)
        write(site.table.get("t1"), pace, site.now)
        placed = site.place(prompt=prompt(100, output))
        self.assertIsInstance(placed, expected)
        if expected is Rejected:
            self.assertEqual(placed.reason, RejectReason.NO_TIME)

    @params(({"b": 0}, RemotePlacement), ({}, Rejected))
    def test_another_region_may_be_in_time(self, remote_loads, expected):
        site = Site(info("t1"), service=SERVICE)
        site.remote_loads(**remote_loads)
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

    def test_only_long_prompts_that_end_in_time_are_started(self):
        """Guards against streams that nearly all end unfinished at their deadline.

        This happens when 119 callers retry within a quarter of a second after all hosts
        were killed. The engines then read for longer than any request has left, unless
        the unread prompts ahead of a request are considered.
        """
        site = Site(info("t1"), service=SERVICE)
        tracked = site.table.get("t1")
        tracked.engine = EngineProperties(500, 4_000_000, event_tokens=7)
        outcomes = []
        for number in range(119):
            request_prompt = prompt(12_000, 70, f"own-{number}")
            placed = site.place(prompt=request_prompt)
            outcomes.append(type(placed))
            if isinstance(placed, LocalPlacement):
                tracked.begin(f"r{number}", request_prompt, 2, site.now)
        started = outcomes.count(LocalPlacement)
        rate = site.placer.estimates.rate("s").tokens_per_second
        self.assertGreater(started, 5)
        self.assertLess(started * 12_000 / rate, 2 * TIME_LEFT)
        self.assertEqual(outcomes[-1], Rejected)
