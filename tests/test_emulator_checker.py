"""The soak test's checker detects violations; schedules are reproducible."""

import unittest

from nose2.tools import params

from bronzepoint_emulator.deployment import saphan
from bronzepoint_emulator.soak import (
    CallEvent,
    CallKind,
    CallOutcome,
    ChangeEvent,
    FaultKind,
    History,
    ViewEvent,
    check,
    draw_schedule,
)
from bronzepoint_emulator.soak._history import FinalState
from bronzepoint_emulator.soak._worker_threads import WorkerThreads

NONCE = "n1"
SERVICE, REMOTE = "bkk-phrases", "sgp-phrases"
REGIONS = {SERVICE: "bkk", REMOTE: "sgp"}
ONCE = {SERVICE: {NONCE: 1}}


def call(**fields):
    values = {
        "began": 0.0,
        "ended": 1.0,
        "host": "bkk-1",
        "home": "bkk",
        "kind": CallKind.save,
        "nonce": NONCE,
        "key": "k1",
        "outcome": CallOutcome.answered,
        "echo": NONCE,
        "whole": True,
        "body": b"1",
    }
    return CallEvent(**(values | fields))


def refused(ran):
    return call(outcome=CallOutcome.refused, ran=ran, echo="", whole=False)


def change(**fields):
    values = {
        "began": 0.0,
        "ended": 1.0,
        "operator": "anong",
        "host": "bkk-1",
        "change_id": "c1",
        "version": 2,
        "value": 7,
        "outcome": CallOutcome.answered,
        "revision": 9,
    }
    return ChangeEvent(**(values | fields))


def view(**fields):
    values = {
        "began": 0.0,
        "ended": 1.0,
        "host": "bkk-1",
        "revision": 9,
        "version": 2,
        "value": 7,
    }
    return ViewEvent(**(values | fields))


def found(events, runs=None, versions=None, values=None):
    history = History()
    for event in events:
        history.add(event)
    final = FinalState(
        runs=runs or {},
        target_regions=REGIONS,
        versions=versions or {},
        values=values or {},
    )
    return [violation.rule for violation in check(history, final)]


class CheckerTest(unittest.TestCase):
    @params(
        ([call()], ONCE, []),
        ([call(outcome=CallOutcome.lost), call()], ONCE, []),
        ([refused("unknown")], ONCE, []),
        ([refused("no")], {}, []),
        ([call()], {SERVICE: {NONCE: 2}}, ["at most once"]),
        ([call(outcome=CallOutcome.lost)] * 2, {SERVICE: {NONCE: 2}}, ["at most once"]),
        ([call()], {}, ["answered requests ran"]),
        ([refused("no")], ONCE, ["refusals are accurate"]),
        ([call()], {REMOTE: {NONCE: 1}}, ["residency holds"]),
        ([call(kind=CallKind.chat, key="")], {REMOTE: {NONCE: 1}}, []),
        ([call(echo="n2")], ONCE, ["answers match their requests"]),
        ([call(whole=False)], ONCE, ["answers are complete"]),
        ([call(), call(body=b"2")], ONCE, ["a key has one answer"]),
    )
    def test_calls(self, events, runs, rules):
        self.assertEqual(found(events, runs), rules)

    @params(
        ([change(), change()], {"a": 2}, {"a": 7}, []),
        ([change(), change(revision=10)], {}, {}, ["a change is applied once"]),
        (
            [change(), change(outcome=CallOutcome.refused)],
            {},
            {},
            ["a change is answered consistently"],
        ),
        (
            [change(), change(change_id="c2", value=8)],
            {},
            {},
            ["one change for each version"],
        ),
        ([change()], {"a": 1}, {"a": 5}, ["accepted changes are never lost"]),
        ([change()], {"a": 2}, {"a": 5}, ["accepted changes are never lost"]),
        ([change()], {"a": 3}, {"a": 5}, []),
        ([change(outcome=CallOutcome.lost)], {"a": 1}, {"a": 5}, []),
        ([change(), view(value=8)], {}, {}, ["hosts show accepted changes"]),
        (
            [view(), view(host="sgp-1", value=8)],
            {},
            {},
            ["hosts agree on each version"],
        ),
        (
            [view(), view(revision=8, version=1, value=6)],
            {},
            {},
            ["revisions never go back"],
        ),
        ([view(), view(host="sgp-1", revision=8, version=1, value=6)], {}, {}, []),
    )
    def test_changes_and_views(self, events, versions, values, rules):
        self.assertEqual(found(events, {}, versions, values), rules)


class WorkerThreadsTest(unittest.TestCase):
    def test_failed_worker_is_reported(self):
        """Guards against a run whose callers failed being reported as clean."""

        class Failing:
            def run(self):
                raise KeyError("kind")

        class Finishing:
            def run(self):
                return

        threads = WorkerThreads([Failing(), Finishing()])
        threads.start()
        self.assertEqual(threads.close(), ["worker Failing failed: KeyError('kind')"])


class ScheduleTest(unittest.TestCase):
    def test_same_seed_gives_the_same_schedule(self):
        layout = saphan()
        first = draw_schedule(layout, 60.0, 5)
        self.assertEqual(first, draw_schedule(layout, 60.0, 5))
        self.assertNotEqual(first, draw_schedule(layout, 60.0, 6))

    def test_disk_is_wiped_only_after_repair_of_the_last(self):
        faults = draw_schedule(saphan(), 600.0, 1)
        wipes = [fault for fault in faults if fault.kind is FaultKind.wipe]
        self.assertGreater(len(wipes), 1)
        for before, after in zip(wipes, wipes[1:], strict=False):
            self.assertGreaterEqual(after.at - before.until, 45.0)
