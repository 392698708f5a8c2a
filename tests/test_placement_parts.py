"""Tables for the smaller decisions of placement."""

import unittest
from collections import Counter

from nose2.tools import params

from bronzepoint_node.placement import (
    ColdStartLimiter,
    Prompt,
    PromptPart,
)
from bronzepoint_node.placement._cache_estimate import CacheEstimate
from bronzepoint_node.placement._engine_load import EngineLoad, OwnRun
from bronzepoint_node.placement._reading_rate import INITIAL_RATE, ReadingRate
from bronzepoint_node.placement._region_owner import weighted_owner
from bronzepoint_schema.generated.target_loads import TargetLoad

RATE = 1000.0
"""Tokens that an engine reads per second."""


def prompt(*parts):
    found = tuple(PromptPart(name, tokens) for name, tokens in parts)
    return Prompt(found, sum(tokens for _, tokens in parts), 50)


class TestColdStartLimiter(unittest.TestCase):
    def test_one_host_sends_and_keeps_the_rate(self):
        hosts = ["h1", "h2", "h3"]
        limiters = {host: ColdStartLimiter(host) for host in hosts}
        sent = Counter()
        for step in range(1000):
            now = step / 100
            for host, limiter in limiters.items():
                if limiter.may_send("t", 2.0, hosts, now):
                    limiter.note_sent("t", now)
                    sent[host] += 1
        self.assertEqual(len(sent), 1)
        self.assertLessEqual(sum(sent.values()), 15)

    @params(([],), (["other"],))
    def test_host_outside_the_list_sends_none(self, hosts):
        self.assertFalse(ColdStartLimiter("h").may_send("t", 2.0, hosts, 0.0))


class TestCacheEstimate(unittest.TestCase):
    @params(
        ([("a", 10), ("b", 20), ("x", 5)], 30),
        ([("b", 20), ("a", 10)], 30),
        ([("a", 10), ("new", 20), ("b", 20)], 10),
        ([("new", 5), ("a", 10)], 0),
    )
    def test_a_part_counts_where_all_before_it_are_cached(self, parts, cached):
        memory = CacheEstimate(1000)
        memory.note_used(prompt(("a", 10), ("b", 20), ("own", 5)))
        self.assertEqual(memory.cached_tokens(prompt(*parts)), cached)

    def test_least_recently_used_parts_are_evicted_first(self):
        memory = CacheEstimate(100)
        for name in "abc":
            memory.note_part(name, 40)
        cached = [memory.cached_tokens(prompt((name, 40))) for name in "abc"]
        self.assertEqual(cached, [0, 40, 40])


class TestEngineLoad(unittest.TestCase):
    @params(
        # a new request waits for the prompt in progress, whatever its rank
        ([(1, 1000, 0.0)], 0, 0.0, 1000),
        ([(1, 1000, 0.0)], 0, 0.4, 600),
        # it waits for queued prompts only if they are as urgent
        ([(1, 1000, 0.0), (1, 500, 0.1)], 0, 0.4, 600),
        ([(1, 1000, 0.0), (1, 500, 0.1)], 1, 0.4, 1100),
        ([(0, 1000, 0.0), (0, 500, 0.1)], 0, 0.4, 1100),
        ([], 0, 0.0, 0),
    )
    def test_tokens_before_a_new_request(self, runs, rank, now, expected):
        load = EngineLoad()
        for number, (of_rank, tokens, at) in enumerate(runs):
            load.begin(str(number), OwnRun(0, tokens, of_rank, at))
        self.assertAlmostEqual(load.tokens_before(rank, RATE, now), expected)

    def test_long_prompt_of_another_host_is_known_at_once(self):
        """Guards against short requests that wait a second behind a long prompt.

        One host sends a prompt of 40,000 tokens to an engine with few requests. Another
        sends its requests after it, because its report of the engine is 0.4 s old and
        does not include the prompt.
        """
        load = EngineLoad()
        notice = TargetLoad("t", 1, 40_000, [0, 40_000, 0, 0], 40_000, 1, 0)
        load.apply_notice("other", notice, 5.0)
        self.assertEqual(load.tokens_before(0, RATE, 5.0), 40_000)
        self.assertEqual(load.in_flight(5.0), 1)
        self.assertEqual(load.in_flight(8.1), 0, "the report of a dead host expires")

    def test_started_request_is_read(self):
        load = EngineLoad()
        load.begin("1", OwnRun(0, 1000, 0, 0.0))
        load.note_started("1", 0.9)
        self.assertEqual(load.tokens_before(0, RATE, 1.0), 0)
        self.assertEqual(load.in_flight(1.0), 1)


class TestReadingRate(unittest.TestCase):
    @params(
        (2000, 0.1, 0, True),
        (2000, 0.1, 5000, False),  # queued
        (100, 0.1, 0, False),  # too short
        (2000, 10.0, 0, False),  # implausible: wrongly assumed cached
    )
    def test_what_counts(self, uncached, seconds, before, counts):
        rate = ReadingRate()
        rate.add(uncached, seconds, before)
        self.assertEqual(rate.tokens_per_second != INITIAL_RATE, counts)


class TestWeightedOwner(unittest.TestCase):
    def test_regions_keep_parts_by_their_slots(self):
        weights = {"a": 192.0, "b": 128.0, "c": 64.0}
        owners = Counter(weighted_owner(str(key), weights) for key in range(3000))
        for region, weight in weights.items():
            self.assertAlmostEqual(owners[region] / 3000, weight / 384, delta=0.04)

    def test_removed_region_loses_only_its_own_parts(self):
        before = {"a": 64.0, "b": 64.0, "c": 64.0}
        after = {**before, "c": 0.0}
        for key in map(str, range(300)):
            owner = weighted_owner(key, before)
            if owner != "c":
                self.assertEqual(weighted_owner(key, after), owner)

    def test_no_owner_without_slots(self):
        self.assertIsNone(weighted_owner("k", {"a": 0.0}))


if __name__ == "__main__":
    unittest.main()
