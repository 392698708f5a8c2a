"""Tests of ejection and return, the cache estimate, and the watched subset."""

import unittest
from collections import Counter

from nose2.tools import params

from bronzepoint_node.targets._ejection import (
    FAILURES_TO_EJECT,
    FIRST_EJECTION_SECONDS,
    RETURN_GAP_SECONDS,
    Health,
    HealthState,
    find_ejections,
    find_return,
    max_ejected,
)
from bronzepoint_node.targets._in_flight import InFlight
from bronzepoint_node.targets._prefix_cache_estimate import (
    BLOCK_LIFETIME_SECONDS,
    GAP_LIFETIME_SECONDS,
    PrefixCacheEstimate,
)
from bronzepoint_node.targets._subset import SUBSET_SIZE, choose_subset
from bronzepoint_schema.generated.decisions import TryResult
from bronzepoint_schema.generated.platform import CacheEvent, CacheEventKind


def fail(health: Health, times: int = FAILURES_TO_EJECT) -> None:
    for _ in range(times):
        health.note(TryResult.failed, 0.0)


def answer(health: Health, times: int, seconds: float = 0.1) -> None:
    for _ in range(times):
        health.note(TryResult.answered, seconds)


class TestEjection(unittest.TestCase):
    def setUp(self) -> None:
        self.siblings = [Health() for _ in range(6)]

    def test_consecutive_failures(self) -> None:
        failing, recovering = self.siblings[:2]
        fail(failing)
        fail(recovering, FAILURES_TO_EJECT - 1)
        answer(recovering, 1)
        fail(recovering, FAILURES_TO_EJECT - 1)
        self.assertEqual(find_ejections(self.siblings), [failing])

    @params(TryResult.cancelled, TryResult.refused_by_target)
    def test_results_that_are_no_failure(self, result: TryResult) -> None:
        for _ in range(10):
            self.siblings[0].note(result, 0.0)
        self.assertEqual(find_ejections(self.siblings), [])

    def test_slow_but_alive(self) -> None:
        """A target that answers far later than its siblings is ejected.

        If only failures counted, one answer in six would be very late.
        """
        for health in self.siblings:
            answer(health, 20, seconds=0.2)
        answer(self.siblings[0], 20, seconds=3.0)
        self.assertEqual(find_ejections(self.siblings), self.siblings[:1])

    def test_equally_slow_targets_are_not_ejected(self) -> None:
        for health in self.siblings:
            answer(health, 20, seconds=3.0)
        self.assertEqual(find_ejections(self.siblings), [])

    def test_only_a_share_is_ejected_at_once(self) -> None:
        """A fault common to all targets must not eject all of them.

        With a failing store behind the targets, for example, some requests are still
        answered. If each target were ejected on its own, all callers would be refused.
        """
        for health in self.siblings:
            fail(health)
        ejected = find_ejections(self.siblings)
        self.assertEqual(len(ejected), 2)
        for health in ejected:
            health.eject(0.0)
        self.assertEqual(find_ejections(self.siblings), [])

    @params((1, 0), (2, 1), (3, 1), (6, 2), (24, 8))
    def test_share(self, targets: int, most: int) -> None:
        self.assertEqual(max_ejected(targets), most)

    def test_return_is_one_by_one_and_grows_with_answers(self) -> None:
        first, second = self.siblings[:2]
        first.eject(0.0)
        second.eject(0.1)
        later = FIRST_EJECTION_SECONDS + 0.2
        self.assertIsNone(find_return(self.siblings, FIRST_EJECTION_SECONDS / 2))
        self.assertIs(find_return(self.siblings, later), first)
        first.begin_return(later)
        self.assertIsNone(find_return(self.siblings, later + RETURN_GAP_SECONDS / 2))
        self.assertIs(find_return(self.siblings, later + RETURN_GAP_SECONDS), second)
        allowed = [first.allowed]
        for _ in range(7):
            answer(first, 1)
            allowed.append(first.allowed)
        self.assertEqual(allowed, [1, 2, 2, 4, 4, 4, 4, 8])
        first.settle(later, slots=8)
        self.assertIs(first.state, HealthState.healthy)

    def test_failure_while_returning_ejects_for_longer(self) -> None:
        health = self.siblings[0]
        health.eject(0.0)
        health.begin_return(2.0)
        fail(health, 1)
        self.assertEqual(find_ejections(self.siblings), [health])
        health.eject(2.5)
        self.assertEqual(health.ejection_seconds(), 2 * FIRST_EJECTION_SECONDS)


