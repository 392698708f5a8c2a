"""Shared parts of prompts are copied from the target that keeps them."""

import unittest

from nose2.tools import params

from bronzepoint_node.fleet import EngineFacts, ServedService
from bronzepoint_node.placement import AtHome, Elsewhere, Prompt, PromptPart
from bronzepoint_node.placement._fetch_source import LEAST_TOKENS, fetch_source
from bronzepoint_node.placement._region_owner import weighted_owner
from tests.test_placement_placer import Site, info

RATE = 80_000.0
"""Tokens that an engine reads in a second."""
FAST, SLOW = 1e-6, 1e-4
"""Seconds to copy a token over a fast and over a slow link."""


def prompt(shared=5000, own=100, name="own"):
    parts = (PromptPart("guide", shared), PromptPart(name, own))
    return Prompt(parts, shared + own, 10)


def site(copy_seconds=FAST, targets=("t1", "t2", "t3")):
    facts = EngineFacts(64, 400_000, token_bytes=copy_seconds * 1e9, link_bytes=1e9)
    service = ServedService("s", "/h", 100, 3.0, 2.0, facts)
    return Site(*(info(name) for name in targets), service=service)


def source(where, asked, now):
    tracked = where.table.get("t1")
    found = fetch_source(tracked, where.table.all(), asked, RATE, now)
    return found.info.incarnation if found else None


class TestFetchSource(unittest.TestCase):
    @params(
        # who keeps it, how fast the link is, what is expected
        ((), FAST, 5000, None),
        (("t2",), FAST, 5000, "t2"),
        (("t1", "t2"), FAST, 5000, None),
        (("t2",), SLOW, 5000, None),
        (("t2",), FAST, LEAST_TOKENS - 1, None),
    )
    def test_only_where_it_is_sooner(self, keepers, copy_seconds, shared, expected):
        """Symptom: an engine that has come back cold reads for seconds what its
        neighbours keep, and all that it runs meanwhile pauses.
        Sequence: a region's engines return; prompts with shared parts arrive.
        Cause: what another target keeps was not used."""
        where = site(copy_seconds)
        for name in keepers:
            where.table.get(name).memory.note_part("guide", shared)
        self.assertEqual(source(where, prompt(shared), where.now), expected)

    @params("silent", "ejected")
    def test_not_from_a_target_that_does_badly(self, state):
        where = site()
        keeper = where.table.get("t2")
        keeper.memory.note_part("guide", 5000)
        if state == "silent":
            keeper.told_silent = True
        else:
            keeper.health.eject(where.now)
        self.assertIsNone(source(where, prompt(), where.now))

    def test_link_that_is_not_described_is_not_used(self):
        where = Site(info("t1"), info("t2"))
        where.table.get("t2").memory.note_part("guide", 5000)
        self.assertIsNone(source(where, prompt(), where.now))

    def test_fetched_parts_are_not_counted_as_read(self):
        where = site()
        where.table.get("t2").memory.note_part("guide", 5000)
        target = where.table.get("t1")
        placed = where.place(prompt=prompt(), tried=("t2",))
        self.assertIs(placed.target, target)
        self.assertIs(placed.fetch_from, where.table.get("t2"))
        cached = placed.cached_tokens
        read = target.begin("r", prompt(), 0, where.now, cached)
        self.assertEqual(read, 100)
        self.assertEqual(target.memory.cached_tokens(prompt()), 5100)

    @params((True, AtHome), (False, Elsewhere))
    def test_region_that_keeps_a_part_fetches_it(self, kept_here, expected):
        """Symptom: prompts are forwarded to another region though a target beside the
        chosen one keeps their shared part.
        Sequence: the keeper in the own region is busy, so another target is chosen; the
        region that the part belongs to by its hash is far away.
        Cause: only the chosen target's cache was looked at."""
        where = site()
        where.away(b=0, c=0)
        name = next(
            f"guide-{number}"
            for number in range(100)
            if weighted_owner(f"guide-{number}", dict(a=192.0, b=64.0, c=64.0)) != "a"
        )
        asked = Prompt((PromptPart(name, 5000), PromptPart("own", 100)), 5100, 10)
        if kept_here:
            keeper = where.table.get("t2")
            keeper.memory.note_part(name, 5000)
            for number in range(60):
                keeper.begin(f"busy-{number}", None, 0, where.now)
        placed = where.place(prompt=asked)
        self.assertIsInstance(placed, expected)
        if kept_here:
            self.assertEqual(placed.fetch_from, keeper)

    def test_load_of_one_shared_part_over_cold_engines(self):
        """Symptom: 14 % of all prompt tokens of a bad day are read again.
        Sequence: one engine keeps a part; a burst of prompts with it is spread over
        all engines of the region.
        Cause: each of them read the part itself."""
        where = site()
        where.table.get("t2").memory.note_part("guide", 5000)
        read = 0
        for number in range(60):
            asked = prompt(name=f"own-{number}")
            placed = where.placer.place(where.ask(prompt=asked), where.now)
            cached = placed.cached_tokens
            read += placed.target.begin(f"r{number}", asked, 0, where.now, cached)
        used = [t for t in where.table.all() if t.load.in_flight(where.now)]
        self.assertGreater(len(used), 1)
        self.assertEqual(read, 60 * 100)
