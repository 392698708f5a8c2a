"""Standing of prompt parts by the crashes of all requests that had them."""

import itertools
import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.core import CoreQuarantine
from bronzepoint_node.core._trial_permits import TrialPermits
from bronzepoint_node.quarantine import (
    PART_TRIAL_INTERVAL,
    RETENTION,
    Admitted,
    Blocked,
    Crash,
    CrashDetector,
    CrashRecord,
    CrashTable,
    Quarantine,
    RequestFingerprints,
    SuspicionLevel,
    TrialEnd,
    WatchedRun,
)
from bronzepoint_node.quarantine._crash_table import MAX_RECORDS, MAX_SOUND_PARTS
from bronzepoint_node.quarantine._fingerprint import (
    MAX_PARTS,
    combine_parts,
    fingerprint_parts,
)
from bronzepoint_schema.generated.fleet import TargetInfo
from bronzepoint_schema.generated.quarantine import TrialReply
from tests.test_quarantine_admission import StubPeers

NOW = 1000.0
CLEAR, SUSPECT, DOUBTFUL, HELD = SuspicionLevel


def parts(names):
    return fingerprint_parts("s", names)


def request(names, number=0):
    """Return the fingerprints of a request with these parts, unlike any other one."""
    name = f"{number:08x}"
    return RequestFingerprints(name, f"*{name}").with_parts("s", [*names, name])


def add_crash(table, target, runs, alone=(), at=NOW):
    """Record a crash.

    Args:
        table: The table.
        target: The target.
        runs: Parts of each request that had just begun there, by its tag.
        alone: Tags of the requests that ran there alone.
        at: Time of the crash.
    """
    crash_records = {}
    for tag, names in runs.items():
        for part in parts(names):
            record = CrashRecord(at, True, tag in alone, requests=(f"{tag:08}",))
            crash_records.setdefault(part, record).merge(record)
    table.record_crash(crash_records, "s", target, at)


def run_early(names, number, alone=False):
    now = monotonic()
    fingerprints = request(names, number)
    return WatchedRun(fingerprints, now - 0.1, ended_at=now, suspect=alone, quiet=alone)


def target(name):
    return TargetInfo(name, "s", "10.0.0.1:80", "x-a", 6, False, 0)


def new_quarantine(peers=None):
    table = CrashTable()
    peers = peers or StubPeers()
    return table, Quarantine(table, peers, lambda: ["core-1"], Metrics("t"))


