"""What becomes of a run for which a replacement has been found."""

import unittest
from types import SimpleNamespace

import curio

from bronzepoint_node.relay._call import Answered, MayHaveRun
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


class TestLeave(unittest.TestCase):
    def test_answer_that_comes_at_that_moment_is_used(self):
        """Guards against a second run of a request that has been answered."""
        self.assertEqual(outcome(True), (ANSWER, None))

    def test_run_without_an_answer_is_left(self):
        expected = MayHaveRun(Sign.SILENT.value, True, unread=True)
        self.assertEqual(outcome(False), (expected, "place"))


if __name__ == "__main__":
    unittest.main()
