"""Registry of live hosts, and synchronisation of an entry host with the core."""

import unittest
from unittest import mock

import curio
import msgspec
from logbook import TestHandler as LogCapture
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.documents import NO_BASE, make_delta
from bronzepoint_common.peers import PeerTimeout
from bronzepoint_node.fleet import (
    CallerLimits,
    Registry,
    ServedCatalogue,
    SyncClient,
)
from bronzepoint_node.fleet import _registry as registry_module
from bronzepoint_node.fleet import _sync_client as sync_client_module
from bronzepoint_schema.generated.documents import DocumentPart
from bronzepoint_schema.generated.fleet import (
    CoreHost,
    EntryHost,
    EntryState,
    RegionLoad,
    ServiceVersion,
    SyncReply,
    TargetInfo,
    TargetList,
)

READY = EntryState.ready
MAX_WAIT = 10.0
"""Seconds after which a host counts as stuck."""


def entry(name, age_ms=0, state=READY):
    return EntryHost(name, "r", "z", "a", "f", state, age_ms)


def make_target_list(age_ms=0, name="t1", base="", gone=()):
    info = TargetInfo(name, "s", "10.0.0.1:80", "z", 4, False, 0)
    return TargetList(f"of {name}", base, age_ms, [info], list(gone))


def single_part(version):
    """Return the only part of a document whose content is its version."""
    deltas = msgspec.msgpack.encode([make_delta(version, b"%d" % version)])
    return DocumentPart(version, NO_BASE, len(deltas), 0, deltas)


def make_reply(version=1, revision=1, confirmed=0, closed=(), targets=None, age=-1):
    return SyncReply(
        revision,
        confirmed,
        version,
        single_part(version) if version >= 0 else None,
        list(closed),
        targets,
        targets.age_ms if targets else age,
        [],
        [],
        [],
    )


def decode(content):
    return ServedCatalogue(int(content), (), {}, CallerLimits())


