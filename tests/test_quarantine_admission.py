"""Admission of suspected requests on entry hosts, and trial permits of the core."""

import contextlib
import tempfile
import unittest
from pathlib import Path

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import PeerTimeout
from bronzepoint_node.core import CoreQuarantine
from bronzepoint_node.core._trial_permits import PermitQuery, TrialPermits
from bronzepoint_node.quarantine import (
    RETENTION,
    Admitted,
    Blocked,
    Crash,
    CrashRecord,
    CrashTable,
    Quarantine,
    RequestFingerprints,
    SuspicionLevel,
    TrialEnd,
    WatchedRun,
)
from bronzepoint_node.quarantine._quarantine import UNUSED_PERMIT_RETENTION
from bronzepoint_schema.generated.fleet import TargetInfo
from bronzepoint_schema.generated.quarantine import (
    CrashNotice,
    TrialReply,
    TrialRequest,
)


class StubPeers:
    """Stub of ``Peers`` that records posted messages and returns a given reply."""

    def __init__(self, reply=None):
        self.reply = reply
        self.posted = []
        self.calls = []

    def register(self, area, message, handler):
        self.handler = handler

    def post(self, peer, area, message):
        self.posted.append((peer, message))
        return True

    async def call(self, peer, area, message, timeout):
        self.calls.append(peer)
        if self.reply is None:
            raise PeerTimeout(peer, timeout)
        return self.reply


class LinkedPeers(StubPeers):
    """Stub of ``Peers`` of one host that delivers to a core host at once.

    Attributes:
        loses_replies: Whether calls are delivered, but their replies are lost.
        loses_posts: Number of the next posts that are lost.
    """

    def __init__(self, host, core):
        super().__init__()
        self.host = host
        self.core = core
        self.loses_replies = False
        self.loses_posts = 0

    def post(self, peer, area, message):
        super().post(peer, area, message)
        if self.loses_posts:
            self.loses_posts -= 1
            return True
        # The handler doesn't wait for anything.
        with contextlib.suppress(StopIteration):
            self.core.handler(self.host, message).send(None)
        return True

    async def call(self, peer, area, message, timeout):
        reply = await self.core.handler(self.host, message)
        if self.loses_replies:
            raise PeerTimeout(peer, timeout)
        return reply


Q = RequestFingerprints("q", "*q")


def add_crashes(table, name, crashes, alone=False):
    for number in range(crashes):
        crash_records = {name: CrashRecord(monotonic(), True, alone)}
        table.record_crash(crash_records, "s", f"t{number}", monotonic())


def target(name, data_center="x-a"):
    return TargetInfo(name, "s", "10.0.0.1:80", data_center, 6, False, 0)


def failed_run(name, suspect=False, quiet=True):
    now = monotonic()
    fingerprints = RequestFingerprints(name, f"*{name}")
    return WatchedRun(
        fingerprints, now - 0.1, ended_at=now, suspect=suspect, quiet=suspect and quiet
    )


def make_quarantine(reply=None, core=("c1", "c2", "c3")):
    links = StubPeers(reply)
    table = CrashTable()
    return Quarantine(table, links, lambda: list(core), Metrics()), table, links


