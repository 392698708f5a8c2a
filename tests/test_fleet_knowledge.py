"""What entry hosts and the core know of each other, and how it grows old."""

import unittest
from unittest import mock

import curio
import msgspec
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.documents import NO_BASE, make_delta
from bronzepoint_common.peers import PeerTimeout
from bronzepoint_node.fleet import (
    CallerLimits,
    Follower,
    Registry,
    ServedCatalogue,
)
from bronzepoint_node.fleet import _registry as registry_module
from bronzepoint_schema.generated.documents import DocumentPart
from bronzepoint_schema.generated.fleet import (
    CoreHost,
    EntryHost,
    EntryState,
    RegionLoad,
    SyncReply,
    TargetInfo,
    TargetList,
)

READY = EntryState.ready


def entry(name, age_ms=0, state=READY):
    return EntryHost(name, "r", "z", "a", "f", state, age_ms)


def listing(age_ms=0, name="t1", base="", gone=()):
    info = TargetInfo(name, "s", "10.0.0.1:80", "z", 4, False, 0)
    return TargetList(f"of {name}", base, age_ms, [info], list(gone))


def whole_document(version):
    """Return the only part of a document that holds its version."""
    deltas = msgspec.msgpack.encode([make_delta(version, b"%d" % version)])
    return DocumentPart(version, NO_BASE, len(deltas), 0, deltas)


