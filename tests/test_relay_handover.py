"""What becomes of a run for which a replacement has been found."""

import unittest
from functools import partial
from types import SimpleNamespace

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_node.fleet import RouteKind, ServedRoute
from bronzepoint_node.quarantine import SuspicionLevel
from bronzepoint_node.relay._call import Answered, Call, MayHaveRun
from bronzepoint_node.relay._handover import Handover
from bronzepoint_node.relay._run_watch import Sign
from bronzepoint_node.relay._sender import Sender

ANSWER = Answered(200, {}, b"whole")


class Watch:
    """Reports a sign at once."""

    def due_sign(self, now):
        return Sign.SILENT


class SenderAtHandover(Sender):
    """Sender that always finds a replacement.

    Attributes:
        is_answered: Whether the answer comes while the replacement is claimed.
    """

    def __init__(self, is_answered):
        self.is_answered = is_answered
        self.answer_came = curio.Event()

    async def _hand_over(self, call, watch):
        call.successor = "place"
        if self.is_answered:
            await self.answer_came.set()
        return True

    async def run_once(self, call):
        return await self._run(call, Watch(), self._wait_for_answer())

    async def _wait_for_answer(self):
        await self.answer_came.wait()
        return ANSWER


def outcome(is_answered):
    call = SimpleNamespace(route=SimpleNamespace(repeatable=True), successor=None)
    found = curio.run(SenderAtHandover(is_answered).run_once, call)
    return found, call.successor


class Exchange:
    started = False


def forwarded_call(attempts):
    """Return a request that this host has forwarded once."""
    route = ServedRoute("r", "h", "/", RouteKind.IDEMPOTENT, 5.0, 1.0, 0, (), attempts)
    call = Call(Exchange(), None, route, b"", 0.0, monotonic() + 60.0, False, None)
    call.notes.append("forwarded")
    call.origin = SimpleNamespace(service="s")
    return call


class Parts:
    """Stands in for what a handover asks; everything is free and permitted.

    Attributes:
        retries: Retries taken.
        on_search: Called while a place is looked for.
    """

    def __init__(self):
        self.retries = 0
        self.on_search = None

    def still_admits(self, call):
        return True

    async def check(self, call):
        return None

    def standing(self, fingerprints):
        return SuspicionLevel.CLEAR

    def has_left(self, service, now):
        return True

    def take(self, service, deliveries, now):
        self.retries += 1
        return True

    async def find_free(self, call):
        if self.on_search is not None:
            self.on_search()
        return "place"


class ConnectedHandover(Handover):
    async def _is_connected(self, placement):
        return True


def make_handover():
    parts = Parts()
    shared = [parts] * 5
    return ConnectedHandover(*shared, None, None, None, Metrics()), parts


class TestLentRuns(unittest.TestCase):
    def test_attempt_that_is_lent_meanwhile_is_not_used_here_too(self):
        """Guards against a stream that is broken off because the last attempt was lent
        while its host looked for another place."""
        handover, parts = make_handover()
        call = forwarded_call(attempts=2)
        parts.on_search = lambda: self.assertTrue(handover.lend_run(call))
        successor = curio.run(partial(handover.find, call, running=True))
        self.assertFalse(handover.claim(call, successor))
        self.assertEqual((call.successor, parts.retries), (None, 1))

    def test_attempt_that_is_taken_is_not_lent(self):
        """Guards against a run that is lent to a host whose run is just left."""
        handover, parts = make_handover()
        call = forwarded_call(attempts=2)
        successor = curio.run(partial(handover.find, call, running=True))
        self.assertTrue(handover.claim(call, successor))
        self.assertFalse(handover.lend_run(call))
        self.assertEqual((call.lent_runs, parts.retries), (0, 1))


class TestLeave(unittest.TestCase):
    def test_answer_that_comes_at_that_moment_is_used(self):
        """Guards against a second run of a request that has been answered."""
        self.assertEqual(outcome(True), (ANSWER, None))

    def test_run_without_an_answer_is_left(self):
        expected = MayHaveRun(Sign.SILENT.value, True, unread=True)
        self.assertEqual(outcome(False), (expected, "place"))


if __name__ == "__main__":
    unittest.main()
