"""Runs and progress that the hosts at both ends of a forwarded request exchange."""

import unittest

import curio

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import PeerTimeout
from bronzepoint_node.forwarded_runs import ForwardedRuns, ForwardedSend
from bronzepoint_schema.generated.forwarded_runs import ProgressReply


class Links:
    """Delivers the calls between some hosts at once.

    Attributes:
        lost: Hosts that neither get calls nor reply.
    """

    def __init__(self):
        self.handlers = {}
        self.lost = set()

    def host(self, name):
        return ForwardedRuns(name, HostLinks(self, name), Metrics())


class HostLinks:
    def __init__(self, links, name):
        self.links = links
        self.name = name

    def register(self, area, union, handler):
        self.links.handlers[self.name] = handler

    async def call(self, peer, area, message, timeout):
        if peer in self.links.lost:
            raise PeerTimeout(peer, timeout)
        return await self.links.handlers[peer](self.name, message)


class TestForwardedRuns(unittest.TestCase):
    def setUp(self):
        self.links = Links()
        self.near, self.far = self.links.host("near"), self.links.host("far")
        self.left = 1
        self.forwarding = self.near.begin("far", self.lend)

    def lend(self):
        self.left -= 1
        return self.left >= 0

    def borrow(self, host):
        return curio.run(host.borrow_run, self.forwarding.send)

    def progress(self):
        return curio.run(self.near.progress, self.forwarding)

    def test_run_is_lent_while_there_is_one(self):
        self.assertEqual([self.borrow(self.far) for _ in range(2)], [True, False])

    def test_only_the_receiver_gets_a_run(self):
        self.assertFalse(self.borrow(self.links.host("other")))
        self.assertEqual(self.left, 1)

    def test_send_that_has_ended_lends_nothing(self):
        """Guards against a run of a request that was sent elsewhere since."""
        self.near.end(self.forwarding)
        self.assertFalse(self.borrow(self.far))

    def test_unanswered_question_for_a_run_grants_none(self):
        self.links.lost.add("near")
        self.assertFalse(self.borrow(self.far))

    def test_progress(self):
        sent = self.forwarding.send
        self.assertEqual(self.progress(), ProgressReply(working=False))
        self.far.begin_received(sent, lambda: 3)
        self.assertEqual(self.progress(), ProgressReply(working=True, events=3))
        self.far.end_received(sent)
        self.assertEqual(self.progress(), ProgressReply(working=False))

    def test_missing_progress_is_told_from_no_progress(self):
        """Guards against a host that is slow to reply being taken for one that has
        ended the request."""
        self.links.lost.add("far")
        self.assertIsNone(self.progress())

    def test_header_of_a_send(self):
        send = ForwardedSend("10.1.0.2", "e8d4a51000")
        self.assertEqual(ForwardedSend.parse(str(send)), send)
        self.assertIsNone(ForwardedSend.parse(""))


if __name__ == "__main__":
    unittest.main()
