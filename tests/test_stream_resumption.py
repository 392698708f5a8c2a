"""Whether a resumed stream may go on, and how it is refused otherwise."""

import unittest
from unittest import mock

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import PeerTimeout
from bronzepoint_node.fleet import (
    RouteKind,
    ServedRoute,
    ServiceShare,
    ServiceVersions,
)
from bronzepoint_node.placement import Rejected, RejectReason
from bronzepoint_node.relay._answer_writer import AnswerWriter
from bronzepoint_node.relay._call import Call
from bronzepoint_node.relay._codec import CallerHead
from bronzepoint_node.relay._resumption import ResumptionCheck
from bronzepoint_node.stream_origins import OriginTable, _origins
from tests.test_stream_origins import BOTH, HOSTS, V1, V2, Network, _Peers

MAX_WAIT = 0.5
"""Maximum seconds that a search may take while a service has one version."""
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


class TimedPeers(_Peers):
    """Links that note each query: the host asked, and the timeout in seconds."""

    def __init__(self, network, name):
        super().__init__(network, name)
        self.queries = []

    async def call(self, peer, area, message, timeout):
        self.queries.append((peer, timeout))
        return await super().call(peer, area, message, timeout)


class FakeRequest:
    raw_path = "/a"


class FakeExchange:
    started = False
    request = FakeRequest()

    async def respond(self, status, headers, body):
        self.answer = status, headers, body


def resumed_call(seconds, resumes="id-1"):
    now = monotonic()
    head = CallerHead("id-2", "h", 5.0, None, "2", {}, resumes=resumes)
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


class SingleVersion(unittest.TestCase):
    """Guards against resumed streams that wait for hosts although their service has a
    single version, as after the end of the host that served them."""

    def setUp(self):
        self.network = Network([])
        self.asking = self.network.origins["a2"]
        self.peers = self.asking._peers = TimedPeers(self.network, "a2")
        self.registry = self.network.registries["a2"]
        self.resumption = ResumptionCheck(self.asking, self.registry)

    def check(self, call):
        return curio.run(self.resumption.check, call)

    @params(
        ("all answer", ()),
        ("a host of the region is dead", ("a1",)),
        ("a host of another region is dead", ("b1",)),
        ("all others are dead", tuple(set(HOSTS) - {"a2"})),
    )
    def test_hosts_are_asked_once_and_briefly(self, _name, cut):
        """Guards against a search that each further try of a request repeats."""
        self.network.cut = set(cut)
        call = resumed_call(60.0)
        for _ in range(3):
            self.assertIsNone(self.check(call))
        asked = [peer for peer, _ in self.peers.queries]
        self.assertEqual(sorted(asked), sorted(set(HOSTS) - {"a2"}))
        waits = [
            timeout + (_origins.REMOTE_DELAY if HOSTS[peer] != "x" else 0.0)
            for peer, timeout in self.peers.queries
        ]
        self.assertLess(max(waits), MAX_WAIT)

    def test_hosts_that_are_not_reported_are_not_asked(self):
        """Guards against a host that has ended and delays all streams for a minute."""
        self.check(resumed_call(60.0))
        former = self.asking
        self.network.start("a2", [], former=former, missing={"a1", "b1"})
        self.asking = self.network.origins["a2"]
        self.asking._peers = self.peers
        self.registry = self.network.registries["a2"]
        self.resumption = ResumptionCheck(self.asking, self.registry)
        self.peers.queries.clear()
        self.assertIsNone(self.check(resumed_call(60.0)))
        asked = {peer for peer, _ in self.peers.queries}
        self.assertEqual(asked, set(HOSTS) - {"a1", "a2", "b1"})

    @params("several versions", "outdated reading")
    def test_unknown_origin_is_searched_again(self, change):
        """Guards against a stream that goes on at another version, because nobody knew
        its origin while its service had a single one."""
        call = resumed_call(60.0)
        self.assertIsNone(self.check(call))
        self.network.origins["a1"].record(call.origin_key, V2, forwarded=False)
        if change == "several versions":
            self.registry.versions.merge(BOTH)
        else:
            self.registry.versions = ServiceVersions()
        self.assertIsNone(self.check(call))
        self.assertEqual(call.origin, V2)

    @params(("one version", [], None), ("several", BOTH, RejectReason.ORIGIN_UNKNOWN))
    def test_resumption_that_names_no_attempt(self, _name, versions, reason):
        """Guards against a search for a stream by an id that no other host can have."""
        self.registry.versions.merge(versions)
        refusal = self.check(resumed_call(60.0, resumes=None))
        self.assertEqual(refusal and refusal.reason, reason)
        self.assertEqual(bool(self.peers.queries), bool(versions))


if __name__ == "__main__":
    unittest.main()
