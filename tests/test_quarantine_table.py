"""Standing of requests by the crashes that all hosts have recorded."""

import itertools
import unittest

from nose2.tools import params

from bronzepoint_node.quarantine import (
    RETENTION,
    CrashRecord,
    CrashTable,
    SuspicionLevel,
)
from bronzepoint_node.quarantine._crash_table import (
    MAX_RECORDS,
    MAX_SETTLED,
    PRIORITY_PERIOD,
    ROTATION_INTERVAL,
    SETTLED_AFTER,
)
from bronzepoint_node.quarantine._suspect_record import MAX_CRASH_RECORDS

NOW = 1000.0


def crash_record(early=True, alone=False, at=NOW):
    return CrashRecord(at, early, alone)


def add_crash(table, target, names, alone=(), early=True, at=NOW):
    """Record a crash with all these requests in progress."""
    crash_records = {name: crash_record(early, name in alone, at) for name in names}
    table.record_crash(crash_records, "s", target, at)


class TestStanding(unittest.TestCase):
    @params(
        # crashes (target, requests in progress, requests alone), standing of "q"
        ([("t1", "q", "")], SuspicionLevel.CLEAR),
        ([("t1", "q", ""), ("t2", "q", "")], SuspicionLevel.SUSPECT),
        ([("t1", "q", ""), ("t2", "q", "q")], SuspicionLevel.SUSPECT),
        ([("t1", "q", ""), ("t2", "q", ""), ("t3", "q", "q")], SuspicionLevel.HELD),
        ([("t1", "q", ""), ("t2", "q", ""), ("t3", "q", "")], SuspicionLevel.DOUBTFUL),
        ([(f"t{n}", "q", "") for n in range(5)], SuspicionLevel.HELD),
        # another host sent a suspect to the same target at the same time
        (
            [("t1", "qa", ""), ("t2", "qa", ""), ("t3", "qa", "qa")],
            SuspicionLevel.DOUBTFUL,
        ),
        ([(f"t{n}", "qa", "qa") for n in range(5)], SuspicionLevel.HELD),
        # the same crash, reported by several hosts
        ([("t1", "q", ""), ("t1", "q", ""), ("t1", "q", "")], SuspicionLevel.CLEAR),
    )
    def test_crashes_of_one_request(self, crashes, expected):
        table = CrashTable()
        for target, names, alone in crashes:
            add_crash(table, target, names, alone)
        self.assertIs(table.standing("q"), expected)

    @params((SuspicionLevel.HELD, "q"), (SuspicionLevel.CLEAR, "abc"))
    def test_blocked_request_clears_unrelated_ones(self, expected, names):
        """Guards against blaming a batch of streams that resume together elsewhere."""
        table = CrashTable()
        for target in ("t1", "t2"):
            add_crash(table, target, "qabc")
        self.assertIs(table.standing("a"), SuspicionLevel.SUSPECT)
        add_crash(table, "t3", "qabc", alone="q")
        for name in names:
            self.assertIs(table.standing(name), expected)

    def test_unrelated_trials_do_not_hide_the_cause(self):
        """Guards against many suspects that each ran alone in one of the crashes."""
        table = CrashTable()
        for number, unrelated in enumerate("abcde"):
            add_crash(table, f"t{number}", f"q{unrelated}", alone=unrelated)
        self.assertIs(table.standing("q"), SuspicionLevel.HELD)
        for unrelated in "abcde":
            self.assertIs(table.standing(unrelated), SuspicionLevel.CLEAR)

    def test_complete_answer_clears_a_frequent_request(self):
        """Guards against blaming a frequent request that runs on every target."""
        table = CrashTable()
        for target in ("t1", "t2", "t3"):
            add_crash(table, target, "qp")
        self.assertTrue(table.clear("p", NOW))
        self.assertIs(table.standing("p"), SuspicionLevel.CLEAR)
        self.assertIs(table.standing("q"), SuspicionLevel.DOUBTFUL)
        add_crash(table, "t4", "qp")
        self.assertIs(table.standing("p"), SuspicionLevel.CLEAR)

    def test_two_late_crashes_make_no_suspect(self):
        table = CrashTable()
        for target in ("t1", "t2"):
            add_crash(table, target, "a", early=False)
        self.assertIs(table.standing("a"), SuspicionLevel.CLEAR)
        for target in ("t3", "t4", "t5", "t6"):
            add_crash(table, target, "a", early=False)
        self.assertIs(table.standing("a"), SuspicionLevel.HELD)

    def test_content_fingerprint_is_at_most_doubtful(self):
        table = CrashTable()
        for number in range(6):
            add_crash(table, f"t{number}", ["*q", f"q{number}"])
        self.assertIs(table.standing("*q"), SuspicionLevel.DOUBTFUL)

    def test_surviving_run_clears_early_crashes(self):
        table = CrashTable()
        add_crash(table, "t0", "a", early=False)
        for target in ("t1", "t2", "t3"):
            add_crash(table, target, "a")
        self.assertTrue(table.clear("a", NOW, early_only=True))
        self.assertIs(table.standing("a"), SuspicionLevel.CLEAR)
        self.assertEqual(len(table.record("a").active_crash_records), 1)

    def test_outage_makes_no_request_a_suspect(self):
        table = CrashTable()
        for outage in range(5):
            targets = [f"t{outage}{n}" for n in range(3)]
            for target in targets:
                add_crash(table, target, [f"of {target[-1]}"])
            table.record_outage(targets, NOW)
        self.assertIs(table.standing("of 1"), SuspicionLevel.CLEAR)

    def test_concurrent_copies_do_not_count_as_an_outage(self):
        table = CrashTable()
        targets = ["t1", "t2", "t3", "t4", "t5"]
        for target in targets:
            add_crash(table, target, "q")
        table.record_outage(targets, NOW)
        self.assertIs(table.standing("q"), SuspicionLevel.HELD)

    @params((0.5, SuspicionLevel.HELD, 300.0), (1.01, SuspicionLevel.CLEAR, 0.0))
    def test_standing_expires_after_the_last_crash(self, passed, standing, time_left):
        table = CrashTable()
        for target in ("t1", "t2", "t3"):
            add_crash(table, target, "q", alone="q")
        later = NOW + passed * RETENTION
        table.expire(later)
        self.assertIs(table.standing("q"), standing)
        self.assertAlmostEqual(table.blocked_for("q", later), time_left)