class TestStanding(unittest.TestCase):
    @params(
        # a crash of one request, or of one that goes on from target to target
        ([("t1", {"1": "ab"}, "")], "a", CLEAR),
        ([("t1", {"1": "ab"}, ""), ("t2", {"1": "ab"}, "1")], "ab", CLEAR),
        ([(f"t{n}", {"1": "ab"}, "1") for n in range(6)], "ab", CLEAR),
        # two requests with nothing in common but the part
        ([("t1", {"1": "ab"}, ""), ("t2", {"2": "cb"}, "")], "b", SUSPECT),
        ([("t1", {"1": "ab"}, ""), ("t2", {"2": "cb"}, "")], "a", CLEAR),
        ([(f"t{n}", {f"{n}": "b"}, "") for n in range(3)], "b", DOUBTFUL),
        ([(f"t{n}", {f"{n}": "b"}, "2") for n in range(3)], "b", HELD),
        ([(f"t{n}", {f"{n}": "b"}, "2") for n in range(3)], "axb", HELD),
        # the part that was there at fewer of the crashes is no suspect
        ([(f"t{n}", {f"{n}": "ab" if n else "cb"}, "2") for n in range(3)], "a", CLEAR),
        ([(f"t{n}", {f"{n}": "ab" if n else "cb"}, "2") for n in range(3)], "b", HELD),
        # parts that always come together: only both are blocked
        ([(f"t{n}", {f"{n}": "ab"}, "2") for n in range(3)], "ab", HELD),
        ([(f"t{n}", {f"{n}": "ab"}, "2") for n in range(3)], "a", DOUBTFUL),
        # the same crash, reported by several hosts
        ([("t1", {f"{n}": "b"}, "") for n in range(4)], "b", CLEAR),
    )
    def test_crashes_of_different_requests(self, crashes, names, expected):
        """Guards against a part that crashes targets in requests that all differ."""
        for order in itertools.permutations(enumerate(crashes)):
            table = CrashTable()
            for number, (name, runs, alone) in order:
                add_crash(table, name, runs, alone, NOW + number)
            self.assertIs(table.standing_of(request(names)), expected)

    @params((False, HELD), (True, DOUBTFUL))
    def test_suspects_of_two_hosts_at_one_target(self, is_disturbed, expected):
        """Guards against blocking a part because its host doesn't know that another
        suspect was sent to the target after it."""
        table, quarantine = new_quarantine()
        other_table, other = new_quarantine()
        for number in range(3):
            run = run_early("a", number, alone=number == 2)
            crash = Crash(target(f"t{number}"), NOW + number, [run])
            quarantine.note_crash(crash)
            run = run_early("b", 10 + number)
            run.suspect = is_disturbed and number == 2
            crash = Crash(target(f"t{number}"), NOW + number, [run])
            other.note_crash(crash)
        table.merge(other_table.select_cases(NOW + 3, 32), NOW + 3)
        self.assertIs(table.standing_of(request("a")), expected)

    def test_first_part_of_all_requests_is_served(self):
        """Guards against blocking a part that harmful and sound requests share."""
        table = CrashTable()
        for number in range(5):
            add_crash(table, f"t{number}", {f"{number}": "ab"}, "4", NOW + number)
        self.assertIs(table.standing_of(request("ab")), HELD)
        self.assertIs(table.standing_of(request("a")), DOUBTFUL)
        for part in parts("a"):
            table.clear(part, NOW + 5)
        self.assertIs(table.standing_of(request("ab")), HELD)
        self.assertIs(table.standing_of(request("a")), CLEAR)
        self.assertIs(table.standing_of(request("xb")), HELD)

    def test_power_failure(self):
        """Guards against blocking a frequent part as many targets end at once."""
        table = CrashTable()
        for number in range(8):
            runs = {f"{number}{other}": "a" for other in range(4)}
            add_crash(table, f"t{number}", runs, at=NOW + number / 20)
        self.assertIs(table.standing_of(request("a")), SUSPECT)

    def test_sound_run_before_the_report_of_a_crash(self):
        """Guards against crashes reported late, beside parts that ran well since."""
        table = CrashTable()
        table.note_sound(parts("a"), NOW + 10)
        for number in range(4):
            add_crash(table, f"t{number}", {f"{number}": "ab"}, at=NOW + number)
        self.assertIs(table.standing_of(request("a")), CLEAR)
        self.assertIs(table.standing_of(request("b")), DOUBTFUL)
        add_crash(table, "t8", {"8": "a"}, at=NOW + 20)
        add_crash(table, "t9", {"9": "a"}, at=NOW + 21)
        self.assertIs(table.standing_of(request("a")), SUSPECT)

    def test_bystanders_of_a_harmful_part(self):
        """Guards against suspecting requests that only ran beside a harmful part."""
        table = CrashTable()
        for number in range(3):
            record = {"q": CrashRecord(NOW + number, True)}
            table.record_crash(record, "s", f"t{number}", NOW + number)
            add_crash(table, f"t{number}", {f"{number}": "b"}, "2", NOW + number)
        self.assertIs(table.standing_of(request("b")), HELD)
        self.assertIs(table.standing("q"), CLEAR)

    def test_unproven_part_may_be_tried_again(self):
        """Guards against blocking a sound part for long as its trial went wrong."""
        table = CrashTable()
        for number in range(3):
            add_crash(table, f"t{number}", {f"{number}": "b"}, at=NOW + number)
        (part,) = parts("b")
        self.assertTrue(table.record_trial(part, NOW + 3))
        self.assertIs(table.standing(part), HELD)
        left = table.request_blocked_for(request("b"), NOW + 3)
        self.assertEqual(left, PART_TRIAL_INTERVAL - 1)
        table.expire(NOW + 3 + PART_TRIAL_INTERVAL)
        self.assertIs(table.standing(part), DOUBTFUL)

    def test_harmful_part_stays_blocked(self):
        table = CrashTable()
        for number in range(3):
            add_crash(table, f"t{number}", {f"{number}": "b"}, "2", NOW + number)
        table.expire(NOW + 2 * PART_TRIAL_INTERVAL)
        self.assertIs(table.standing_of(request("b")), HELD)
        left = table.request_blocked_for(request("b"), NOW + 2)
        self.assertEqual(left, RETENTION)
        table.expire(NOW + 3 + RETENTION)
        self.assertIs(table.standing_of(request("b")), CLEAR)

    def test_tables_merge_to_the_same_standing(self):
        """Guards against hosts that judge by what they alone have seen."""
        tables = [CrashTable() for _ in range(3)]
        for number, table in enumerate(tables):
            add_crash(table, f"t{number}", {f"{number}": "b"}, "2", NOW + number)
        for source, receiver in itertools.permutations(tables, 2):
            receiver.merge(source.select_cases(NOW + 3, 16), NOW + 3)
        found = {table.standing_of(request("b")) for table in tables}
        self.assertEqual(found, {HELD})