class TestAdmission(unittest.TestCase):
    @params(
        # crashes, alone, reply of the core host, expected admission
        (0, False, None, Admitted()),
        (1, False, None, Admitted()),
        (2, False, None, Admitted(suspect=True)),
        (3, False, TrialReply(True, 0), Admitted(suspect=True, by_permit=True)),
        (3, False, TrialReply(False, 60_000), Blocked),
        (3, False, None, Blocked),
        (3, True, TrialReply(True, 0), Blocked),
        (5, False, TrialReply(True, 0), Blocked),
    )
    def test_admission_depends_on_crashes(self, crashes, alone, reply, expected):
        quarantine, table, links = make_quarantine(reply)
        add_crashes(table, "q", crashes, alone)
        admission = curio.run(quarantine.admit, Q, monotonic())
        if expected is Blocked:
            self.assertIsInstance(admission, Blocked)
            self.assertGreater(admission.retry_after, 1.0)
        else:
            self.assertEqual(admission, expected)
        self.assertEqual(len(links.calls), int(crashes == 3 and not alone))

    @params((1, Admitted()), (2, Admitted(True)), (5, Blocked))
    def test_content_counts_for_all_callers(self, callers, expected):
        """Guards against a caller that uses another address for each request."""
        quarantine, table, _ = make_quarantine(TrialReply(False, 60_000))
        for number in range(callers):
            run = failed_run("q")
            run.fingerprints = RequestFingerprints(f"q{number}", "*q")
            quarantine.note_crash(Crash(target(f"t{number}"), monotonic(), [run]))
        fingerprints = RequestFingerprints("q of another", "*q")
        admission = curio.run(quarantine.admit, fingerprints, monotonic())
        if expected is Blocked:
            self.assertIsInstance(admission, Blocked)
        else:
            self.assertEqual(admission, expected)

    def test_ordinary_request_needs_no_permit(self):
        quarantine, _, links = make_quarantine()
        curio.run(quarantine.admit, RequestFingerprints("a", "*a"), monotonic())
        self.assertEqual(links.calls, [])

    def test_all_hosts_request_a_permit_from_the_same_host(self):
        queried = set()
        for core in (("c1", "c2", "c3"), ("c3", "c1", "c2")):
            quarantine, table, links = make_quarantine(TrialReply(True, 0), core)
            add_crashes(table, "q", 3)
            curio.run(quarantine.admit, Q, monotonic())
            queried.update(links.calls)
        self.assertEqual(len(queried), 1)

    def test_one_copy_of_a_suspect_runs_at_a_time(self):
        """Guards against refusing all copies of a frequent suspect or running many."""

        async def main():
            quarantine, table, _ = make_quarantine()
            add_crashes(table, "q", 2)
            until = monotonic() + 1.0
            first = await quarantine.admit(Q, until)
            late = await quarantine.admit(Q, monotonic())
            second = await curio.spawn(quarantine.admit, Q, until)
            await curio.sleep(0.05)
            quarantine.record_answered(Q)
            quarantine.end_trial(Q)
            return first, late, await second.join()

        first, late, second = curio.run(main)
        self.assertEqual(first, Admitted(suspect=True))
        self.assertIsInstance(late, Blocked)
        self.assertEqual(second, Admitted())


