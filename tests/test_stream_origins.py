"""Where streams began: a host's table, its keepers, and the versions of services."""

import itertools
import unittest
from collections import Counter
from unittest import mock

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import PeerTimeout
from bronzepoint_node.core._version_history import VersionHistory
from bronzepoint_node.fleet import (
    VERSION_RETENTION,
    Registry,
    ServiceVersions,
    _service_versions,
)
from bronzepoint_node.fleet._service_versions import MAX_READING_AGE, NEW_VERSION_TIME
from bronzepoint_node.stream_origins import (
    AmbiguousOrigin,
    Origins,
    OriginTable,
    StreamOrigin,
    UnansweredOrigin,
    _origins,
    _relayed_searches,
    origin_key,
)
from bronzepoint_node.stream_origins._lookup import Unfound
from bronzepoint_node.stream_origins._origin_table import (
    MAX_ORIGINS,
    ORIGIN_RETENTION,
)
from bronzepoint_node.stream_origins._relayed_searches import RelayedSearches
from bronzepoint_schema.generated.fleet import (
    EntryHost,
    EntryState,
    ServiceVersion,
    TargetInfo,
)

V1, V2 = StreamOrigin("s", "v1"), StreamOrigin("s", "v2")
REGIONS = {"x-a": "x", "y-a": "y"}
BOTH = [ServiceVersion("s", v, ["x", "y"], 0) for v in ("v1", "v2")]
HOSTS = {"a1": "x", "a2": "x", "a3": "x", "b1": "y", "b2": "y", "c1": "z"}


def target(name, version, zone="x-a", leaving=False):
    return TargetInfo(name, "s", "10.0.0.1:80", zone, 6, leaving, 0, version)


def entry_host(name, state=EntryState.ready):
    region = HOSTS[name]
    return EntryHost(name, region, f"{region}-a", "", "", state, 0)


class Network:
    """Hosts that exchange messages directly; cut hosts neither send nor receive."""

    def __init__(self, versions=BOTH):
        self.cut = set()
        self.unreachable = set()
        self.handlers = {}
        self.messages = []
        self.registries, self.origins = {}, {}
        for name in HOSTS:
            self.start(name, versions)

    def start(self, name, versions=BOTH, former=None, missing=()):
        """Start a host without anything that its former process knew.

        Args:
            name: The host.
            versions: Reported versions of the service.
            former: Its present origins, to keep what they know of hosts; None: start
                with nothing.
            missing: Hosts that aren't reported to it.
        """
        registry = Registry()
        registry.versions.merge(versions)
        registry.versions.confirm(monotonic())
        registry.merge_entries(
            entry_host(host) for host in HOSTS if host not in missing
        )
        self.registries[name] = registry
        self.origins[name] = Origins(
            name, HOSTS[name], _Peers(self, name), registry, Metrics("test")
        )
        if former is not None:
            self.origins[name]._known = former._known

    def find(self, host, key):
        return curio.run(self.origins[host].find, key, "s")


class _Peers:
    def __init__(self, network, name):
        self.network, self.name = network, name

    def register(self, area, union, handler):
        self.network.handlers[self.name] = handler

    def _reaches(self, peer):
        self.network.messages.append((self.name, peer))
        if (self.name, peer) in self.network.unreachable:
            return False
        return not {self.name, peer} & self.network.cut

    def post(self, peer, area, message):
        if self._reaches(peer):
            handler = self.network.handlers[peer](self.name, message)
            try:
                handler.send(None)
            except StopIteration:
                pass

    async def call(self, peer, area, message, timeout):
        if not self._reaches(peer):
            raise PeerTimeout(peer, timeout)
        return await self.network.handlers[peer](self.name, message)


