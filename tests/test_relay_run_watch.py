"""A run is left only for a place that can take over; the search delays no answer."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.fleet import RouteKind, ServedRoute
from bronzepoint_node.relay._call import Answered, Call, MayHaveRun
from bronzepoint_node.relay._codec import CallerHead
from bronzepoint_node.relay._run_watch import (
    SEARCH_INTERVAL,
    RunWatch,
    Sign,
    event_patience,
    head_patience,
)
from bronzepoint_node.relay._sender import Sender

ROUTE = ServedRoute("r", "h", "/", RouteKind.IDEMPOTENT, 5.0, 1.0, 0, (), 3)
ANSWER = Answered(200, {}, b"whole")
MAX_WAIT = 20.0
"""Seconds after which a run that doesn't end fails the test."""


class FakeTry:
    def __init__(self, progress_at=0.0, received_events=0):
        self.progress_at = progress_at
        self.received_events = received_events
        self.is_sending_on = False


class FakeHandover:
    """Finds a place, or none, or fails; counts its searches.

    Attributes:
        searched: Set once a search has ended.
    """

    def __init__(self, found, claims=True):
        self.found = found
        self.claims = claims
        self.searched = curio.Event()

    async def find(self, call, *, running):
        await self.searched.set()
        if isinstance(self.found, Exception):
            raise self.found
        return self.found

    def claim(self, call, successor):
        return self.claims


async def confirmed():
    return True


def watch(attempt, unreachable=False, is_confirmed=confirmed):
    return RunWatch(attempt, 1.0, lambda: 2.0, lambda: unreachable, is_confirmed)


def make_call():
    now = monotonic()
    head = CallerHead("id", "h", 5.0, None, None, {})
    return Call(None, head, ROUTE, b"", now, now + 5.0, False, None)


async def run_with(handover, run, is_confirmed=confirmed):
    sender = Sender(*[None] * 10, handover, None, None, None)
    watched = watch(FakeTry(), unreachable=True, is_confirmed=is_confirmed)
    async with curio.timeout_after(MAX_WAIT):
        return await sender._run(make_call(), watched, run)


class TestSigns(unittest.TestCase):
    @params(
        # events, seconds without progress, unreachable, sign
        (0, 0.9, False, None),
        (0, 1.1, False, Sign.SILENT),
        (1, 1.1, False, None),
        (1, 2.1, False, Sign.SILENT),
        (1, 0.1, True, None),
        (1, 0.2, True, Sign.UNREACHABLE),
    )
    def test_sign(self, events, idle, unreachable, expected):
        watched = watch(FakeTry(100.0, events), unreachable)
        self.assertIs(watched.due_sign(100.0 + idle), expected)

    def test_search_is_repeated_less_and_less_often(self):
        """Guards against a query of the scheduler at each check of a silent run."""
        watched = watch(FakeTry(), unreachable=True)
        now, searches = 10.0, []
        while now < 20.0:
            if watched.due_sign(now) is not None:
                searches.append(now)
                watched.note_search(now)
            now += 0.05
        pauses = [b - a for a, b in zip(searches, searches[1:], strict=False)]
        expected = [SEARCH_INTERVAL * 2**n for n in range(len(pauses))]
        for found, wanted in zip(pauses, expected, strict=True):
            self.assertAlmostEqual(found, wanted, delta=0.06)

    def test_progress_ends_the_pause_between_searches(self):
        attempt = FakeTry()
        watched = watch(attempt, unreachable=True)
        watched.note_search(10.0)
        self.assertIsNone(watched.due_sign(10.1))
        attempt.progress_at = 10.2
        self.assertTrue(watched.has_progressed())
        self.assertIs(watched.due_sign(10.4), Sign.UNREACHABLE)

    @params(
        # expected delay, time left, patience
        (0.0, 10.0, 1.0),
        (1.0, 10.0, 3.5),
        (1.0, 2.0, 1.2),
        (1.0, 0.0, 0.2),
    )
    def test_head_patience(self, delay, left, expected):
        self.assertAlmostEqual(head_patience(delay, left), expected)

    @params((0.0, 0.0, 1.0), (0.2, 0.1, 1.0), (0.6, 0.1, 1.8), (0.1, 0.5, 1.5))
    def test_usual_pauses_are_no_sign(self, gap, pace, expected):
        self.assertAlmostEqual(event_patience(gap, pace), expected)


class TestRun(unittest.TestCase):
    def test_answer_is_not_delayed_by_the_search(self):
        """Guards against an answer that waits for a host that doesn't reply."""

        async def main():
            asked = curio.Event()

            async def never_confirmed():
                await asked.set()
                await curio.Event().wait()

            async def answer_once_asked():
                await asked.wait()
                return ANSWER

            return await run_with(None, answer_once_asked(), never_confirmed)

        self.assertIs(curio.run(main), ANSWER)

    @params(
        # what is found, whether its retry can be taken
        (None, True),
        ("a place", False),
        (ValueError("fails"), True),
    )
    def test_run_goes_on_without_a_successor(self, found, claims):
        """Guards against ending a run whose replacement isn't in hand."""

        async def main():
            handover = FakeHandover(found, claims)

            async def answer_after_search():
                await handover.searched.wait()
                await curio.sleep(0.05)
                return ANSWER

            return await run_with(handover, answer_after_search())

        self.assertIs(curio.run(main), ANSWER)

    def test_run_is_left_for_a_successor(self):
        async def main():
            return await run_with(FakeHandover("a place"), curio.sleep(MAX_WAIT))

        outcome = curio.run(main)
        self.assertEqual(outcome, MayHaveRun("timeout", True, unread=True))

    def test_failure_of_a_run_is_raised(self):
        async def main():
            async def fail():
                raise ValueError("broken")

            await run_with(FakeHandover(None), fail())

        with self.assertRaises(ValueError):
            curio.run(main)


if __name__ == "__main__":
    unittest.main()