class TestReports(unittest.TestCase):
    def test_crash_and_complete_answer_are_reported_to_all_core_hosts(self):
        quarantine, table, links = make_quarantine()
        for name in ("t1", "t2"):
            quarantine.note_crash(Crash(target(name), monotonic(), [failed_run("q")]))
        self.assertEqual([peer for peer, _ in links.posted], ["c1", "c2", "c3"] * 2)
        self.assertIs(table.standing("q"), SuspicionLevel.SUSPECT)
        quarantine.record_answered(Q)
        self.assertIs(table.standing("q"), SuspicionLevel.CLEAR)
        self.assertTrue(links.posted[-1][1].cases[0].marks[0].cleared)

    def test_undisturbed_trial_counts_as_alone(self):
        quarantine, table, _ = make_quarantine()
        runs = [failed_run("q", suspect=True), failed_run("a")]
        quarantine.note_crash(Crash(target("t1"), monotonic(), runs))
        self.assertTrue(table.record("q").crash_records["t1"].alone)
        self.assertFalse(table.record("a").crash_records["t1"].alone)

    @params(
        # whether each of the two requests had been sent while nothing else ran there
        (True, True),
        (True, False),
        (False, True),
    )
    def test_suspects_of_two_hosts_at_one_target(self, *quiet):
        """Guards against blocking a suspect, and clearing another one, as its host
        doesn't know that the other one was sent to the target after it."""
        hosts = [make_quarantine() for _ in quiet]
        for (quarantine, *_), name, is_quiet in zip(hosts, "pq", quiet, strict=True):
            for number in range(3):
                run = failed_run(name, suspect=number == 2, quiet=is_quiet)
                quarantine.note_crash(Crash(target(f"t{number}"), monotonic(), [run]))
        cases = [table.select_cases(monotonic(), 16) for _, table, _ in hosts]
        for (_, table, _), reported in zip(hosts, reversed(cases), strict=True):
            table.merge(reported, monotonic())
            standings = [table.standing(name) for name in "pq"]
            self.assertEqual(standings, [SuspicionLevel.DOUBTFUL] * 2)

    def test_suspect_beside_one_that_was_answered_since(self):
        """Guards against a harmful request that goes free by suspects beside it."""
        quarantine, table, _ = make_quarantine()
        for number in range(3):
            runs = [failed_run("q", suspect=True)]
            runs += [failed_run("p", suspect=True, quiet=False)]
            quarantine.note_crash(Crash(target(f"t{number}"), monotonic(), runs))
        quarantine.record_answered(RequestFingerprints("p", "*p"))
        self.assertIs(table.standing("q"), SuspicionLevel.HELD)

    @params(("x-a", SuspicionLevel.CLEAR), ("", SuspicionLevel.SUSPECT))
    def test_data_center_outage_makes_no_request_a_suspect(self, data_center, expected):
        """Guards against a power failure that makes suspects of all its requests."""
        quarantine, table, _ = make_quarantine()
        for outage in range(2):
            at = monotonic() + 10 * outage
            for number in range(3):
                info = target(f"t{outage}{number}", data_center or f"x-{number}")
                run = failed_run(f"of {number}")
                quarantine.note_crash(Crash(info, at, [run]))
        self.assertIs(table.standing("of 1"), expected)

    def test_outage_clears_no_request_that_ran_at_its_targets_on_other_hosts(self):
        """Guards against clearing a request as crashes elsewhere aren't known yet."""
        hosts = [make_quarantine() for _ in range(3)]
        for host, (quarantine, *_) in enumerate(hosts):
            for number in range(3):
                runs = [failed_run(f"other of {host}")]
                runs += [failed_run("q")] * (number == host)
                quarantine.note_crash(Crash(target(f"t{number}"), monotonic(), runs))
        _, table, _ = hosts[0]
        for _, other, _ in hosts[1:]:
            table.merge(other.select_cases(monotonic(), 16), monotonic())
        self.assertIs(table.standing("q"), SuspicionLevel.DOUBTFUL)

    def test_data_center_outage_is_reported_in_few_bytes(self):
        """Guards against filling a narrow link with a report for each of many runs."""
        quarantine, _, links = make_quarantine(core=("c1",))
        for number in range(6):
            for run in range(10):
                crash = Crash(target(f"t{number}"), monotonic(), [failed_run(f"{run}")])
                quarantine.note_crash(crash)
        reported = sum(len(notice.cases) for _, notice in links.posted)
        self.assertLessEqual(reported, 2 * 2 * 6 * 10)


class TestPermits(unittest.TestCase):
    def test_doubtful_request_gets_one_permit(self):
        permits = TrialPermits()
        granted = [permits.grant("q", n * 0.5) for n in range(200)]
        self.assertEqual(sum(granted), 1)
        self.assertAlmostEqual(permits.seconds_left("q", 100.0), RETENTION - 100.0)
        self.assertTrue(permits.grant("other", 0.0))
        self.assertTrue(permits.grant("q", RETENTION * 2))

    @params(
        # outcomes of the permitted trials, number admitted, number of permit queries
        ([TrialEnd.NOT_SENT] * 4, 5, 1),
        ([TrialEnd.USED], 1, 2),
        ([TrialEnd.TURNED_AWAY], 2, 1),
        ([TrialEnd.TURNED_AWAY] * 2, 2, 1),
        ([TrialEnd.NOT_SENT, TrialEnd.TURNED_AWAY, TrialEnd.USED], 3, 2),
    )
    def test_unused_permit_is_kept(self, ends, expected_admissions, permit_queries):
        """Guards against blocking an unrelated request that found no free capacity, or
        whose target had just been replaced."""

        async def main():
            quarantine, table, links = make_quarantine(TrialReply(True, 0))
            add_crashes(table, "q", 3)
            admissions = [await quarantine.admit(Q, monotonic())]
            links.reply = TrialReply(False, 60_000)
            for end in ends:
                quarantine.end_trial(Q, end)
                admissions.append(await quarantine.admit(Q, monotonic()))
            return admissions, len(links.calls)

        admissions, calls = curio.run(main)
        self.assertEqual(admissions.count(Admitted(True, True)), expected_admissions)
        self.assertEqual(calls, permit_queries)