class TestFingerprints(unittest.TestCase):
    @params(
        # names of the parts, number of fingerprints
        ("", 0),
        ("aba", 2),
        ([f"p{n}" for n in range(MAX_PARTS + 10)], MAX_PARTS),
    )
    def test_each_part_has_one(self, names, expected):
        self.assertEqual(len(parts(names)), expected)

    def test_requests_with_the_same_body_are_told_apart(self):
        """Guards against taking different prompts for one request that is repeated."""
        body = RequestFingerprints("q", "*q")
        tags = {body.with_parts("s", ["a", own]).tag for own in ("x", "y", "x")}
        self.assertEqual(len(tags), 2)

    def test_last_part_is_no_shared_part(self):
        found = RequestFingerprints("q", "*q").with_parts("s", ["a", "b", "own"])
        self.assertEqual(found.parts, parts("ab"))

    def test_long_name_is_shortened(self):
        (part,) = parts(["p" * 10_000])
        self.assertLess(len(part), 100)

    def test_service_tells_parts_apart(self):
        """Guards against blocking a part for targets that run it well."""
        self.assertNotEqual(fingerprint_parts("s", "a"), fingerprint_parts("t", "a"))


class TestBounds(unittest.TestCase):
    def test_memory_does_not_grow_with_the_parts(self):
        """Guards against callers that invent parts to exhaust the memory."""
        table = CrashTable()
        for number in range(3):
            add_crash(table, f"t{number}", {f"{number}": "b"}, at=NOW + number)
        for number in range(MAX_RECORDS + 100):
            add_crash(table, f"u{number}", {"1": [f"p{number}"]}, at=NOW + 10)
        table.note_sound(parts([f"q{n}" for n in range(MAX_PARTS)]), NOW)
        for number in range(MAX_SOUND_PARTS):
            table.note_sound(parts([f"q{number}"]), NOW)
        self.assertLessEqual(len(table), MAX_RECORDS)
        self.assertLessEqual(len(table._sound_at), MAX_SOUND_PARTS)
        self.assertIs(table.standing_of(request("b")), DOUBTFUL)


