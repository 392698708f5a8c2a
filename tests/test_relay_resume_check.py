"""Requests held back after a pause until the core confirms what a host knows."""

import unittest
from unittest import mock

import curio
from nose2.tools import params

from bronzepoint_common import pause_detector
from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.pause_detector import PauseDetector
from bronzepoint_node.placement import LocalPlacement
from bronzepoint_node.relay import CallerHead, ResumeCheck, Sender
from bronzepoint_node.relay._authenticator import CONFIRM_WAIT, CONFIRMED_WITHIN
from bronzepoint_node.relay._call import Answered, Call
from tests.test_relay_request_intake import CONFIRMED, OUTDATED, SyncClient, receive

PAUSE = 3.0
"""Seconds for which the process didn't run."""
STILL_OUTDATED = CONFIRMED_WITHIN + PAUSE
LONG_DEADLINE = 5.0
"""Seconds that a request has left."""


def just_resumed(resumed):
    return mock.patch.object(PauseDetector, "has_just_resumed", lambda self: resumed)


class TestResumeCheck(unittest.TestCase):
    @params(
        # pause, seconds since it, age of what is known, whether it is outdated
        (0.0, 0.0, STILL_OUTDATED, False),
        (0.2, 0.0, STILL_OUTDATED, False),
        (PAUSE, 0.0, STILL_OUTDATED, True),
        (PAUSE, 0.0, CONFIRMED, False),
        (PAUSE, CONFIRM_WAIT / 2, STILL_OUTDATED, True),
        # A host that the core doesn't reach serves by what it knows.
        (PAUSE, CONFIRM_WAIT + 0.1, STILL_OUTDATED, False),
    )
    def test_knowledge_is_outdated_after_a_pause(self, pause, since, age, expected):
        """Guards against requests sent by what a host knew before a pause."""
        now = [0.0]
        with mock.patch.object(pause_detector, "monotonic", lambda: now[0]):
            check = ResumeCheck(SyncClient(age), Metrics())
            now[0] = pause
            check.is_outdated()
            for step in range(1, 11):
                now[0] = pause + since * step / 10
                found = check.is_outdated()
        self.assertIs(found, expected)

    def test_wait_has_a_bound_while_pauses_go_on(self):
        """Guards against requests held until their deadline by a host that gets too
        little processor time."""

        async def main():
            check = ResumeCheck(SyncClient(STILL_OUTDATED), Metrics())
            began = monotonic()
            return await check.wait(LONG_DEADLINE), monotonic() - began

        with just_resumed(True):
            is_current, seconds = curio.run(main)
        self.assertFalse(is_current)
        self.assertLess(seconds, LONG_DEADLINE / 2)


class TestRequestAfterAPause(unittest.TestCase):
    @params(
        # resumed, age of what is known, status, served
        (False, OUTDATED, None, True),
        (True, CONFIRMED, None, True),
        (True, OUTDATED, 503, False),
    )
    def test_request_is_served_by_confirmed_knowledge(
        self, resumed, age, status, served
    ):
        with just_resumed(resumed):
            found = receive(SyncClient(age), "/safe/a")
        self.assertEqual(found, (status, served))

    def test_request_waits_for_the_confirmation(self):
        sync_client = SyncClient(OUTDATED)

        def confirm():
            sync_client.age = CONFIRMED

        with just_resumed(True):
            found = receive(sync_client, "/safe/a", confirm)
        self.assertEqual(found, (None, True))

    def test_route_that_is_gone_after_the_pause_is_not_used(self):
        """Guards against requests served by a route that was removed meanwhile."""
        sync_client = SyncClient(OUTDATED)
        whole = sync_client.catalogue

        class Emptied:
            version = whole.version + 1

            def find_route(self, host, path):
                return None

        def remove():
            sync_client.catalogue = Emptied()
            sync_client.age = CONFIRMED

        with just_resumed(True):
            found = receive(sync_client, "/safe/a", remove)
        self.assertEqual(found, (404, False))

    def test_wait_ends_with_its_time(self):
        async def main():
            check = ResumeCheck(SyncClient(OUTDATED), Metrics())
            return await check.wait(0.05)

        with just_resumed(True):
            self.assertFalse(curio.run(main))


class Caller:
    """Connection of a caller who waits."""

    def check_connected(self):
        pass


class RecordingSender(Sender):
    """Sender that records whether knowledge was outdated as a try began."""

    def __init__(self, sync_client):
        check = ResumeCheck(sync_client, Metrics())
        super().__init__(*[None] * 12, Metrics(), check)
        self.outdated = []

    async def _try_target(self, call, placement, service):
        self.outdated.append(self._resume_check.is_outdated())
        call.notes.append("")
        return Answered(200, {}, b"")


class TestPlacedBeforeAPause(unittest.TestCase):
    def test_try_begins_once_the_core_has_answered(self):
        """Guards against streams that break off after a pause, since the place that was
        found for the rest of them is given up."""
        sync_client = SyncClient(OUTDATED)
        sender = RecordingSender(sync_client)

        async def confirm():
            await curio.sleep(0.1)
            sync_client.age = CONFIRMED

        async def main():
            now = monotonic()
            head = CallerHead("id", "h", 5.0, None, None, {})
            call = Call(Caller(), head, None, b"", now, now + 5.0, False, None)
            confirming = await curio.spawn(confirm)
            placement = LocalPlacement(None, "")
            outcome = await sender.send(call, placement, "s")
            await confirming.join()
            return outcome, call.sends

        with just_resumed(True):
            outcome, sends = curio.run(main)
        self.assertEqual(outcome, Answered(200, {}, b""))
        self.assertEqual((sender.outdated, sends), ([False], 1))


if __name__ == "__main__":
    unittest.main()