def reply(version=1, revision=1, confirmed=0, closed=(), targets=None, age=-1):
    return SyncReply(
        revision,
        confirmed,
        version,
        whole_document(version) if version >= 0 else None,
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
    def test_an_entry_host_is_forgotten_by_the_age_of_its_word(self, age, wait, live):
        self.registry.hear_entries([entry("h", age)])
        self.now += wait
        self.assertEqual(bool(self.registry.entries()), live)

    @params((9.0, True), (11.0, False))
    def test_an_old_word_is_kept_for_the_last_resort(self, wait, kept):
        self.registry.hear_entries([entry("h")])
        self.now += wait
        self.assertEqual(self.registry.entries(), [])
        found = self.registry.entries(registry_module.LAST_RESORT)
        self.assertEqual(bool(found), kept)

    @params((0, 500, EntryState.leaving), (500, 0, READY))
    def test_a_newer_word_is_not_replaced_by_an_older_one(self, first, second, state):
        self.registry.hear_entries([entry("h", first, EntryState.leaving)])
        self.registry.hear_entries([entry("h", second)])
        self.assertIs(self.registry.entries()[0].state, state)

    def test_the_region_of_a_host_of_the_core_is_kept(self):
        """Seeds are named without their regions; a word without one must not take
        away what another said."""
        self.registry.hear_core([CoreHost("c", "r", 1000)])
        self.registry.hear_core([CoreHost("c", "", 0)])
        self.assertEqual(self.registry.core(), [CoreHost("c", "r", 0)])

    def test_a_host_that_speaks_again_costs_no_look_at_all_others(self):
        """Symptom: a host of the core takes the longer for an answer the more entry
        hosts ask it.
        Sequence: each of 200 speaks, and is then told who lives.
        Cause: each word threw away the list that the next answer needed."""
        for number in range(200):
            self.registry.hear_entries([entry(f"h{number}")])
        self.assertEqual(len(self.registry.entries()), 200)
        self.now += 0.01
        with mock.patch.object(registry_module.msgspec.structs, "replace") as made:
            made.side_effect = lambda word, **_: word
            for number in range(200):
                self.registry.hear_entries([entry(f"h{number}")])
                self.registry.entries()
            self.assertLessEqual(made.call_count, 2 * 200)
        self.now += 0.01
        self.registry.hear_entries([entry("h7", state=EntryState.leaving)])
        states = {host.name: host.state for host in self.registry.entries()}
        self.assertIs(states["h7"], EntryState.leaving)

    def test_loads_carry_their_present_age(self):
        self.registry.hear_loads([RegionLoad("r", "s", 4, 1, 0, 200)])
        self.now += 1.0
        (load,) = self.registry.loads()
        self.assertAlmostEqual(load.age_ms, 1200, delta=2)


class FakePeers:
    """Answers each host's questions from a table; a missing host is silent."""

    def __init__(self, answers):
        self.answers = answers
        self.asked = []

    def register(self, area, union, handler):
        pass

    async def call(self, peer, area, message, timeout, on_late=None):
        self.asked.append(peer)
        if peer not in self.answers:
            raise PeerTimeout(peer, timeout)
        return self.answers[peer]


def follower(answers=(), seeds=("c1",)):
    peers = FakePeers(dict(answers))
    made = Follower("r", lambda: entry("h"), list, decode, list(seeds), peers)
    return made, peers


class TestFollower(unittest.TestCase):
    @params(
        ([reply(1), reply(2)], 2),
        ([reply(2), reply(1)], 2),
        ([reply(2), reply(-1)], 2),
        ([reply(-1)], None),
    )
    def test_the_catalogue_never_goes_back(self, replies, expected):
        made, _ = follower()
        for one in replies:
            made._take("c1", one, monotonic())
        held = made.catalogue.version if made.catalogue else None
        self.assertEqual(held, expected)

    @params(
        ([reply(revision=1, closed=["z"]), reply(revision=2)], set()),
        ([reply(revision=2, closed=["z"]), reply(revision=1)], {"z"}),
        # A revision is agreed wherever it is known; only newer ones may be missing.
        ([reply(revision=2, closed=["z"]), reply(revision=3, confirmed=-1)], set()),
    )
    def test_a_core_host_that_is_behind_opens_nothing_again(self, replies, closed):
        """Symptom: targets of a closed data center get requests again.
        Sequence: an entry host changes to a host of the core that hasn't heard of the
        closing.
        Cause: its set of closed data centers was taken over."""
        made, _ = follower()
        for one in replies:
            made._take("c1", one, monotonic())
        self.assertEqual(made.closed, closed)

    @params(
        ([listing(500, "old"), listing(0, "new")], ["new"]),
        ([listing(0, "new"), listing(900, "old")], ["new"]),
        ([listing(500, "old"), listing(0, "new", "of old")], ["old", "new"]),
        ([listing(500, "old"), listing(0, "new", "of old", ["old"])], ["new"]),
        # a change of a list that isn't held
        ([listing(500, "old"), listing(0, "new", "of another")], ["old"]),
    )
    def test_the_list_that_was_read_later_counts(self, listings, expected):
        made, _ = follower()
        for one in listings:
            made._take("c1", reply(targets=one), monotonic())
        self.assertEqual([t.incarnation for t in made.targets], expected)

    @params(
        ([reply(1)], [reply(2)], 2),
        ([reply(2)], [reply(1)], 2),
        ([], [reply(1)], 1),
    )
    def test_the_catalogue_of_a_late_answer_counts(self, in_time, late, expected):
        made, _ = follower()
        for one in in_time:
            made._take("c1", one, monotonic())
        for one in late:
            made._take_late("c1", one, monotonic())
        self.assertEqual(made.catalogue.version, expected)

    def test_the_list_of_a_late_answer_replaces_none(self):
        """Guards against targets that come back with an old list."""
        made, _ = follower()
        for late in (listing(0, "first"), listing(0, "second")):
            made._take_late("c1", reply(targets=late), monotonic())
        self.assertEqual([t.incarnation for t in made.targets], ["first"])

    @params(
        # version held, version in force, is a part of it told, is it confirmed
        (1, 1, True, True),
        (2, 1, True, True),
        (1, 2, False, False),
        (1, 2, True, True),
    )
    def test_only_the_newest_catalogue_is_confirmed(self, held, newest, told, expected):
        """Guards against a host that takes its catalogue for the newest while another
        host of the core sends it parts of a newer one."""
        made, _ = follower()
        made._take("c1", reply(held, confirmed=-1), monotonic())
        said = reply(newest)
        if not told:
            said.document = None
        made._take("c2", said, monotonic())
        self.assertEqual(made.confirmed_age() < 60.0, expected)

    def test_a_silent_core_host_is_left_for_the_next(self):
        made, peers = follower({"c2": reply(3)}, seeds=("c1", "c2"))

        async def main():
            for _ in range(6):
                await made._ask(made._choose())

        curio.run(main)
        self.assertEqual(made.catalogue.version, 3)
        self.assertEqual(peers.asked[-1], "c2")
        self.assertLessEqual(peers.asked.count("c1"), 1)

    @params(
        ({"c1": None, "c2": reply(3, targets=listing())}, 3),
        ({"c1": reply(-1), "c2": reply(3, targets=listing())}, 3),
    )
    def test_all_seeds_are_asked_at_the_start(self, answers, expected):
        """Symptom: after a kill of everything the first answers come half a second
        after the core has a leader again.
        Sequence: all hosts start together; the first host of the core that is asked is
        not up yet, the next one has no leader to confirm what it holds.
        Cause: they were asked one after another, with the patience of a calm hour."""
        known = {name: word for name, word in answers.items() if word is not None}
        made, peers = follower(known, seeds=tuple(answers))
        curio.run(made._ask_seeds)
        self.assertEqual(made.catalogue.version, expected)
        self.assertEqual(set(peers.asked), set(answers))
        self.assertEqual(made._avoided_until, {})

    @params((-1,), (4000,))
    def test_core_host_that_is_behind_is_left_for_the_next(self, confirmed):
        """Symptom: requests on a new route get 404 four seconds after it was accepted.
        Sequence: the core's host of the own region answers, but no leader follows it
        up any more.
        Cause: only hosts that didn't answer were left. (Hunt of karadeniz-grown, day
        hunt-64fc-7.)"""
        behind = reply(1, confirmed=confirmed)
        made, peers = follower({"c1": behind, "c2": reply(3)})
        core = [CoreHost("c1", "r", 0), CoreHost("c2", "far", 0)]

        async def main():
            for _ in range(4):
                made.registry.hear_core(core)
                await made._ask(made._choose())

        curio.run(main)
        self.assertEqual(peers.asked, ["c1", "c2", "c2", "c2"])
        self.assertEqual(made.catalogue.version, 3)

    def test_the_own_region_s_core_host_is_asked_first(self):
        made, _ = follower()
        made.registry.hear_core([CoreHost("c1", "far", 0), CoreHost("c2", "r", 0)])
        self.assertEqual({made._choose() for _ in range(10)}, {"c2"})


if __name__ == "__main__":
    unittest.main()