class TestOrigins(unittest.TestCase):
    def setUp(self):
        no_delay = mock.patch.object(_origins, "REMOTE_DELAY", 0.0)
        no_delay.start()
        self.addCleanup(no_delay.stop)

    def test_every_host_finds_an_origin_after_its_host_has_restarted(self):
        """Guards against a version that is lost with the host of the stream."""
        for key in range(30):
            network = Network()
            network.origins["a1"].record(key, V1, forwarded=False)
            network.start("a1")
            found = {name: network.find(name, key) for name in HOSTS}
            self.assertEqual(found, dict.fromkeys(HOSTS, V1), key)

    def test_another_region_knows_an_origin_when_its_region_is_lost(self):
        """Guards against a version that is lost with the region of the stream."""
        for key in range(30):
            network = Network()
            network.origins["a1"].record(key, V1, forwarded=False)
            network.cut = {"a1", "a2", "a3"}
            self.assertEqual(network.find("b1", key), V1)

    def test_streams_that_began_before_a_second_version_are_published(self):
        network = Network(versions=())
        network.origins["a1"].record(7, V1, forwarded=False)
        self.assertEqual(network.messages, [])
        for name in HOSTS:
            network.registries[name].versions.merge(BOTH)
            network.origins[name].publish_new_services()
        network.cut = {"a1"}
        self.assertEqual(network.find("b1", 7), V1)

    def test_stream_that_began_beside_a_silent_core_is_told_of_later(self):
        """Guards against a stream that nobody else knows, because no other host counted
        as live at the moment when it began."""
        network = Network()
        origins = network.origins["a1"]
        origins._registry = Registry()
        origins._registry.versions.merge(BOTH)
        origins._registry.versions.confirm(monotonic())
        origins.record(7, V1, forwarded=False)
        origins._registry = network.registries["a1"]
        curio.run(origins.close)
        network.cut = {"a1"}
        self.assertEqual(network.find("b1", 7), V1)

    def test_one_message_tells_a_keeper_of_many_streams(self):
        network = Network()
        for key in range(500):
            network.origins["a1"].record(key, V1, forwarded=False)
        curio.run(network.origins["a1"].close)
        keepers = {peer for _, peer in network.messages}
        self.assertEqual(len(keepers), 3)
        self.assertLessEqual(len(network.messages), 44 * len(keepers))
        network.cut = {"a1"}
        self.assertEqual([network.find("c1", key) for key in range(500)], [V1] * 500)

    def test_an_unknown_origin_is_told_as_such(self):
        network = Network()
        self.assertIsNone(network.find("a1", 7))

    @params(set(HOSTS) - {"a1"}, {"a2"}, {"b1", "b2"}, {"c1"})
    def test_an_unanswered_question_is_no_unknown_origin(self, cut):
        """Guards against a final refusal of a stream that a host beyond reach knows."""
        network = Network()
        network.cut = cut
        with self.assertRaises(UnansweredOrigin):
            network.find("a1", 7)

    def test_a_host_beyond_reach_of_a_relay_leaves_the_question_open(self):
        """Guards against a final refusal by the answer of one host of another region,
        although a keeper there has not answered that host."""
        network = Network()
        network.origins["b1"].record(7, V1, forwarded=False)
        self.assertEqual(network.find("c1", 7), V1)
        for lost in ("b1", "b2"):
            network = Network()
            network.unreachable = {("b1", "b2"), ("b2", "b1"), ("c1", lost)}
            with self.assertRaises(UnansweredOrigin):
                network.find("c1", 7)

    def test_a_host_that_is_no_longer_reported_is_asked(self):
        """Guards against a stream that is refused because its only keeper in reach is
        displaced from the reports by a host that returns."""
        for displaced in ("a1", "a3"):
            network = Network()
            network.find("a2", 8)
            network.origins["a1"].record(7, V1, forwarded=False)
            network.cut = set(HOSTS) - {"a2", displaced}
            network.start("a2", former=network.origins["a2"], missing={displaced})
            self.assertEqual(network.find("a2", 7), V1)

    def test_a_host_that_leaves_is_not_waited_for(self):
        network = Network()
        leaving = entry_host("a3", EntryState.leaving)
        network.registries["a2"].merge_entries([leaving])
        network.find("a2", 7)
        network.start("a2", former=network.origins["a2"], missing={"a3"})
        network.cut = {"a3"}
        self.assertIsNone(network.find("a2", 7))

    def test_known_hosts_are_told_while_none_is_reported(self):
        """Guards against a stream that is lost with its host beside a silent core, and
        against one that is told to hosts that ended meanwhile only."""
        network = Network()
        origins = network.origins["a1"]
        network.find("a1", 8)
        reporting = origins._registry
        origins._registry = Registry()
        origins._registry.versions.merge(BOTH)
        origins._registry.versions.confirm(monotonic())
        network.messages.clear()
        origins.record(7, V1, forwarded=False)
        told = list(network.messages)
        self.assertEqual(len(told), 3)
        origins._flush_if_due()
        self.assertEqual(network.messages, told)
        origins._registry = reporting
        origins._flush_if_due()
        origins._flush_if_due()
        self.assertEqual(network.messages, told * 2)

    def test_a_host_that_knows_no_other_leaves_the_question_open(self):
        """Guards against a final refusal by a host that the core hasn't told of any
        other host yet."""
        network = Network()
        origins = network.origins["a1"]
        origins._registry = Registry()
        origins._registry.versions.merge(BOTH)
        origins._registry.versions.confirm(monotonic())
        with self.assertRaises(UnansweredOrigin):
            network.find("a1", 7)

    def test_only_hosts_that_have_not_answered_are_asked_again(self):
        """Guards against control traffic that grows with each repetition."""
        network = Network()
        network.cut = {"a2"}
        with (
            mock.patch.object(_origins, "ASK_INTERVAL", 0.0),
            self.assertRaises(UnansweredOrigin),
        ):
            curio.run(network.origins["a1"].find, 7, "s", 0.05)
        asked = Counter(peer for sender, peer in network.messages if sender == "a1")
        self.assertGreater(asked.pop("a2"), 1)
        self.assertEqual(set(asked.values()), {1})

    def test_a_relay_asks_only_hosts_that_have_not_answered_again(self):
        """Guards against control traffic in a region of which a host has ended, that
        grows with each repetition of another region's query."""
        network = Network()
        network.cut = {"a3"}
        network.unreachable = {("c1", "a1")}
        with (
            mock.patch.object(_origins, "ASK_INTERVAL", 0.0),
            self.assertRaises(UnansweredOrigin),
        ):
            curio.run(network.origins["c1"].find, 7, "s", 0.3)
        asked = Counter(peer for sender, peer in network.messages if sender == "a2")
        self.assertGreater(asked["a3"], 1)
        self.assertEqual(asked["a1"], 1)

    def test_an_id_of_two_streams_is_ambiguous(self):
        network = Network()
        network.origins["a1"].record(7, V1, forwarded=False)
        network.origins["a1"].record(7, V2, forwarded=False)
        with self.assertRaises(AmbiguousOrigin):
            network.find("b1", 7)