class TestPrefixCacheEstimate(unittest.TestCase):
    def setUp(self) -> None:
        self.memory = PrefixCacheEstimate(100)

    def note(self, number: int, event: str, blocks: list[str], now: float) -> None:
        parsed = CacheEvent(number, CacheEventKind(event), blocks)
        self.memory.note_events([parsed], now)

    def tokens(self, blocks: str, now: float = 0.0) -> int:
        return self.memory.cached_tokens(list(blocks), now)

    def test_only_leading_blocks_count(self) -> None:
        self.memory.note_sent("abd", 0.0)
        self.assertEqual(self.tokens("abcd"), 32)
        self.assertEqual(self.tokens("bab"), 48)
        self.assertEqual(self.tokens("x"), 0)

    def test_removed_and_cleared(self) -> None:
        self.note(1, "stored", ["a", "b"], 0.0)
        self.note(2, "removed", ["b"], 0.0)
        self.assertEqual(self.tokens("ab"), 16)
        self.note(3, "cleared", [], 0.0)
        self.assertEqual(self.tokens("ab"), 0)

    def test_gap_drops_blocks_that_may_be_stale(self) -> None:
        """After lost events, blocks that may have been evicted don't count as cached.

        Otherwise requests would be sent to a target for a prefix that it evicted long
        ago, since the event of the eviction is among the lost ones.
        """
        self.note(1, "stored", ["a"], 0.0)
        self.memory.note_sent("b", 2 * GAP_LIFETIME_SECONDS)
        self.note(3, "stored", ["c"], 2 * GAP_LIFETIME_SECONDS + 1)
        now = 2 * GAP_LIFETIME_SECONDS + 1
        self.assertEqual([self.tokens(x, now) for x in "abc"], [0, 16, 16])

    def test_repeated_events_are_ignored(self) -> None:
        self.note(1, "stored", ["a"], 0.0)
        self.note(2, "removed", ["a"], 0.0)
        self.note(1, "stored", ["a"], 0.0)
        self.assertEqual(self.tokens("a"), 0)

    def test_bounded_in_number_and_time(self) -> None:
        self.memory.note_sent((str(i) for i in range(500)), 0.0)
        self.assertEqual(len(self.memory), 100)
        self.assertEqual(
            self.memory.cached_tokens(["499"], BLOCK_LIFETIME_SECONDS + 1), 0
        )


class TestSubset(unittest.TestCase):
    @params((3, 9), (9, 24), (30, 112), (30, 450), (3, 300), (9, 48))
    def test_each_target_is_watched_and_subsets_are_bounded(
        self, hosts: int, targets: int
    ) -> None:
        host_names = [f"h{i}" for i in range(hosts)]
        names = [f"t{i}" for i in range(targets)]
        watched: Counter[str] = Counter()
        sizes = []
        for host in host_names:
            subset = choose_subset(host, host_names, names)
            sizes.append(len(subset))
            watched.update(subset)
        self.assertEqual(set(watched), set(names))
        share = max(SUBSET_SIZE, 2 * targets / hosts)
        self.assertLessEqual(max(sizes), 1.5 * share + 1)

    def test_dead_host_changes_only_its_own_targets(self) -> None:
        hosts = [f"h{i}" for i in range(30)]
        targets = [f"t{i}" for i in range(112)]
        lost = set(choose_subset("h7", hosts, targets))
        rest = [host for host in hosts if host != "h7"]
        for host in rest:
            before = set(choose_subset(host, hosts, targets))
            after = set(choose_subset(host, rest, targets))
            self.assertLessEqual(after - before, lost)


class TestInFlight(unittest.TestCase):
    def test_count_at_an_earlier_time(self) -> None:
        counts = InFlight()
        for time in (10.0, 11.0, 12.0):
            counts.change(1, time)
        counts.change(-1, 13.0)
        times = [9.0, 10.5, 12.5, 14.0]
        self.assertEqual([counts.at(m) for m in times], [0, 1, 3, 2])
