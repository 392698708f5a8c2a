"""Whether a resumed stream may go on, and how it is refused otherwise."""

import unittest
from unittest import mock

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import PeerTimeout
from bronzepoint_node.fleet import RouteKind, ServedRoute, ServiceShare
from bronzepoint_node.placement import Rejected, RejectReason
from bronzepoint_node.relay._answer_writer import AnswerWriter
from bronzepoint_node.relay._call import Call
from bronzepoint_node.relay._codec import CallerHead
from bronzepoint_node.relay._resumption import ResumptionCheck
from bronzepoint_node.stream_origins import OriginTable, _origins
from tests.test_stream_origins import BOTH, HOSTS, V1, Network, _Peers

SHARES = (ServiceShare("s", 1.0),)
ROUTE = ServedRoute("r", "h", "/", RouteKind.STREAM, 5.0, 1.0, 1, SHARES, 2, True)


class LatePeers(_Peers):
    """Links on which the first query to each host gets no answer in time."""

    def __init__(self, network, name):
        super().__init__(network, name)
        self.asked = set()

    async def call(self, peer, area, message, timeout):
        if peer not in self.asked:
            self.asked.add(peer)
            raise PeerTimeout(peer, timeout)
        return await super().call(peer, area, message, timeout)


class FakeRequest:
    raw_path = "/a"


class FakeExchange:
    started = False
    request = FakeRequest()

    async def respond(self, status, headers, body):
        self.answer = status, headers, body


def resumed_call(seconds):
    now = monotonic()
    head = CallerHead("id-2", "h", 5.0, None, "2", {}, resumes="id-1")
    return Call(FakeExchange(), head, ROUTE, b"", now, now + seconds, False, None)


class ResumedStreams(unittest.TestCase):
    def setUp(self):
        no_delay = mock.patch.object(_origins, "REMOTE_DELAY", 0.0)
        no_delay.start()
        self.addCleanup(no_delay.stop)
        self.network = Network()

    def check(self, call):
        asking = self.network.origins["a2"]
        return curio.run(
            ResumptionCheck(asking, self.network.registries["a2"]).check, call
        )

    def test_stream_goes_on_although_its_keepers_answer_late(self):
        """Guards against a stream that is refused for good because the hosts that know
        its version did not answer the first query in time."""
        call = resumed_call(60.0)
        self.network.origins["a1"].record(call.origin_key, V1, forwarded=False)
        asking = self.network.origins["a2"]
        asking._table = OriginTable()
        asking._peers = LatePeers(self.network, "a2")
        self.assertIsNone(self.check(call))
        self.assertEqual(call.origin, V1)

    def test_refusal_is_final_if_all_hosts_have_answered(self):
        refusal = self.check(resumed_call(60.0))
        self.assertEqual(refusal, Rejected(RejectReason.ORIGIN_UNKNOWN, 0.0, True))

    def test_other_hosts_are_asked_again_only_for_several_versions(self):
        """Guards against two searches for each stream of a service with one version,
        and against none after a second version has appeared."""
        self.network = Network([])
        call = resumed_call(60.0)
        self.assertIsNone(self.check(call))
        asked = len(self.network.messages)
        self.assertGreater(asked, 0)
        self.assertIsNone(self.check(call))
        self.assertEqual(len(self.network.messages), asked)
        self.network.registries["a2"].versions.merge(BOTH)
        refusal = self.check(call)
        self.assertEqual(refusal, Rejected(RejectReason.ORIGIN_UNKNOWN, 0.0, True))
        self.assertGreater(len(self.network.messages), asked)

    def test_refusal_names_the_time_of_a_retry_while_hosts_are_beyond_reach(self):
        """Guards against a final refusal of a stream that a host beyond reach knows."""
        self.network.cut = set(HOSTS) - {"a2"}
        call = resumed_call(0.2)
        refusal = self.check(call)
        self.assertIs(refusal.reason, RejectReason.ORIGIN_UNCONFIRMED)
        self.assertFalse(refusal.final)
        writer = AnswerWriter(mock.Mock(targets_read_at=0.0), Metrics("test"))
        curio.run(writer.reject, call, refusal)
        status, headers, _ = call.exchange.answer
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["Retry-After"]), 0.0)


if __name__ == "__main__":
    unittest.main()