class TestRelayedSearches(unittest.TestCase):
    def test_a_query_does_not_wait_for_a_slow_search(self):
        """Guards against queries that time out behind one whose search takes long."""

        async def main():
            go_on = curio.Event()

            async def search(lookup):
                await go_on.wait()
                return (V1,)

            searches = RelayedSearches(search)
            self.assertIs(await searches.result(7), Unfound.UNANSWERED)
            await go_on.set()
            self.assertEqual(await searches.result(7), (V1,))
            await searches.close()

        curio.run(main)

    def test_search_that_fails_is_started_again(self):
        """Guards against an origin that stays unknown after one search has failed."""
        searched = []

        async def search(lookup):
            searched.append(lookup)
            if len(searched) == 1:
                raise RuntimeError("unexpected")
            return (V1,)

        async def main():
            searches = RelayedSearches(search)
            with self.assertRaises(curio.TaskError):
                await searches.result(7)
            self.assertEqual(await searches.result(7), (V1,))
            await searches.close()

        curio.run(main)

    def test_searches_are_bounded(self):
        async def main():
            searches = RelayedSearches(lambda lookup: curio.sleep(3600))
            with (
                mock.patch.object(_relayed_searches, "RELAY_WAIT", 0.0),
                mock.patch.object(_relayed_searches, "MAX_SEARCHES", 3),
            ):
                for key in range(5):
                    await searches.result(key)
            self.assertEqual(list(searches._searches), [2, 3, 4])
            await searches.close()

        curio.run(main)