def try_by_permit(table, names, target="", others=(), at=NOW):
    """Record the failed trials of doubtful requests, and the crash that ended them."""
    for name in names:
        table.record_trial(name, at)
    if target:
        add_crash(table, target, [*names, *others], at=at)


class TestDisturbedTrials(unittest.TestCase):
    """The harmful request is "q", "a" ran beside it."""

    def setUp(self):
        self.table = CrashTable()
        for target in ("t1", "t2", "t3"):
            add_crash(self.table, target, "qa")

    def standings(self):
        return [self.table.standing(name) for name in "qa"]

    def test_crash_at_the_trial_of_two_requests_blocks_neither(self):
        """Guards against blocking an unrelated request because the harmful one was
        tried at the same target."""
        try_by_permit(self.table, "qa", "t4")
        self.assertEqual(self.standings(), [SuspicionLevel.DOUBTFUL] * 2)

    def test_next_trial_decides(self):
        """Guards against a harmful request that goes free because of another one."""
        try_by_permit(self.table, "qa", "t4")
        try_by_permit(self.table, "q", "t5")
        expected = [SuspicionLevel.HELD, SuspicionLevel.CLEAR]
        self.assertEqual(self.standings(), expected)

    @params(
        # targets that crashed at further trials of "q" beside "a"; standing of "q"
        (["t4"], SuspicionLevel.DOUBTFUL),
        (["t4", ""], SuspicionLevel.HELD),
        (["t4", "t5"], SuspicionLevel.HELD),
    )
    def test_one_more_permit_is_granted(self, targets, expected):
        """Guards against trials without end of a harmful request."""
        for target in targets:
            try_by_permit(self.table, "q", target, others="a")
        self.assertIs(self.table.standing("q"), expected)

    @params(
        # requests beside "q" at the crash that ended its trial
        ("",),
        # one that wasn't at all crashes of "q"
        ("b",),
    )
    def test_trial_beside_requests_that_explain_less(self, others):
        """Guards against a further crash by a request that nothing else explains."""
        table = CrashTable()
        for target in ("t1", "t2", "t3"):
            add_crash(table, target, "q")
        add_crash(table, "t3", "b")
        try_by_permit(table, "q", "t4", others)
        self.assertIs(table.standing("q"), SuspicionLevel.HELD)

    def test_trial_is_forgotten_with_the_crashes_before_it(self):
        """Guards against blocking a request by a trial after crashes that another one
        has been found to cause."""
        try_by_permit(self.table, "a")
        add_crash(self.table, "t4", "q", alone="q")
        self.assertEqual(self.standings(), [SuspicionLevel.HELD, SuspicionLevel.CLEAR])
        for target in ("t5", "t6", "t7"):
            add_crash(self.table, target, "ab")
        self.assertIs(self.table.standing("a"), SuspicionLevel.DOUBTFUL)

    def test_trial_that_ended_without_a_crash_blocks(self):
        try_by_permit(self.table, "a")
        expected = [SuspicionLevel.DOUBTFUL, SuspicionLevel.HELD]
        self.assertEqual(self.standings(), expected)

    def test_request_that_was_cleared_explains_nothing(self):
        try_by_permit(self.table, "q", "t4", others="a")
        self.table.clear("a", NOW)
        expected = [SuspicionLevel.HELD, SuspicionLevel.CLEAR]
        self.assertEqual(self.standings(), expected)

    @params(*itertools.permutations(range(3)))
    def test_order_of_the_reports_does_not_matter(self, *order):
        """Guards against hosts that judge a trial differently for good."""
        hosts = [CrashTable() for _ in order]
        for number, name in enumerate("qa"):
            hosts[number].merge(self.table.select_cases(NOW, 16), NOW)
            try_by_permit(hosts[number], name, "t4")
        hosts[2].merge(self.table.select_cases(NOW, 16), NOW)
        for _ in range(2):
            for number in order:
                cases = hosts[number].select_cases(NOW, 16)
                for host in hosts:
                    host.merge(cases, NOW)
        for self.table in hosts:
            self.assertEqual(self.standings(), [SuspicionLevel.DOUBTFUL] * 2)


