"""Detection of target crashes and of the requests that were running there."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.quarantine import (
    CrashDetector,
    RequestFingerprints,
    fingerprint_request,
)
from bronzepoint_node.quarantine._crash_detector import (
    CONTACT_MARGIN,
    EARLY_PHASE,
    RECHECK_DELAYS,
)
from bronzepoint_schema.generated.fleet import TargetInfo


def target(name="t-1", address="10.0.0.1:80", leaving=False):
    return TargetInfo(name, "s", address, "x-a", 6, leaving, 0)


class Recorder:
    """A crash detector, its reports, and a target that may refuse connections."""

    def __init__(self):
        self.refused = False
        self.checks = 0
        self.crashes = []
        self.answered = []
        self.survived = []
        self.failed_trials = []
        self.crash_detector = CrashDetector(self._is_refused, self, Metrics())

    def note_crash(self, crash):
        self.crashes.append(crash)

    def note_survived(self, fingerprints):
        self.survived.append(fingerprints.exact)

    def note_trial_failed(self, fingerprints):
        self.failed_trials.append(fingerprints.exact)

    def record_answered(self, fingerprints):
        self.answered.append(fingerprints.exact)

    async def _is_refused(self, address):
        self.checks += 1
        await curio.sleep(0.01)
        return self.refused

    def begin(self, name, info, event=False):
        run = self.crash_detector.begin(info, RequestFingerprints(name, f"*{name}"))
        if event:
            self.crash_detector.record_event(info, run)
        return run

    def reported(self):
        return [sorted(run.fingerprints.exact for run in c.runs) for c in self.crashes]


class TestFingerprint(unittest.TestCase):
    BASE = ("h", "/a/b?c=1", "10.0.0.9", b"body")

    @params(
        ("g", *BASE[1:]),
        ("h", "/a/b?c=2", *BASE[2:]),
        ("h", "/a/b?c=1", "10.0.0.8", b"body"),
        (*BASE[:3], b"other"),
        # the same bytes with another boundary between the parts
        ("h/", "a/b?c=1", *BASE[2:]),
    )
    def test_each_part_counts(self, *other):
        fingerprints, others = (
            fingerprint_request(*self.BASE),
            fingerprint_request(*other),
        )
        self.assertEqual(fingerprints, fingerprint_request(*self.BASE))
        self.assertNotEqual(fingerprints.exact, others.exact)
        same_caller = self.BASE[2] == other[2]
        self.assertEqual(fingerprints.content == others.content, not same_caller)

    def test_text_form_holds_both_fingerprints(self):
        fingerprints = fingerprint_request(*self.BASE)
        self.assertEqual(RequestFingerprints.parse(str(fingerprints)), fingerprints)

    @params("", "x", "x y", "* *", f"{'0' * 32} x")
    def test_invalid_text_gives_empty_fingerprints(self, text):
        self.assertEqual(RequestFingerprints.parse(text), RequestFingerprints())


class TestCrashDetector(unittest.TestCase):
    @params((True, [["a", "b"]]), (False, []))
    def test_reset_by_a_listening_target_is_no_crash(self, refused, reported):
        async def main():
            recorder = Recorder()
            recorder.refused = refused
            runs = [recorder.begin(name, target()) for name in ("a", "b")]
            for run in runs:
                recorder.crash_detector.record_failure(target(), run)
            async with curio.TaskGroup() as group:
                for _ in runs:
                    await group.spawn(recorder.crash_detector.check_crash, target())
            return recorder

        recorder = curio.run(main)
        self.assertEqual(recorder.reported(), reported)
        self.assertEqual(recorder.checks, 1)

    @params(
        # whether the target refuses connections, shows activity, ran past the early
        # phase; what was recorded
        (True, False, False, ([["a"]], [])),
        (False, False, False, ([], ["a"])),
        (True, True, False, ([], ["a"])),
        (True, False, True, ([], ["a"])),
    )
    def test_answer_that_ends_with_its_connection(
        self, refused, active, late, expected
    ):
        """Guards against a crash that looks like the end of a whole answer."""

        async def main():
            recorder = Recorder()
            recorder.refused = refused
            run = recorder.begin("a", target(), event=True)
            if late:
                run.first_event_at -= 2 * EARLY_PHASE
            detector = recorder.crash_detector
            confirm = await curio.spawn(detector.confirm_answered, target(), run)
            if active:
                await curio.sleep(0)
                detector.record_contact(target(), monotonic() + 2 * CONTACT_MARGIN)
            await confirm.join()
            return recorder.reported(), recorder.answered

        self.assertEqual(curio.run(main), expected)

    def test_end_of_a_target_that_said_it_leaves_is_no_crash(self):
        """Guards against blaming requests for the end of a target that was to end."""

        async def main():
            recorder = Recorder()
            recorder.refused = True
            run = recorder.begin("a", target())
            recorder.crash_detector.record_leaving(target())
            recorder.crash_detector.record_failure(target(), run)
            await recorder.crash_detector.check_crash(target())
            recorder.crash_detector.record_replacement(target())
            return recorder.reported()

        self.assertEqual(curio.run(main), [])

    def test_target_that_still_accepts_connections_is_checked_again(self):
        """Guards against missing a crash because the target's socket was still open."""

        async def main():
            recorder = Recorder()
            run = recorder.begin("a", target())
            recorder.crash_detector.record_failure(target(), run)
            ended = await recorder.crash_detector.check_crash(target())
            recorder.refused = True
            async with curio.timeout_after(20.0):
                while not recorder.crashes:
                    await curio.sleep(0.01)
            return ended, recorder.reported()

        self.assertEqual(curio.run(main), (False, [["a"]]))

    def test_target_that_runs_is_checked_a_few_times_only(self):
        """Guards against connections without end to a target that resets requests."""

        async def main():
            recorder = Recorder()
            run = recorder.begin("a", target())
            recorder.crash_detector.record_failure(target(), run)
            async with curio.TaskGroup() as group:
                for _ in range(3):
                    await group.spawn(recorder.crash_detector.check_crash, target())
            async with curio.timeout_after(20.0):
                while recorder.checks < expected:
                    await curio.sleep(0.01)
            await curio.sleep(2 * max(RECHECK_DELAYS))
            return recorder.checks, recorder.reported()

        expected = 1 + len(RECHECK_DELAYS)
        self.assertEqual(curio.run(main), (expected, []))

    def test_leaving_target_has_not_crashed(self):
        async def main():
            recorder = Recorder()
            recorder.refused = True
            run = recorder.begin("a", target())
            recorder.crash_detector.record_failure(target(), run)
            ended = await recorder.crash_detector.check_crash(target(leaving=True))
            return ended, recorder.reported()

        self.assertEqual(curio.run(main), (False, []))

    @params(
        # incarnation listed at the address, its service, reported runs
        ("t-2", "s", [["a"]]),
        ("t-1", "s", []),
        # an address is reassigned to another service only after its target has ended
        ("t-2", "other", [["a"]]),
    )
    def test_unresponsive_target_has_crashed_once_it_restarts(
        self, name, service, reported
    ):
        """Guards against missing the crash of a target that hangs and restarts."""
        recorder = Recorder()
        recorder.crash_detector.record_list([target()])
        run = recorder.begin("a", target())
        recorder.crash_detector.record_failure(target(), run)
        listed = TargetInfo(name, service, "10.0.0.1:80", "x-a", 6, False, 0)
        recorder.crash_detector.record_list([target(), listed])
        self.assertEqual(recorder.reported(), reported)

    def test_run_on_an_unresponsive_target_is_reported_when_it_ends(self):
        recorder = Recorder()
        recorder.crash_detector.record_list([target()])
        run = recorder.begin("a", target())
        recorder.crash_detector.record_list([target("t-2")])
        self.assertEqual(recorder.reported(), [])
        recorder.crash_detector.record_failure(target(), run)
        self.assertEqual(recorder.reported(), [["a"]])

    def test_older_incarnation_that_stays_listed_is_not_newer(self):
        """Guards against blaming runs for connection resets by a healthy target."""
        recorder = Recorder()
        recorder.crash_detector.record_list([target("t-1")])
        recorder.crash_detector.record_list([target("t-1"), target("t-2")])
        run = recorder.begin("a", target("t-2"))
        recorder.crash_detector.record_failure(target("t-2"), run)
        recorder.crash_detector.record_list([target("t-2"), target("t-1")])
        self.assertEqual(recorder.reported(), [])

    def test_older_incarnation_that_is_listed_again_is_not_newer(self):
        """Guards against blaming runs at a healthy target because one reading of the
        list lacked the former incarnation at its address."""
        recorder = Recorder()
        recorder.crash_detector.record_list([target("t-1"), target("t-2")])
        run = recorder.begin("a", target("t-2"))
        recorder.crash_detector.record_failure(target("t-2"), run)
        recorder.crash_detector.record_list([target("t-2")])
        recorder.crash_detector.record_list([target("t-2"), target("t-1")])
        self.assertEqual(recorder.reported(), [])

    def test_run_that_failed_before_the_last_contact_is_not_reported(self):
        """Guards against blaming a run that timed out long before the crash."""

        async def main():
            recorder = Recorder()
            early, late = recorder.begin("a", target()), recorder.begin("b", target())
            recorder.crash_detector.record_failure(target(), early)
            await curio.sleep(0.25)
            recorder.crash_detector.record_event(target(), late)
            recorder.crash_detector.record_failure(target(), late)
            recorder.crash_detector.record_replacement(target())
            return recorder.reported()

        self.assertEqual(curio.run(main), [["b"]])

    def test_run_that_fails_after_the_detection_is_reported_too(self):
        async def main():
            recorder = Recorder()
            recorder.refused = True
            first, second = recorder.begin("a", target()), recorder.begin("b", target())
            recorder.crash_detector.record_failure(target(), first)
            await recorder.crash_detector.check_crash(target())
            recorder.crash_detector.record_failure(target(), second)
            return recorder.reported()

        self.assertEqual(curio.run(main), [["a"], ["b"]])

    @params((0.0, True), (0.2, True), (5.0, False))
    def test_early_and_late_crashes_of_a_run(self, runtime, early):
        recorder = Recorder()
        run = recorder.begin("a", target(), event=True)
        run.first_event_at -= runtime
        recorder.crash_detector.record_event(target(), run)
        recorder.crash_detector.record_failure(target(), run)
        self.assertEqual(run.is_early, early)
        self.assertEqual(recorder.survived, [] if early else ["a"])

    @params(
        # quiet, another run was sent there meanwhile, expected to count as alone
        (True, False, True),
        (True, True, False),
        (False, False, False),
    )
    def test_suspect_counts_as_alone(self, quiet, overlapped, alone):
        """Guards against blaming a suspect for another run that began with it."""
        recorder = Recorder()
        fingerprints = RequestFingerprints("q", "*q")
        run = recorder.crash_detector.begin(
            target(), fingerprints, suspect=True, quiet=quiet
        )
        if overlapped:
            recorder.begin("a", target())
        recorder.crash_detector.record_failure(target(), run)
        self.assertEqual(run.is_alone, alone)
        self.assertEqual(recorder.failed_trials, ["q"])


if __name__ == "__main__":
    unittest.main()