class TestOriginTable(unittest.TestCase):
    def test_origins_are_kept_while_streams_go_on(self):
        table = OriginTable()
        table.add(1, V1, 0.0)
        table.add(1, V1, 50.0)
        self.assertEqual(table.find(1, 50.0 + ORIGIN_RETENTION), (V1,))
        self.assertEqual(table.find(1, 51.0 + ORIGIN_RETENTION), ())

    def test_size_is_bounded(self):
        table = OriginTable()
        for key in range(MAX_ORIGINS + 10):
            table.add(key, V1, 0.0)
        self.assertEqual(len(table), MAX_ORIGINS)
        self.assertEqual(table.find(0, 0.0), ())

    def test_keys_of_different_requests_differ(self):
        keys = {
            origin_key(*parts)
            for parts in (("h", "/a", "1"), ("h", "/a1", ""), ("g", "/a", "1"))
        }
        self.assertEqual(len(keys), 3)

    @params(V1, StreamOrigin("a;b", "v 1\n"), StreamOrigin("s", ""))
    def test_header_gives_the_origin_back(self, origin):
        self.assertEqual(StreamOrigin.parse(str(origin)), origin)
        self.assertTrue(str(origin).isprintable())


class TestUnreportedVersions(unittest.TestCase):
    """Guards against a stream that goes on at another version because a host has not
    heard yet that its service has several."""

    def find(self, record):
        network = Network([])
        if record:
            network.origins["a1"].record(7, V1, forwarded=False)
        asking = network.origins["a2"]
        asking._registry.versions = ServiceVersions()
        with mock.patch.object(_origins, "REMOTE_DELAY", 0.0):
            return curio.run(asking.find, 7, "s")

    def test_known_origin_is_found(self):
        self.assertEqual(self.find(record=True), V1)

    def test_unknown_origin_is_not_final(self):
        with self.assertRaises(UnansweredOrigin):
            self.find(record=False)

    def test_reports_of_the_core_become_outdated(self):
        versions = ServiceVersions()
        self.assertFalse(versions.is_complete())
        versions.confirm(monotonic())
        self.assertTrue(versions.is_complete())
        later = monotonic() + VERSION_RETENTION + 1
        with mock.patch(
            "bronzepoint_node.fleet._service_versions.monotonic", lambda: later
        ):
            self.assertFalse(versions.is_complete())


class TestNewVersion(unittest.TestCase):
    """Guards against a stream that goes on at another version because the version that
    began it has been listed for the first time, and only its host has heard of it."""

    def find(self, *, read, record=True, cut=()):
        """Return what a host finds that knows one version, read some seconds ago."""
        network = Network([])
        network.registries["a1"].versions.merge(BOTH)
        if record:
            network.origins["a1"].record(7, V2, forwarded=False)
        network.cut = set(cut)
        versions = network.registries["b1"].versions = ServiceVersions()
        versions.confirm(monotonic() - read)
        with mock.patch.object(_origins, "REMOTE_DELAY", 0.0):
            return network.find("b1", 7)

    @params((), ("a1",), ("a1", "a2", "a3"))
    def test_the_version_is_found_at_its_host_or_a_keeper(self, *cut):
        for read in (0.0, MAX_READING_AGE + 1):
            self.assertEqual(self.find(read=read, cut=cut), V2)

    @params(False, True)
    def test_a_single_version_needs_no_answers(self, is_alone):
        cut = set(HOSTS) - {"b1"} if is_alone else ()
        self.assertIsNone(self.find(read=0.0, record=False, cut=cut))

    def test_an_old_reading_names_no_single_version(self):
        """Guards against a host that resumes after a pause, or is cut off, and takes
        the versions of before for all."""
        old = MAX_READING_AGE + 1
        self.assertIsNone(self.find(read=old, record=False))
        with self.assertRaises(UnansweredOrigin):
            self.find(read=old, record=False, cut={"a1"})


