"""The replicated state machine, the quorum rule and the voter's files."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

import curio
import msgspec
import uuid_utils
from nose2.tools import params

from bronzepoint_node.agreement import _order_positions, _state_machine
from bronzepoint_node.agreement._quorum import is_quorum, reached_by_quorum
from bronzepoint_node.agreement._state_machine import StateMachine
from bronzepoint_node.agreement._voter_log import VoterLog
from bronzepoint_node.catalogue import apply_delta, item_key
from bronzepoint_schema.generated.agreement import (
    Accepted,
    ChangeBody,
    CloseDataCenter,
    Conflicted,
    Expired,
    LogEntry,
    MachineSnapshot,
    PatchTargets,
    Put,
    TermBody,
    Voter,
)
from bronzepoint_schema.generated.catalogue import ModelEntry, OwnerItem, Target
from tests._agreement_cluster import make_change, remove_owner


class TestStateMachine(unittest.TestCase):
    def setUp(self):
        self.state_machine = StateMachine("cluster", [Voter("bkk1", "a")])

    def apply(self, change):
        index = self.state_machine.index + 1
        entry = LogEntry(index, 1, 0.0, ChangeBody(change))
        return self.state_machine.apply(entry).result

    def put(self, name="owner", version=1, operator="olive", change_id=None):
        return make_change(Put(OwnerItem(name)), version, operator, change_id)

    def test_second_change_with_equal_version_conflicts_and_names_winner(self):
        first = self.apply(self.put(operator="olive"))
        second = self.apply(self.put(operator="pim"))
        self.assertEqual((first.revision, first.version), (1, 1))
        self.assertEqual(second, Conflicted(second.change_id, "olive", 1))
        self.assertEqual(self.state_machine.revision, 1)

    @params(
        # orders as (closed, known position or None for the newest), and what applies
        ([(True, None)], {"z"}, [True]),
        ([(True, None), (False, None)], set(), [True, True]),
        # The opening was given before the closing that is applied first.
        ([(True, None), (False, 1), (True, None), (False, 1)], {"z"}, [1, 1, 1, 0]),
        # The same, and the newer closing finds it closed.
        ([(True, None), (True, None), (False, 1)], {"z"}, [1, 1, 0]),
        # Orders from an earlier version don't state what their host knew.
        ([(True, None), (True, None), (False, -1)], set(), [1, 1, 1]),
    )
    def test_overtaken_order_has_no_effect(self, orders, closed, applied):
        """Guards against an evacuation undone by an order that was delivered late."""
        found = []
        for close, known in orders:
            known = self.state_machine.index if known is None else known
            result = self.apply(make_change(CloseDataCenter("z", close, known)))
            found.append(isinstance(result, Accepted))
            snapshot = msgspec.msgpack.encode(self.state_machine.snapshot())
            decoded = msgspec.msgpack.decode(snapshot, type=MachineSnapshot)
            self.state_machine = StateMachine.restore(decoded)
        self.assertEqual(self.state_machine.closed, closed)
        self.assertEqual(found, [bool(each) for each in applied])

    @params(
        # data centers of earlier orders, the late order's, what its host knew, and the
        # position of the order that has overtaken it
        (["z"], "z", 0, 1),
        (["z"], "y", 0, None),
        (["z", "y"], "z", 0, 1),
        (["z", "y"], "z", 1, None),
        (["z", "y", "z"], "z", 1, 3),
        # Orders from an earlier version don't state what their host knew.
        (["z"], "z", -1, None),
        # Of "w" only the position is known that no order of it stands behind.
        (["w", "x", "y", "z"], "w", 0, 2),
        (["w", "x", "y", "z"], "w", 2, None),
        (["w", "x", "y", "z"], "y", 2, 3),
    )
    def test_order_is_overtaken_by_orders_for_its_data_center(
        self, names, name, known, position
    ):
        """Guards against orders that are dropped because of another data center's."""
        with mock.patch.object(_order_positions, "MAX_POSITIONS", 2):
            for each in names:
                self.close(each)
            self.state_machine = self.restored()
        late = make_change(CloseDataCenter(name, False, known))
        self.assert_overtaken(late, [], position)
        # The same orders, none of them applied.
        pending = [
            LogEntry(
                index, 1, 0.0, ChangeBody(make_change(CloseDataCenter(each, True)))
            )
            for index, each in enumerate(names, 1)
        ]
        self.state_machine = StateMachine("c", [])
        last = {each: index for index, each in enumerate(names, 1)}.get(name, 0)
        overtaken = last if 0 <= known < last else None
        self.assert_overtaken(late, pending, overtaken)

    def assert_overtaken(self, change, pending, position):
        found = self.state_machine.find_overtaking(change, pending)
        self.assertEqual(found and found.version, position)

    def test_resent_order_is_not_overtaken_by_itself(self):
        """Guards against a conflict with an order's own entry, which a former leader
        has appended."""
        change = make_change(CloseDataCenter("z", True, 0))
        pending = [LogEntry(1, 1, 0.0, ChangeBody(change))]
        self.assert_overtaken(change, pending, None)

    def test_orders_of_a_former_version_are_not_forgotten(self):
        """Guards against an evacuation undone after an upgrade, whose snapshots don't
        state the data centers of the last orders."""
        self.close("z")
        snapshot = msgspec.structs.replace(
            self.state_machine.snapshot(), orders=[], orders_floor=-1
        )
        self.state_machine = StateMachine.restore(snapshot)
        late = make_change(CloseDataCenter("z", False, 0))
        self.assert_overtaken(late, [], 1)

    def close(self, name):
        known = self.state_machine.index
        return self.apply(make_change(CloseDataCenter(name, True, known)))

    @params(0, 2, 7)
    def test_version_must_be_the_next(self, version):
        self.assertIsInstance(self.apply(self.put(version=version)), Conflicted)

    def test_resent_change_is_answered_as_the_first_time(self):
        change = self.put()
        first = self.apply(change)
        self.apply(self.put(version=2))
        lost = self.put(version=2)
        conflict = self.apply(lost)
        self.state_machine = self.restored()
        self.assertEqual(self.apply(change), first)
        self.assertEqual(self.apply(lost), conflict)
        self.assertEqual(self.state_machine.revision, 2)

    def test_removed_item_keeps_its_version(self):
        """A put that is resent after a remove must not restore the item."""
        self.apply(self.put())
        self.assertIsInstance(self.apply(remove_owner("owner", 2)), Accepted)
        self.state_machine = self.restored()
        self.assertIsInstance(self.apply(self.put(version=1)), Conflicted)
        self.assertIsInstance(self.apply(remove_owner("owner", 3)), Conflicted)
        self.assertIsInstance(self.apply(self.put(version=3)), Accepted)

    def test_change_older_than_the_kept_outcomes_is_refused(self):
        """A resend whose outcome was evicted could otherwise be applied twice."""
        changes = [self.put(f"owner{number}") for number in range(6)]
        with mock.patch.object(_state_machine, "MAX_RESULTS", 3):
            for change in changes:
                self.apply(change)
            self.state_machine = self.restored()
            self.assertEqual(self.apply(changes[2]), Expired(changes[2].change_id))
            self.assertIsInstance(self.apply(changes[3]), Accepted)
        self.assertEqual(self.state_machine.revision, 6)

    def test_snapshot_holds_the_whole_state(self):
        for number in range(20):
            self.apply(self.put(f"owner{number}"))
        self.apply(remove_owner("owner3", 2))
        self.assertEqual(len(self.state_machine.snapshot().results), 21)
        self.assertEqual(self.restored().snapshot(), self.state_machine.snapshot())

    def restored(self):
        content = msgspec.msgpack.encode(self.state_machine.snapshot())
        return StateMachine.restore(
            msgspec.msgpack.decode(content, type=MachineSnapshot)
        )

    def test_change_of_one_target_is_a_small_delta(self):
        targets = [
            Target(f"t{i}", "bkk", "bkk", f"127.0.0.1:{i + 1}") for i in range(500)
        ]
        entry = ModelEntry("phrases", "saphan", targets=targets)
        leaving = msgspec.structs.replace(targets[7], leaving=True)
        added = Target("new", "bkk", "bkk", "127.0.0.1:9")
        after = [*targets[:7], leaving, *targets[8:400], *targets[401:], added]
        state = {}
        for version, chosen in enumerate([targets, after, list(reversed(after))], 1):
            item = msgspec.structs.replace(entry, targets=chosen)
            body = ChangeBody(make_change(Put(item), version))
            log_entry = LogEntry(self.state_machine.index + 1, 1, 0.0, body)
            delta = self.state_machine.apply(log_entry).delta
            state = apply_delta(state, delta)
            held = state[item_key(item)]
            self.assertEqual(held, msgspec.structs.replace(item, version=version))
            if version == 2:
                self.assertIsInstance(delta.op, PatchTargets)
                self.assertLess(len(msgspec.msgpack.encode(delta)), 1000)

    def test_log_carries_only_the_targets_that_differ(self):
        """Guards against sending a whole large model when one target changes."""
        targets = [
            Target(f"t{i}", "bkk", "b", f"127.0.0.1:{i + 1}") for i in range(500)
        ]
        entry = ModelEntry("phrases", "saphan", targets=targets)
        after = msgspec.structs.replace(entry, targets=targets[1:])
        self.apply(make_change(Put(entry)))
        change = make_change(Put(after), 2)
        short = self.state_machine.delta_encode(change)
        self.assertLess(len(msgspec.msgpack.encode(short)), 1000)
        concurrent = self.apply(make_change(Put(entry), 2, "pim"))
        self.assertIsInstance(concurrent, Accepted)
        self.assertIsInstance(self.apply(short), Conflicted)
        short = self.state_machine.delta_encode(make_change(Put(after), 3))
        self.assertIsInstance(self.apply(short), Accepted)
        expected = msgspec.structs.replace(after, version=3)
        self.assertEqual(self.state_machine.view().items, [expected])
        outdated = make_change(Put(entry), 3)
        self.assertIs(self.state_machine.delta_encode(outdated), outdated)