class TestUnusedPermits(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        core = StubPeers()
        self.core = CoreQuarantine(core, self.folder, list)
        self.hosts, self.links = [], []
        for name in ("e1", "e2"):
            links = LinkedPeers(name, core)
            table = CrashTable()
            add_crashes(table, "q", 3)
            add_crashes(table, "*q", 3)
            self.links.append(links)
            self.hosts.append(Quarantine(table, links, lambda: ["c1"], Metrics()))

    def core_quarantine(self):
        return CoreQuarantine(StubPeers(), self.folder, list)

    def admit(self, number):
        return curio.run(self.hosts[number].admit, Q, monotonic())

    def wait(self, number, seconds):
        self.hosts[number]._return_unused(monotonic() + seconds)

    async def admitted_by(self, host):
        async with curio.timeout_after(20.0):
            while isinstance(admission := await host.admit(Q, monotonic()), Blocked):
                await curio.sleep(0.05)
        return admission

    def test_unused_permit_passes_to_another_host(self):
        """Guards against a permit that lies unused while other hosts block."""

        async def main():
            first, second = self.hosts
            await first.start()
            await first.admit(Q, monotonic())
            first.end_trial(Q, TrialEnd.NOT_SENT)
            denied = await second.admit(Q, monotonic())
            admission = await self.admitted_by(second)
            return denied, admission, await first.admit(Q, monotonic())

        denied, admission, again = curio.run(main)
        self.assertIsInstance(denied, Blocked)
        self.assertEqual(admission, Admitted(True, True))
        self.assertIsInstance(again, Blocked)

    def test_permit_whose_reply_was_lost_passes_to_another_host(self):
        """Guards against a permit that is used up as its reply didn't arrive."""

        async def main():
            first, second = self.hosts
            self.links[0].loses_replies = True
            self.links[0].loses_posts = 1
            await first.start()
            denied = [await host.admit(Q, monotonic()) for host in self.hosts]
            return denied, await self.admitted_by(second)

        denied, admission = curio.run(main)
        self.assertEqual([type(each) for each in denied], [Blocked, Blocked])
        self.assertEqual(admission, Admitted(True, True))

    def test_repeated_return_does_not_take_the_next_permit_back(self):
        """Guards against two trials because the return of a permit arrived twice."""
        self.admit(0)
        self.hosts[0].end_trial(Q, TrialEnd.NOT_SENT)
        self.wait(0, UNUSED_PERMIT_RETENTION + 0.1)
        self.assertEqual(self.admit(0), Admitted(True, True))
        self.hosts[0].end_trial(Q, TrialEnd.USED)
        self.wait(0, UNUSED_PERMIT_RETENTION + 0.2)
        self.assertIsInstance(self.admit(1), Blocked)

    @params(
        # outcomes of the permitted trials, whether the request is blocked then
        ([TrialEnd.USED], True),
        ([TrialEnd.TURNED_AWAY, TrialEnd.TURNED_AWAY], True),
        ([TrialEnd.TURNED_AWAY], False),
        ([TrialEnd.NOT_SENT], False),
    )
    def test_used_permit_is_known_to_another_core_host(self, ends, blocked):
        """Guards against another permit after the core host that granted one is
        lost or has restarted."""
        other = self.core_quarantine()
        for end in ends:
            self.admit(0)
            if end is TrialEnd.USED:
                self.hosts[0].note_trial_failed(Q)
            self.hosts[0].end_trial(Q, end)
        for _, message in self.links[0].posted:
            if isinstance(message, CrashNotice):
                other.table.merge(message.cases, monotonic())
        expected = SuspicionLevel.HELD if blocked else SuspicionLevel.CLEAR
        self.assertIs(other.table.standing("q"), expected)
        reply = other._answer_trial("*q", PermitQuery("e2", 1))
        self.assertEqual(reply.granted, not blocked)

    def test_used_permit_outlasts_restarts(self):
        """Guards against another permit after all core hosts have restarted."""

        async def main():
            core = self.core_quarantine()
            add_crashes(core.table, "*q", 3)
            core.table.record_trial("*q", monotonic())
            await core._save()
            restarted = self.core_quarantine()
            await restarted._load()
            return restarted._answer_trial("*q", PermitQuery("e1", 1))

        reply = curio.run(main)
        self.assertFalse(reply.granted)
        self.assertGreater(reply.retry_ms, 0)

    def test_trial_without_a_permit_uses_none_up(self):
        """Guards against blocking a suspect whose trial crashed the third target."""
        host, table, _ = make_quarantine(TrialReply(True, 0))
        add_crashes(table, "q", 2)
        first = curio.run(host.admit, Q, monotonic())
        add_crashes(table, "q", 3)
        host.note_trial_failed(Q)
        host.end_trial(Q, TrialEnd.USED)
        second = curio.run(host.admit, Q, monotonic())
        self.assertEqual((first, second), (Admitted(True), Admitted(True, True)))

    def test_forwarded_trial_is_judged_where_it_ran(self):
        """Guards against blocking a request that another region has just answered."""
        self.admit(0)
        self.hosts[0].end_trial(Q, TrialEnd.USED)
        table = self.hosts[0]._table
        self.assertIs(table.standing("q"), SuspicionLevel.DOUBTFUL)

    def test_answered_trial_clears_the_request(self):
        """Guards against blocking a request that a target has answered on trial."""
        self.admit(0)
        self.hosts[0].record_answered(Q)
        self.hosts[0].end_trial(Q, TrialEnd.USED)
        self.assertEqual(self.admit(0), Admitted())

    def test_blocked_by_its_trial_does_not_clear_others(self):
        """Guards against sparing the cause because another request is blocked."""
        table = CrashTable()
        for number in range(4):
            crash_records = {n: CrashRecord(monotonic(), True) for n in ("q", "cause")}
            table.record_crash(crash_records, "s", f"t{number}", monotonic())
        table.record_trial("q", monotonic())
        self.assertIs(table.standing("q"), SuspicionLevel.HELD)
        self.assertIs(table.standing("cause"), SuspicionLevel.DOUBTFUL)

    def test_disturbed_trial_is_repeated_once(self):
        """Guards against blocking an unrelated request that was tried beside the
        harmful one, and against trials without end."""
        tables = [self.core.table, *(host._table for host in self.hosts)]
        for table in tables:
            for name in ("p", "*p"):
                add_crashes(table, name, 3)
        admissions = []
        for number, host in enumerate(self.hosts):
            admissions.append(self.admit(number))
            host.note_trial_failed(Q)
            cases = host._table.select_cases(monotonic(), 16)
            for table in tables:
                table.merge(cases, monotonic())
                crash_records = {
                    name: CrashRecord(monotonic(), True)
                    for name in ("q", "*q", "p", "*p")
                }
                crashed = f"t{3 + number}"
                table.record_crash(crash_records, "s", crashed, monotonic())
            host.end_trial(Q, TrialEnd.USED)
        admissions += [self.admit(0), self.admit(1)]
        self.assertEqual(admissions[:2], [Admitted(True, True)] * 2)
        self.assertEqual([type(each) for each in admissions[2:]], [Blocked] * 2)

    @params(TrialEnd.USED, TrialEnd.TURNED_AWAY)
    def test_permit_that_reached_a_target_is_not_returned(self, end):
        """Guards against a further arrival on each host that gets the permit."""
        self.admit(0)
        self.hosts[0].end_trial(Q, end)
        self.wait(0, UNUSED_PERMIT_RETENTION + 0.1)
        self.assertIsInstance(self.admit(1), Blocked)


class TestCoreQuarantine(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def core_quarantine(self):
        links = StubPeers()
        return CoreQuarantine(links, self.folder, lambda: ["e1", "e2"]), links

    def test_restart_of_all_hosts_keeps_records(self):
        async def main():
            core_quarantine, _ = self.core_quarantine()
            await core_quarantine.start()
            add_crashes(core_quarantine.table, "q", 3, alone=True)
            await core_quarantine._save()
            await core_quarantine.close()
            restarted, _ = self.core_quarantine()
            await restarted.start()
            await restarted.close()
            return restarted.table.standing("q"), restarted.table.blocked_for(
                "q", monotonic()
            )

        standing, time_left = curio.run(main)
        self.assertIs(standing, SuspicionLevel.HELD)
        self.assertAlmostEqual(time_left, RETENTION, delta=60.0)

    def test_damaged_file_does_not_prevent_the_start(self):
        (self.folder / "quarantine.snapshot").write_bytes(b"damaged")

        async def main():
            core_quarantine, _ = self.core_quarantine()
            await core_quarantine.start()
            await core_quarantine.close()
            return len(core_quarantine.table)

        self.assertEqual(curio.run(main), 0)

    def test_new_standing_is_pushed_to_entry_hosts(self):
        """Guards against another crash through an entry host that hasn't synced yet."""

        async def main():
            core_quarantine, links = self.core_quarantine()
            seen = CrashTable()
            add_crashes(seen, "q", 1)
            notice = CrashNotice(seen.select_cases(monotonic(), 16))
            await links.handler("e1", notice)
            before = len(links.posted)
            add_crashes(seen, "q", 3, alone=True)
            await links.handler("e1", CrashNotice(seen.select_cases(monotonic(), 16)))
            return before, [peer for peer, _ in links.posted]

        self.assertEqual(curio.run(main), (0, ["e1", "e2"]))

    @params((3, False, [True, False]), (0, False, [True, False]))
    def test_permits_for_trials(self, crashes, alone, expected):
        async def main():
            core_quarantine, links = self.core_quarantine()
            add_crashes(core_quarantine.table, "q", crashes, alone)
            replies = [await links.handler("e1", TrialRequest("q")) for _ in range(2)]
            return [reply.granted for reply in replies]

        self.assertEqual(curio.run(main)[: len(expected)], expected)

    def test_operator_releases_a_request(self):
        core_quarantine, _ = self.core_quarantine()
        add_crashes(core_quarantine.table, "*q", 3)
        add_crashes(core_quarantine.table, "q", 3, alone=True)
        (listed,) = core_quarantine.listed()
        self.assertEqual((listed.fingerprint, listed.standing), ("q", "held"))
        self.assertEqual(len(listed.crashes), 3)
        self.assertGreater(listed.seconds_left, 0.0)
        self.assertTrue(core_quarantine.release("q"))
        self.assertFalse(core_quarantine.release("q"))
        self.assertEqual(core_quarantine.listed(), [])

    def test_crash_reported_after_a_release_does_not_block_again(self):
        """Guards against reporting a release of a request that wasn't blocked."""
        core_quarantine, _ = self.core_quarantine()
        add_crashes(core_quarantine.table, "q", 3, alone=True)
        self.assertTrue(core_quarantine.release("q"))
        late = {"q": CrashRecord(monotonic(), True)}
        core_quarantine.table.record_crash(late, "s", "t-late", monotonic())
        self.assertFalse(core_quarantine.release("q"))


if __name__ == "__main__":
    unittest.main()