NEVER = float("-inf")


def contacts(begin, end, *read_at):
    """Return contacts with core hosts: seconds of each, and of the reading it told."""
    readings = itertools.cycle(read_at)
    steps = round((end - begin) / 0.4)
    return [(begin + 0.4 * step, next(readings)) for step in range(steps + 1)]


class TestSilentList(unittest.TestCase):
    """Guards against streams that are refused while nobody can read the target list,
    and against a host that takes its own old reading for one of a silent list."""

    @params(
        ("nobody reads", contacts(0, 10, 0.0), 10.2, True),
        ("last readings differ", contacts(0, 10, 0.0, 0.9), 10.2, True),
        ("a core host is lost", contacts(0, 8, 0.0) + contacts(9, 10, 0.0), 10, True),
        ("paused", contacts(0, 5, 4.0), 50.0, False),
        ("paused, heard once", [*contacts(0, 5, 4.0), (50, 4.0)], 50, False),
        ("paused before", contacts(0, 5, 4.0) + contacts(50, 54, 4.0), 54, True),
        ("paused with a silent list", contacts(0, 9, 0.0) + [(12, 0.0)], 12, False),
        ("cut off", contacts(0, 10, 0.0), 13.5, False),
        ("core host behind", contacts(0, 7, 6.0) + contacts(7, 12, 0.0), 12, False),
        ("just started", contacts(0, 2, -20.0), 2.1, False),
        ("never read", contacts(0, 10, NEVER), 10, False),
    )
    def test_single_version(self, _name, heard, now, expected):
        versions = ServiceVersions()
        with mock.patch.object(_service_versions, "monotonic") as clock:
            for at, read_at in heard:
                clock.return_value = at
                versions.confirm(read_at, at)
            clock.return_value = now
            self.assertIs(versions.is_single("s"), expected)

    def test_stream_goes_on_beside_a_dead_host(self):
        network = Network([])
        network.cut = {"a1"}
        versions = network.registries["b1"].versions = ServiceVersions()
        now = monotonic()
        for at, read_at in contacts(now - 6.0, now, now - 10.0):
            versions.confirm(read_at, at)
        self.assertIsNone(network.find("b1", 7))


class TestLargeRegion(unittest.TestCase):
    """Guards against a stream that goes on at another version in a region whose hosts
    know a part of it only, because its keepers are told of it too late."""

    STREAMS = 45
    """Streams that begin at once, more than the notices of a burst."""
    TURNS = 5
    """Turns of the loop until the keepers have been told; no time passes."""

    def play(self, *, age=0.0):
        """Return what a host finds for streams that began within one turn.

        Their host and the one that is asked don't know each other.

        Args:
            age: Seconds since their host has heard of the second version.
        """

        async def begin(network):
            origins = network.origins["h10"]
            await origins.start()
            network.messages.clear()
            with mock.patch.object(_service_versions, "monotonic", lambda: later):
                for key in range(self.STREAMS):
                    origins.record(key, V2, forwarded=False)
                for _ in range(self.TURNS):
                    await curio.sleep(0)
            told = Counter(peer for _, peer in network.messages)
            found = [await network.origins["h11"].find(k, "s") for k in streams]
            await origins.close()
            return found, told

        streams = range(self.STREAMS)
        names = {f"h{number:02}": "x" for number in range(18)} | {"y1": "y", "y2": "y"}
        hidden = {name for name in list(names)[8:] if name[0] == "h"}
        with (
            mock.patch.dict(HOSTS, names, clear=True),
            mock.patch.object(_origins, "REMOTE_DELAY", 0.0),
            mock.patch.object(_origins, "FLUSH_INTERVAL", 3600.0),
        ):
            network = Network([])
            for name in names:
                network.start(name, [], missing=hidden)
            network.registries["h10"].versions.merge(BOTH)
            network.origins["h10"].publish_new_services()
            later = monotonic() + age
            return curio.run(begin, network)

    def test_streams_of_a_new_version_are_told_of_at_once(self):
        found, told = self.play()
        self.assertEqual(found, [V2] * self.STREAMS)
        self.assertLessEqual(max(told.values()), self.STREAMS)

    def test_streams_that_begin_in_one_turn_share_a_notice(self):
        """Guards against a message for each stream above the rate of notices."""
        with mock.patch.object(_origins, "NOTICES_PER_SECOND", 0.2):
            _, told = self.play()
        self.assertEqual(set(told.values()), {2})

    @params((NEW_VERSION_TIME - 0.5, True), (NEW_VERSION_TIME + 0.5, False))
    def test_a_version_is_new_for_a_few_seconds(self, age, is_new):
        """Guards against notices above their rate once all hosts know a version."""
        found, _ = self.play(age=age)
        self.assertEqual(found[-1], V2 if is_new else None)