OLD = [Voter("bkk1", "a"), Voter("sgp1", "b"), Voter("cnx1", "c")]
NEW = [Voter("bkk1", "a2"), Voter("sgp1", "b"), Voter("cnx1", "c")]


class TestQuorum(unittest.TestCase):
    @params(
        ("a b", [OLD], True),
        ("a", [OLD], False),
        ("a2 b", [OLD], False),
        ("a2 b", [NEW], True),
        ("", [], False),
        ("a2 b", [OLD, NEW], False),
        ("a b", [OLD, NEW], False),
        ("b c", [OLD, NEW], True),
        ("a a2 b", [OLD, NEW], True),
    )
    def test_majority_of_each_set(self, storages, sets, expected):
        self.assertEqual(is_quorum(set(storages.split()), sets), expected)

    @params(
        ({"a": 5, "b": 3, "c": 1}, [OLD], 3),
        ({"a": 5}, [OLD], 0),
        ({"a2": 9, "b": 5, "c": 1}, [OLD], 1),
        ({"a2": 9, "b": 5, "c": 1}, [OLD, NEW], 1),
        ({"a2": 9, "b": 5, "c": 1}, [NEW], 5),
    )
    def test_value_reached(self, values, sets, expected):
        self.assertEqual(reached_by_quorum(values, sets, 0), expected)