class TestManyHosts(unittest.TestCase):
    def test_both_sides_of_a_partition_add_up(self):
        """Guards against three trials on each side of a network partition."""
        here, there = CrashTable(), CrashTable()
        add_crash(here, "t1", "q")
        add_crash(here, "t2", "q")
        add_crash(there, "t3", "q", alone="q")
        sent = here.select_cases(NOW, 16), there.select_cases(NOW, 16)
        here.merge(sent[1], NOW)
        there.merge(sent[0], NOW)
        for table in (here, there):
            self.assertIs(table.standing("q"), SuspicionLevel.HELD)

    def test_cleared_crash_stays_cleared_after_old_reports(self):
        """Guards against hosts that keep sending each other cleared crashes."""
        here, there = CrashTable(), CrashTable()
        for target in ("t1", "t2", "t3"):
            add_crash(here, target, "q", alone="q")
        there.merge(here.select_cases(NOW, 16), NOW + 0.1)
        here.clear("q", NOW)
        here.merge(there.select_cases(NOW, 16), NOW + 0.2)
        self.assertIs(here.standing("q"), SuspicionLevel.CLEAR)
        there.merge(here.select_cases(NOW, 16), NOW + 0.2)
        self.assertIs(there.standing("q"), SuspicionLevel.CLEAR)

    def test_expired_crashes_are_not_merged(self):
        here, there = CrashTable(), CrashTable()
        add_crash(here, "t1", "q")
        there.merge(here.select_cases(NOW + RETENTION + 1.0, 16), NOW)
        self.assertEqual(len(there), 0)

    def test_settled_records_take_little_space(self):
        """Guards against links between regions that carry known records."""
        table = CrashTable()
        for number in range(200):
            add_crash(table, f"t{number}", [f"q{number}"])
        self.assertEqual(len(table.select_cases(NOW, 32)), 32)
        later = NOW + SETTLED_AFTER + ROTATION_INTERVAL / 2
        settled = [
            table.select_cases(later + n * ROTATION_INTERVAL, 32) for n in range(100)
        ]
        self.assertEqual({len(sent) for sent in settled}, {MAX_SETTLED})
        names = {case.fingerprint for sent in settled for case in sent}
        self.assertEqual(len(names), 200, "all are sent round robin")

    def test_blocked_requests_are_in_each_message(self):
        """Guards against a restarted host that sends requests that others block."""
        table, started = CrashTable(), CrashTable()
        for target in ("t1", "t2", "t3"):
            add_crash(table, target, "q", alone="q")
        for number in range(100):
            add_crash(table, f"u{number}", [f"a{number}"], at=NOW + 100.0)
        later = NOW + 2 * SETTLED_AFTER
        started.merge(table.select_cases(later, 4), later)
        self.assertIs(started.standing("q"), SuspicionLevel.HELD)

    def test_memory_and_messages_are_bounded(self):
        """Guards against a caller that makes hosts use ever more memory."""
        table = CrashTable()
        for target in ("t1", "t2", "t3"):
            add_crash(table, target, "q", alone="q")
        for number in range(20):
            names = [f"{number} {n}" for n in range(MAX_RECORDS // 10)]
            add_crash(table, f"u{number}", names, at=NOW + number)
        for number in range(3 * MAX_CRASH_RECORDS):
            add_crash(table, f"v{number}", "r", alone="r", at=NOW + number)
        self.assertEqual(len(table), MAX_RECORDS)
        self.assertEqual(len(table.record("r").crash_records), MAX_CRASH_RECORDS)
        self.assertEqual(len(table.select_cases(NOW, 16)), 16)
        for name in "qr":
            self.assertIs(table.standing(name), SuspicionLevel.HELD)

    def test_each_record_is_sent_within_some_messages(self):
        table = CrashTable()
        add_crash(table, "t1", [str(n) for n in range(100)])
        sent = set()
        for turn in range(20):
            at = NOW + PRIORITY_PERIOD + 1.0 + turn * ROTATION_INTERVAL
            sent.update(case.fingerprint for case in table.select_cases(at, 16))
        self.assertEqual(len(sent), 100)


if __name__ == "__main__":
    unittest.main()