class TestAdmission(unittest.TestCase):
    def crash_targets(self, quarantine, names, count, alone=False):
        first = monotonic() - count
        for number in range(count):
            run = run_early(names, number, alone)
            info = target(f"t{number}")
            quarantine.note_crash(Crash(info, first + number, [run]))

    def test_harmful_part_is_refused_with_its_cause(self):
        async def main():
            _, quarantine = new_quarantine()
            self.crash_targets(quarantine, "b", 3, alone=True)
            return await quarantine.admit(request("ab", 9), monotonic())

        admission = curio.run(main)
        self.assertIsInstance(admission, Blocked)
        self.assertEqual(admission.cause, parts("b")[0])

    @params((True, CLEAR), (False, DOUBTFUL))
    def test_only_a_successful_answer_clears_parts(self, succeeded, expected):
        """Guards against an error that is taken as proof that a part is sound."""

        async def main():
            table, quarantine = new_quarantine()
            self.crash_targets(quarantine, "b", 3)
            detector = CrashDetector(None, quarantine, Metrics("t"))
            info = target("t9")
            run = detector.begin(info, request("b", 9))
            detector.record_answered(info, run, succeeded)
            return table.standing_of(request("b"))

        self.assertIs(curio.run(main), expected)

    def test_doubtful_part_is_tried_by_permit(self):
        """Guards against several trials of one part, at one host or at many."""

        async def main():
            peers = StubPeers(TrialReply(True, 0))
            _, quarantine = new_quarantine(peers)
            self.crash_targets(quarantine, "b", 3)
            first = await quarantine.admit(request("ab", 7), monotonic())
            second = await quarantine.admit(request("cb", 8), monotonic())
            quarantine.note_trial_failed(request("ab", 7))
            quarantine.end_trial(request("ab", 7), TrialEnd.USED)
            third = await quarantine.admit(request("db", 9), monotonic())
            return first, second, third, len(peers.calls)

        first, second, third, asked = curio.run(main)
        self.assertEqual(first, Admitted(suspect=True, by_permit=True))
        self.assertIsInstance(second, Blocked)
        self.assertEqual((third.cause, asked), (parts("b")[0], 1))

    def test_request_waits_for_the_trial_of_another_host(self):
        """Guards against refusing sound requests while another host tries a part."""

        async def main():
            table, quarantine = new_quarantine(StubPeers(TrialReply(False, 60_000)))
            self.crash_targets(quarantine, "b", 3)
            admit = await curio.spawn(
                quarantine.admit, request("b", 9), monotonic() + 5
            )
            await curio.sleep(0.1)
            table.clear(parts("b")[0], monotonic())
            return await admit.join()

        self.assertEqual(curio.run(main), Admitted())

    def test_trial_goes_on_as_a_request_beside_it_ends(self):
        """Guards against ending a trial because a copy beside it has ended."""

        async def main():
            _, quarantine = new_quarantine()
            self.crash_targets(quarantine, "b", 2)
            now = monotonic()
            admissions = [await quarantine.admit(request("b", 7), now) for _ in "12"]
            for admission in admissions[1:]:
                if not admission.beside_trial:
                    quarantine.end_trial(request("b", 7))
            return quarantine._is_on_trial(frozenset(parts("b")))

        self.assertTrue(curio.run(main))

    def test_suspect_part_does_not_wait_for_a_long_trial(self):
        """Guards against refusing all requests with a part during one's trial."""

        async def main():
            _, quarantine = new_quarantine()
            self.crash_targets(quarantine, "b", 2)
            now = monotonic()
            return [await quarantine.admit(request("b", n), now) for n in (7, 8)]

        beside = Admitted(suspect=True, beside_trial=True)
        self.assertEqual(curio.run(main), [Admitted(suspect=True), beside])


class TestPermits(unittest.TestCase):
    def test_parts_that_come_together_are_tried_together(self):
        self.assertEqual(combine_parts(parts("ab")), combine_parts(parts("ba")))
        self.assertNotEqual(combine_parts(parts("ab")), combine_parts(parts("a")))
        self.assertEqual(combine_parts(parts("a")), parts("a")[0])

    @params(*("a", "ab"))
    def test_part_gets_another_permit_later(self, names):
        """Guards against blocking a sound part for long as its trial went wrong."""
        permits, name = TrialPermits(), combine_parts(parts(names))
        moments = (NOW, NOW + 1, NOW + 1 + PART_TRIAL_INTERVAL)
        granted = [permits.grant(name, moment) for moment in moments]
        self.assertEqual(granted, [True, False, True])

    def test_no_permit_for_a_blocked_part(self):
        core = CoreQuarantine(StubPeers(), "unused", list)
        for number in range(3):
            at = monotonic()
            add_crash(core.table, f"t{number}", {f"{number}": "b"}, "2", at)
        reply = core._answer_trial(parts("b")[0], None)
        self.assertFalse(reply.granted)


if __name__ == "__main__":
    unittest.main()