class TestVoterLog(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def run_on_log(self, steps):
        async def main():
            log = VoterLog(self.folder)
            await log.open()
            try:
                await steps(log)
            finally:
                await log.close()
            return log

        return curio.run(main)

    def entries(self, first, last, term):
        return [LogEntry(i, term, 0.0, TermBody("h")) for i in range(first, last + 1)]

    def reopen(self):
        async def nothing(log):
            pass

        return self.run_on_log(nothing)

    def test_state_is_restored_on_reopen(self):
        async def steps(log):
            await log.save_vote(3, "b")
            await log.append(self.entries(1, 5, 1))
            await log.append(self.entries(4, 4, 3))

        before, after = self.run_on_log(steps), self.reopen()
        self.assertTrue(after.identity.storage)
        self.assertEqual(after.identity, before.identity)
        self.assertEqual((after.term, after.voted_for), (3, "b"))
        self.assertEqual([after.term_at(i) for i in range(1, 6)], [1, 1, 1, 3, None])

    def test_compacted_log_is_restored_on_reopen(self):
        async def steps(log):
            await log.join_cluster("cluster", [])
            await log.append(self.entries(1, 10, 1))
            await log.compact(snapshot_at(8, 1), keep=3)
            await log.append(self.entries(11, 12, 1))
            self.assertEqual((log.base_index, log.last_index), (5, 12))

        self.run_on_log(steps)
        after = self.reopen()
        self.assertEqual((after.base_index, after.last_index), (8, 12))

    def test_committed_change_of_the_voters_is_restored_on_reopen(self):
        """Guards against a voter that needs a quorum of former voters once it starts
        again, as it has forgotten that their last change is committed."""

        async def steps(log):
            await log.append(self.entries(1, 6, 1))
            await log.save_committed(4)
            await log.save_committed(2)
            await log.save_vote(2, "b")
            await log.compact(snapshot_at(3, 1), keep=1)

        self.run_on_log(steps)
        after = self.reopen()
        found = (after.term, after.voted_for, after.committed_index)
        self.assertEqual(found, (2, "b", 4))

    def test_entries_of_a_replaced_log_are_dropped_after_a_snapshot(self):
        """Guards against uncommitted entries after a leader's snapshot.

        A crash while the snapshot is installed leaves the former log. Its entries after
        the snapshot's position were never committed, and other voters may hold
        different ones at these positions.
        """

        async def steps(log):
            await log.append(self.entries(1, 9, 1))
            with mock.patch.object(log, "_rewrite", side_effect=KeyboardInterrupt):
                with self.assertRaises(KeyboardInterrupt):
                    await log.install(snapshot_at(5, 4))

        self.run_on_log(steps)
        after = self.reopen()
        self.assertEqual((after.last_index, after.last_term), (5, 4))
        self.assertEqual(after.identity.cluster, "cluster")

    def test_emptied_folder_gets_another_storage_id(self):
        before = self.reopen()
        for path in self.folder.iterdir():
            path.unlink()
        self.assertNotEqual(self.reopen().identity.storage, before.identity.storage)


def snapshot_at(index, term):
    return MachineSnapshot("cluster", index, term, index, OLD, [], [], [], "")


class TestChangeIds(unittest.TestCase):
    def test_ids_order_by_their_time(self):
        """The state machine evicts the oldest ids first and relies on this order."""
        ids = [str(uuid_utils.uuid7()) for _ in range(100)]
        self.assertEqual(ids, sorted(ids))