class TestRegistry(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        patch = mock.patch.object(registry_module, "monotonic", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.registry = Registry()

    @params((0, 1.7, True), (0, 1.9, False), (1000, 0.7, True), (1000, 0.9, False))
    def test_entry_host_expires_by_the_age_of_its_report(self, age, wait, live):
        self.registry.merge_entries([entry("h", age)])
        self.now += wait
        self.assertEqual(bool(self.registry.entries()), live)

    @params((9.0, True), (11.0, False))
    def test_expired_report_is_kept_as_a_last_resort(self, wait, kept):
        self.registry.merge_entries([entry("h")])
        self.now += wait
        self.assertEqual(self.registry.entries(), [])
        found = self.registry.entries(registry_module.MAX_REPORT_AGE)
        self.assertEqual(bool(found), kept)

    @params((0, 500, EntryState.leaving), (500, 0, READY))
    def test_newer_report_is_not_replaced_by_an_older_one(self, first, second, state):
        self.registry.merge_entries([entry("h", first, EntryState.leaving)])
        self.registry.merge_entries([entry("h", second)])
        self.assertIs(self.registry.entries()[0].state, state)

    def test_silence_of_all_hosts_removes_no_core_host(self):
        """Guards against a host that is cut off for a day and then knows nobody whom
        it could ask."""
        self.registry.merge_core([CoreHost("a", "r", 0), CoreHost("b", "r", 8000)])
        self.now += 2 * registry_module.LOST_RETENTION
        self.assertEqual(self.registry.core(), [])
        names = [host.name for host in self.registry.known_core()]
        self.assertEqual(names, ["a", "b"])
        self.assertEqual([host.name for host in self.registry.last_core()], ["a"])

    @params((0.9, ["b", "a"]), (1.1, ["b"]))
    def test_lost_host_is_removed_after_a_day_of_others_reports(self, days, known):
        """Guards against asking an address for ever that has been given up."""
        self.registry.merge_core([CoreHost("a", "r", 0)])
        self.now += days * registry_module.LOST_RETENTION
        self.registry.merge_core([CoreHost("b", "r", 0)])
        self.registry.core()
        self.assertEqual([host.name for host in self.registry.known_core()], known)

    def test_number_of_lost_hosts_is_limited(self):
        """Guards against memory that grows with each host that is replaced."""
        limit = registry_module.MAX_LOST_HOSTS
        for number in range(limit + 5):
            self.registry.merge_core([CoreHost(f"c{number}", "r", 0)])
            self.now += 11.0
            self.registry.core()
        names = [host.name for host in self.registry.known_core()]
        self.assertEqual(len(names), limit)
        self.assertNotIn("c4", names)

    def test_own_report_does_not_age_those_of_others(self):
        """Guards against a core host that is cut off for a day and forgets the core,
        since it reports itself all the time."""
        registry = Registry("a")
        registry.merge_core([CoreHost("b", "r", 0)])
        self.now += 2 * registry_module.LOST_RETENTION
        registry.merge_core([CoreHost("a", "r", 0)])
        self.assertEqual([host.name for host in registry.core()], ["a"])
        self.assertIn("b", [host.name for host in registry.known_core()])

    def test_region_of_a_core_host_is_kept(self):
        """Seeds are listed without their regions. A report without a region must not
        erase the known one."""
        self.registry.merge_core([CoreHost("c", "r", 1000)])
        self.registry.merge_core([CoreHost("c", "", 0)])
        self.assertEqual(self.registry.core(), [CoreHost("c", "r", 0)])

    def test_repeated_report_does_not_clear_the_cache(self):
        """Guards against answers of a core host that slow down with the number of entry
        hosts, such as 200: each report of one of them discarded the cached list of live
        hosts that the next answer needed."""
        for number in range(200):
            self.registry.merge_entries([entry(f"h{number}")])
        self.assertEqual(len(self.registry.entries()), 200)
        self.now += 0.01
        with mock.patch.object(registry_module.msgspec.structs, "replace") as replace:
            replace.side_effect = lambda report, **_: report
            for number in range(200):
                self.registry.merge_entries([entry(f"h{number}")])
                self.registry.entries()
            self.assertLessEqual(replace.call_count, 2 * 200)
        self.now += 0.01
        self.registry.merge_entries([entry("h7", state=EntryState.leaving)])
        states = {host.name: host.state for host in self.registry.entries()}
        self.assertIs(states["h7"], EntryState.leaving)

    def test_loads_have_their_current_age(self):
        self.registry.merge_loads([RegionLoad("r", "s", 4, 1, 0, 200)])
        self.now += 1.0
        (load,) = self.registry.loads()
        self.assertAlmostEqual(load.age_ms, 1200, delta=2)


class FakePeers:
    """Stub of ``Peers`` with one answer per host; other hosts don't respond."""

    def __init__(self, answers):
        self.answers = answers
        self.queried = []

    def register(self, area, union, handler):
        pass

    async def call(self, peer, area, message, timeout, on_late_reply=None):
        self.queried.append(peer)
        if peer not in self.answers:
            raise PeerTimeout(peer, timeout)
        return self.answers[peer]


def make_client(answers=(), seeds=("c1",)):
    peers = FakePeers(dict(answers))
    client = SyncClient(
        "h", "r", lambda: entry("h"), list, decode, lambda: list(seeds), peers
    )
    return client, peers


class TestSyncClient(unittest.TestCase):
    @params(
        ([make_reply(1), make_reply(2)], 2),
        ([make_reply(2), make_reply(1)], 2),
        ([make_reply(2), make_reply(-1)], 2),
        ([make_reply(-1)], None),
    )
    def test_catalogue_version_never_decreases(self, replies, expected):
        client, _ = make_client()
        for each in replies:
            client._apply_reply("c1", each, monotonic())
        held = client.catalogue.version if client.catalogue else None
        self.assertEqual(held, expected)

    @params(
        ([make_reply(revision=1, closed=["z"]), make_reply(revision=2)], set()),
        ([make_reply(revision=2, closed=["z"]), make_reply(revision=1)], {"z"}),
        # Every known revision is agreed; an unconfirmed host may only lack newer ones.
        (
            [
                make_reply(revision=2, closed=["z"]),
                make_reply(revision=3, confirmed=-1),
            ],
            set(),
        ),
    )
    def test_core_host_that_is_behind_reopens_no_data_center(self, replies, closed):
        """Guards against sending requests to targets of a closed data center: an entry
        host adopted the older set of a core host that lacked the closing."""
        client, _ = make_client()
        for each in replies:
            client._apply_reply("c1", each, monotonic())
        self.assertEqual(client.closed, closed)

    @params(
        ([make_target_list(500, "old"), make_target_list(0, "new")], ["new"]),
        ([make_target_list(0, "new"), make_target_list(900, "old")], ["new"]),
        (
            [make_target_list(500, "old"), make_target_list(0, "new", "of old")],
            ["old", "new"],
        ),
        (
            [
                make_target_list(500, "old"),
                make_target_list(0, "new", "of old", ["old"]),
            ],
            ["new"],
        ),
        # changes to a list that isn't held
        (
            [make_target_list(500, "old"), make_target_list(0, "new", "of another")],
            ["old"],
        ),
    )
    def test_list_that_was_read_later_is_used(self, listings, expected):
        client, _ = make_client()
        for each in listings:
            client._apply_reply("c1", make_reply(targets=each), monotonic())
        self.assertEqual([t.incarnation for t in client.targets], expected)

    @params(
        ([make_reply(1)], [make_reply(2)], 2),
        ([make_reply(2)], [make_reply(1)], 2),
        ([], [make_reply(1)], 1),
    )
    def test_catalogue_of_a_late_answer_is_used(self, in_time, late, expected):
        client, _ = make_client()
        for each in in_time:
            client._apply_reply("c1", each, monotonic())
        for each in late:
            client._apply_late_reply("c1", each, monotonic())
        self.assertEqual(client.catalogue.version, expected)

    def test_list_of_a_late_answer_replaces_no_other(self):
        """Guards against removed targets that return with an old list."""
        client, _ = make_client()
        for late in (make_target_list(0, "first"), make_target_list(0, "second")):
            client._apply_late_reply("c1", make_reply(targets=late), monotonic())
        self.assertEqual([t.incarnation for t in client.targets], ["first"])

    @params(
        # version held, version in effect, whether a part is sent, expected confirmation
        (1, 1, True, True),
        (2, 1, True, True),
        (1, 2, False, False),
        (1, 2, True, True),
    )
    def test_only_the_newest_catalogue_is_confirmed(
        self, held, newest, has_part, expected
    ):
        """Guards against a host that counts its catalogue as the newest while another
        core host sends it parts of a newer one."""
        client, _ = make_client()
        client._apply_reply("c1", make_reply(held, confirmed=-1), monotonic())
        newer_reply = make_reply(newest)
        if not has_part:
            newer_reply.document = None
        client._apply_reply("c2", newer_reply, monotonic())
        self.assertEqual(client.confirmed_age() < 60.0, expected)

    def test_unresponsive_core_host_is_replaced_by_the_next(self):
        client, peers = make_client({"c2": make_reply(3)}, seeds=("c1", "c2"))

        async def main():
            for _ in range(6):
                await client._query(client._select_core_host())

        curio.run(main)
        self.assertEqual(client.catalogue.version, 3)
        self.assertEqual(peers.queried[-1], "c2")
        self.assertLessEqual(peers.queried.count("c1"), 1)

    @params((5.0,), (60.0,), (7200.0,))
    def test_last_core_is_queried_after_all_seeds_were_replaced(self, silence):
        """Guards against a host that was cut off for some seconds and then queries only
        the seeds of its start, which have all been replaced."""
        client, peers = make_client({"c4": make_reply(7)}, seeds=("c1", "c2", "c3"))
        client.registry.merge_core([CoreHost("c4", "far", 0), CoreHost("c5", "r", 0)])

        async def main():
            later = monotonic() + silence
            with mock.patch.object(registry_module, "monotonic", lambda: later):
                for _ in range(2):
                    await client._query(client._select_core_host())

        curio.run(main)
        self.assertEqual(peers.queried, ["c5", "c4"])
        self.assertEqual(client.catalogue.version, 7)

    @params((True, True), (False, False))
    def test_versions_of_a_late_answer_are_used(self, complete, expected):
        """Guards against a slow host that serves without knowing of two versions."""
        client, _ = make_client()
        self.assertFalse(client.registry.versions.is_complete())
        reply = make_reply(targets=make_target_list())
        reply.versions = [ServiceVersion("s", v, ["r"], 0) for v in ("v1", "v2")]
        reply.versions_complete = complete
        client._apply_late_reply("c1", reply, monotonic())
        self.assertTrue(client.registry.versions.several("s"))
        self.assertIs(client.registry.versions.is_complete(), expected)

    def test_age_of_the_last_confirmation_is_reported(self):
        """Guards against a host that is ready, and cut off without a sign of it."""
        client, peers = make_client({"c1": make_reply(3)})

        async def main():
            await client._query("c1")
            peers.answers.clear()
            await client._query("c1")
            await curio.sleep(0.05)
            client._report_age()

        curio.run(main)
        age = client._metrics.gauges()["catalogue.confirmed_age"]
        self.assertGreaterEqual(age, 0.05)

    def test_core_host_whose_answer_fails_is_replaced_by_the_next(self):
        """Guards against a host that never starts since one core host answers badly."""
        unusable = make_reply(3, targets=make_target_list())
        unusable.hosts = [None]
        usable = make_reply(3, targets=make_target_list())
        client, _ = make_client({"c1": unusable, "c2": usable}, seeds=("c1", "c2"))

        async def main():
            async with curio.ignore_after(MAX_WAIT):
                await client._query_seeds()
            async with curio.ignore_after(MAX_WAIT):
                while not await client._query(client._select_core_host()):
                    pass
            return client._current

        with LogCapture() as log:
            self.assertEqual(curio.run(main), "c2")
        messages = [record.message for record in log.records]
        self.assertIn("answer not applied", messages)

    def test_unreadable_catalogue_does_not_hold_up_the_rest(self):
        """Guards against a host that gets no targets while it can't read a document."""
        client, _ = make_client()
        client._decode = mock.Mock(side_effect=ValueError("a newer format"))
        for _ in range(2):
            reply = make_reply(3, closed=["z"], targets=make_target_list())
            client._apply_reply("c1", reply, monotonic())
        self.assertEqual(client.closed, {"z"})
        self.assertEqual(len(client.targets), 1)
        self.assertEqual(client._decode.call_count, 1)

    @params(
        ({"c1": None, "c2": make_reply(3, targets=make_target_list())}, 3),
        ({"c1": make_reply(-1), "c2": make_reply(3, targets=make_target_list())}, 3),
    )
    def test_all_seeds_are_queried_at_the_start(self, answers, expected):
        """Guards against a slow start after all hosts restart. The first core host may
        not run yet and the next may have no leader to confirm its catalogue. Queried
        one after another with the usual timeout, they delayed the first answers until
        half a second after the core had a leader again."""
        known = {name: answer for name, answer in answers.items() if answer is not None}
        client, peers = make_client(known, seeds=tuple(answers))
        curio.run(client._query_seeds)
        self.assertEqual(client.catalogue.version, expected)
        self.assertEqual(set(peers.queried), set(answers))
        self.assertEqual(client._avoided_until, {})

    @params((-1,), (4000,))
    def test_core_host_that_is_behind_is_replaced_by_the_next(self, confirmed):
        """Guards against 404 for a new route four seconds after it was accepted: the
        core host of the same region answered but no longer received changes from a
        leader, and only core hosts that didn't answer were replaced."""
        behind = make_reply(1, confirmed=confirmed)
        client, peers = make_client({"c1": behind, "c2": make_reply(3)})
        core = [CoreHost("c1", "r", 0), CoreHost("c2", "far", 0)]

        async def main():
            for _ in range(4):
                client.registry.merge_core(core)
                await client._query(client._select_core_host())

        curio.run(main)
        self.assertEqual(peers.queried, ["c1", "c2", "c2", "c2"])
        self.assertEqual(client.catalogue.version, 3)

    @params((1,), (3,), (6,))
    def test_region_whose_core_hosts_are_behind_is_left(self, behind):
        """Guards against requests to a data center seconds after its closing. The core
        was split, and an entry host went from one core host of its region that was
        behind to the next until the first was due again."""
        local = [f"c{number}" for number in range(behind)]
        answers = dict.fromkeys(local, make_reply(1, confirmed=2500))
        answers["far"] = make_reply(1, revision=2, closed=["z"])
        client, peers = make_client(answers)
        core = [CoreHost(name, "r", 0) for name in local]
        core.append(CoreHost("far", "far", 0))
        now = [monotonic()]
        waits = []

        async def pause(seconds):
            now[0] += seconds
            waits.append(seconds)
            client.registry.merge_core(core)
            if len(waits) == behind + 5:
                raise curio.TaskTimeout()

        async def main():
            client._query_seeds = mock.AsyncMock()
            client.registry.merge_core(core)
            with (
                mock.patch.object(sync_client_module, "monotonic", lambda: now[0]),
                mock.patch.object(sync_client_module.curio, "sleep", pause),
            ):
                with self.assertRaises(curio.TaskTimeout):
                    await client._run()

        curio.run(main)
        self.assertEqual(sorted(peers.queried[:behind]), local)
        self.assertEqual(set(peers.queried[behind:]), {"far"})
        self.assertEqual(client.closed, {"z"})
        # The next core host is asked at once, not an interval later.
        self.assertLessEqual(sum(waits[:behind]), sync_client_module.SYNC_INTERVAL * 2)

    def test_core_host_of_the_same_region_is_queried_first(self):
        client, _ = make_client()
        client.registry.merge_core([CoreHost("c1", "far", 0), CoreHost("c2", "r", 0)])
        self.assertEqual({client._select_core_host() for _ in range(10)}, {"c2"})


if __name__ == "__main__":
    unittest.main()