class TestVersions(unittest.TestCase):
    @params((0.0, False), (VERSION_RETENTION - 1.0, False), (VERSION_RETENTION, True))
    def test_history_is_complete_after_a_whole_retention_time(self, age, complete):
        history = VersionHistory(REGIONS.get)
        self.assertFalse(history.is_complete(0.0))
        history.update([target("i-1", "v1")], 0.0)
        self.assertIs(history.is_complete(age), complete)
        history.confirm()
        self.assertTrue(history.is_complete(0.0))

    def test_versions_of_another_host_are_merged(self):
        history = VersionHistory(REGIONS.get)
        history.update([target("i-2", "v2")], 0.0)
        self.assertEqual(history.report(0.0), [])
        history.merge([ServiceVersion("s", "v1", [], 5000)], 10.0)
        found = {v.software_version: v.age_ms for v in history.report(10.0)}
        self.assertEqual(found, {"v1": 5000, "v2": 10000})

    def test_a_version_that_left_the_list_is_remembered(self):
        history = VersionHistory(REGIONS.get)
        history.update([target("i-1", "v1"), target("i-2", "v2", "y-a")], 0.0)
        history.update([target("i-2", "v2", "y-a")], 5.0)
        found = {v.software_version: v.regions for v in history.report(6.0)}
        self.assertEqual(found, {"v1": [], "v2": ["y"]})
        self.assertEqual(history.report(1.0 + VERSION_RETENTION), [])

    def test_leaving_targets_do_not_serve(self):
        history = VersionHistory(REGIONS.get)
        targets = [target("i-1", "v1", leaving=True), target("i-2", "v2")]
        history.update(targets, 0.0)
        found = {v.software_version: v.regions for v in history.report(0.0)}
        self.assertEqual(found, {"v1": [], "v2": ["x"]})

    @params(
        ("x", "v1", True),
        ("y", "v1", False),
        ("x", "v2", False),
        ("x", "v3", False),
        ("y", "", True),
    )
    def test_a_region_serves_a_version_while_it_is_listed_there(
        self, region, version, expected
    ):
        versions = ServiceVersions()
        versions.merge(
            [
                ServiceVersion("s", "v1", ["x"], 100),
                ServiceVersion("s", "v2", ["x"], 9000),
            ]
        )
        self.assertIs(versions.may_serve(region, "s", version), expected)

    def test_versions_expire(self):
        versions = ServiceVersions()
        versions.merge(BOTH)
        self.assertTrue(versions.several("s"))
        later = monotonic() + VERSION_RETENTION + 1
        with mock.patch(
            "bronzepoint_node.fleet._service_versions.monotonic", lambda: later
        ):
            self.assertFalse(versions.several("s"))


if __name__ == "__main__":
    unittest.main()
