"""A core that forms from seeds, replicates one document and replaces lost hosts."""

import itertools
import unittest
from collections import Counter
from unittest import mock

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import Disconnected
from bronzepoint_common.pause_detector import PauseDetector
from bronzepoint_node.agreement import AgreementError, Conflict, Overtaken
from bronzepoint_node.agreement import _seeded_agreement as seeded_agreement
from bronzepoint_node.agreement._vote_handler import VoteHandler
from bronzepoint_schema.generated.agreement import (
    AppendRequest,
    Voter,
    VoteRequest,
    VotersBody,
)
from bronzepoint_schema.ids import OperatorName
from tests._seeded_cluster import PartitionablePeers, SeededCluster, with_cluster

FIVE = ("a1", "b1", "c1", "a2", "b2")


async def admitted():
    """Admit an order whose operator waits."""


def repairs(entries, name, cluster):
    """Return whether an entry gives a host's new storage its vote."""
    if name not in cluster.running:
        return False
    storage = cluster.running[name]._voter.log.identity.storage
    return any(
        Voter(name, storage) in entry.body.voters
        for entry in entries
        if isinstance(entry.body, VotersBody)
    )


class TestFormation(unittest.TestCase):
    @with_cluster(*FIVE)
    async def test_all_hosts_with_disks_become_voters(self, cluster):
        await cluster.put("b2", 3, b"three")
        await cluster.until(lambda: cluster.voters("a1") == set(FIVE))
        self.assertEqual(await cluster.read("c1"), (3, b"three"))

    @with_cluster("a1", "b1", "c1")
    async def test_wiped_seeds_never_form_a_second_cluster(self, cluster):
        """Guards against an empty catalogue that replaces an accepted one.

        A majority of the disks is lost and the hosts restart with blank disks. The
        fault occurs if blank seeds act as at the first start of the system. They must
        wait for the host that still has its disk."""
        await cluster.put("a1", 1)
        first = cluster.running["c1"]._voter.log.identity.cluster
        for name in ("a1", "b1"):
            await cluster.wipe(name)
        for name in ("a1", "b1"):
            await cluster.start(name)
        await curio.sleep(1.5)
        with self.assertRaises(AgreementError):
            await cluster.read("a1", timeout=0.5)
        # If c1 was the leader and still sends, the blank hosts follow it. They must not
        # belong to any other cluster.
        for name in ("a1", "b1"):
            found = cluster.running[name]._voter.log.identity.cluster
            self.assertIn(found, ("", first))

    @with_cluster(*FIVE)
    async def test_permanently_lost_host_is_replaced_at_another_address(self, cluster):
        await cluster.put("a1", 1)
        await cluster.until(lambda: cluster.voters("a1") == set(FIVE))
        await cluster.stop("b1")
        await cluster.start("b3")
        expected = {"a1", "c1", "a2", "b2", "b3"}
        await cluster.until(lambda: cluster.voters("a1") == expected)
        await cluster.put("b3", 2)
        self.assertEqual(await cluster.read("a2"), (2, b"x"))

    @with_cluster(*FIVE)
    async def test_wiped_host_votes_again_and_a_second_loss_is_tolerated(self, cluster):
        await cluster.put("a1", 1, b"kept")
        await cluster.until(lambda: cluster.voters("a1") == set(FIVE))
        await cluster.wipe("c1")
        await cluster.start("c1")
        joined = cluster.running["c1"]._voter
        await cluster.until(lambda: joined.may_vote())
        for name in ("a1", "b1"):
            await cluster.stop(name)
        self.assertEqual(await cluster.read("c1"), (1, b"kept"))

    @with_cluster(*FIVE)
    async def test_second_loss_before_a_repair_is_committed_is_tolerated(self, cluster):
        """Guards against a core without a leader although three of five voters run.

        A wiped voter holds the entry that makes it a voter again. The entry reaches
        neither of the voters that survive, and the leader is lost with one more."""
        await cluster.put("a1", 1, b"kept")
        await cluster.until(lambda: cluster.all_applied(FIVE))
        leader = next(n for n in FIVE if cluster.running[n]._voter.is_leader)
        wiped, second, *surviving = (n for n in FIVE if n != leader)
        await cluster.wipe(wiped)
        log = cluster.running[leader]._voter.log
        append = log.append

        async def cut_before_repair(entries):
            if repairs(entries, wiped, cluster):
                PartitionablePeers.isolated_hosts = set(surviving)
            await append(entries)

        log.append = cut_before_repair
        await cluster.start(wiped)
        joined = cluster.running[wiped]._voter
        await cluster.until(lambda: joined.may_vote())
        self.assertEqual(PartitionablePeers.isolated_hosts, set(surviving))
        for name in (leader, second):
            await cluster.stop(name)
        PartitionablePeers.isolated_hosts = set()
        self.assertEqual(await cluster.read(wiped), (1, b"kept"))

    @with_cluster(*FIVE)
    async def test_replaced_voters_are_not_needed_after_a_restart(self, cluster):
        """Guards against a core without a leader after a restart of its quorum.

        Two of the first three voters were replaced long before. The fault occurs if a
        restarted voter requires a quorum of the first voters, because it hasn't applied
        the changes in its log yet."""
        await cluster.put("a1", 1, b"kept")
        hosts = set(FIVE)
        await cluster.until(lambda: cluster.all_applied(hosts))
        for lost, new in (("b1", "b3"), ("c1", "c3")):
            await cluster.stop(lost)
            await cluster.start(new)
            hosts = hosts - {lost} | {new}
            await cluster.until(lambda names=hosts: cluster.all_applied(names))
        for name in sorted(hosts):
            await cluster.stop(name)
        for name in ("a1", "a2", "b2"):
            await cluster.start(name)
        self.assertEqual(await cluster.read("a1"), (1, b"kept"))

    @with_cluster("a1", "b1", "c1", "a2")
    async def test_host_without_a_vote_follows_the_next_leader(self, cluster):
        """Guards against entry hosts that serve an old catalogue for seconds.

        The leader is lost. A learner that knew it repeats its join request to it alone,
        and the next leader doesn't know that learner. The learner must send join
        requests to other hosts too."""
        await cluster.put("a1", 1)
        learner = cluster.running["a2"]
        await cluster.until(lambda: learner.document and learner.document.version == 1)
        names = ("a1", "b1", "c1")
        lost = next(n for n in names if cluster.running[n]._voter.is_leader)
        await cluster.stop(lost)
        await cluster.put(next(n for n in names if n != lost), 2)
        await cluster.until(lambda: learner.document.version == 2)


class TestDocument(unittest.TestCase):
    @params(
        ((1, b"a"), (2, b"b"), (2, b"b")),  # the higher version takes effect
        ((5, b"a"), (4, b"b"), (5, b"a")),  # a lower version has no effect
        ((5, b"a"), (5, b"b"), (5, b"a")),  # an equal version has no effect
    )
    def test_highest_version_wins(self, first, second, expected):
        async def main():
            async with SeededCluster("a1", "b1", "c1") as cluster:
                await cluster.put("a1", *first)
                await cluster.put("b1", *second)
                return [await cluster.read(name) for name in cluster.names]

        self.assertEqual(curio.run(main), [expected] * 3)

    @with_cluster("a1", "b1", "c1")
    async def test_concurrent_documents_of_one_version_give_one_document(self, cluster):
        async with curio.TaskGroup() as group:
            for number, name in enumerate(cluster.names):
                await group.spawn(cluster.put, name, 7, b"%d" % number)
        documents = {await cluster.read(name) for name in cluster.names}
        self.assertEqual(len(documents), 1)

    @with_cluster("a1", "b1", "c1")
    async def test_isolated_host_returns_no_stale_document(self, cluster):
        await cluster.put("a1", 1)
        PartitionablePeers.isolated_hosts = {"c1"}
        with self.assertRaises(AgreementError):
            # The other hosts may accept a newer document at any time from now on.
            await curio.sleep(1.5)
            await cluster.read("c1", timeout=0.8)
        PartitionablePeers.isolated_hosts = set()
        await cluster.put("a1", 2)
        self.assertEqual(await cluster.read("c1"), (2, b"x"))

    @with_cluster(*FIVE)
    async def test_accepted_changes_survive_restart_of_all_hosts(self, cluster):
        """Guards against a core that can't serve after all its hosts were killed.

        Hosts join through the leader's snapshot, acknowledge changes, and are all
        restarted at once. The fault occurs if a quorum loses these changes; see
        test_agreement_storage."""
        await cluster.until(lambda: cluster.voters("a1") == set(FIVE))
        await cluster.put("a1", 9, b"nine")
        await cluster.running["b1"].close_data_center("a-x", True, 10.0, admitted)
        for name in FIVE:
            await cluster.stop(name)
        for name in FIVE:
            await cluster.start(name)
        self.assertEqual(await cluster.read("b2"), (9, b"nine"))
        await cluster.until(lambda: cluster.running["c1"].closed == {"a-x"})

    @mock.patch.object(seeded_agreement, "OPERATOR_PATIENCE", 0.0)
    @with_cluster(*FIVE)
    async def test_order_is_dropped_when_a_newer_one_was_accepted(self, cluster):
        """Guards against an evacuation undone by a host that was stopped meanwhile."""
        a1, b1 = cluster.running["a1"], cluster.running["b1"]
        await a1.close_data_center("a-x", True, 10.0, admitted)
        resumed = curio.Event()

        async def work():
            await b1.close_data_center("a-x", False, 10.0, resumed.wait)

        # b1 stops between reading the order and proposing it.
        late = await curio.spawn(work)
        await curio.sleep(0)
        await cluster.until(lambda: a1.closed == {"a-x"})
        await a1.close_data_center("a-x", False, 10.0, admitted)
        await cluster.until(lambda: not a1.closed)
        await a1.close_data_center("a-x", True, 10.0, admitted)
        await resumed.set()
        with self.assertRaises(curio.TaskError) as caught:
            await late.join()
        self.assertIsInstance(caught.exception.__cause__, Overtaken)
        await cluster.until(lambda: b1.revision == a1.revision)
        self.assertEqual((a1.closed, b1.closed), ({"a-x"}, {"a-x"}))

    @mock.patch.object(seeded_agreement, "OPERATOR_PATIENCE", 60.0)
    @with_cluster(*FIVE)
    async def test_order_behind_another_is_given_again_if_its_operator_waits(
        self, cluster
    ):
        """Guards against a refusal of one of two operators who order at once, and
        against an order that is given again though its operator has left."""
        a1, b1 = cluster.running["a1"], cluster.running["b1"]
        checks = []

        async def admit():
            checks.append(None)
            if len(checks) == 1:
                await a1.close_data_center("a-x", False, 10.0, admitted)
            elif len(checks) == 4:
                raise Disconnected("it has left")
            elif len(checks) == 3:
                await a1.close_data_center("a-x", True, 10.0, admitted)

        await b1.close_data_center("a-x", True, 10.0, admit)
        self.assertEqual(len(checks), 2)
        with self.assertRaises(Disconnected):
            await b1.close_data_center("a-x", False, 10.0, admit)
        await cluster.until(lambda: b1.revision == a1.revision)
        self.assertEqual(b1.closed, {"a-x"})

    @mock.patch.object(seeded_agreement, "OPERATOR_PATIENCE", 60.0)
    @with_cluster(*FIVE)
    async def test_orders_for_different_data_centers_do_not_delay_each_other(
        self, cluster
    ):
        """Guards against orders that are given again, or refused, because of orders for
        other data centers that arrive at the same time."""
        names = {f"a-{number}" for number in range(8)}
        checks, all_checked = Counter(), curio.Event()

        async def order(name, host):
            async def admit():
                checks[name] += 1
                if len(checks) == len(names):
                    await all_checked.set()
                await all_checked.wait()

            await cluster.running[host].close_data_center(name, True, 10.0, admit)

        async with curio.TaskGroup() as group:
            for name, host in zip(sorted(names), itertools.cycle(FIVE)):
                await group.spawn(order, name, host)
        self.assertEqual(checks, dict.fromkeys(names, 1))
        await cluster.until(lambda: cluster.running["b2"].closed == names)

    @mock.patch.object(seeded_agreement, "OPERATOR_PATIENCE", 60.0)
    @with_cluster(*FIVE)
    async def test_late_order_has_no_effect_after_orders_for_others(self, cluster):
        """Guards against an evacuation undone by an order that was delivered late,
        where the last order in the log is one for another data center."""
        a1, b1 = cluster.running["a1"], cluster.running["b1"]
        resumed = curio.Event()
        late = []

        async def admit():
            late.append(None)
            if len(late) > 1:
                raise Disconnected("it has left")
            await resumed.wait()

        task = await curio.spawn(b1.close_data_center, "a-x", False, 10.0, admit)
        await curio.sleep(0)
        await a1.close_data_center("a-x", True, 10.0, admitted)
        await a1.close_data_center("a-y", True, 10.0, admitted)
        await resumed.set()
        with self.assertRaises(curio.TaskError) as caught:
            await task.join()
        self.assertIsInstance(caught.exception.__cause__, Disconnected)
        await cluster.until(lambda: b1.revision == a1.revision)
        self.assertEqual(b1.closed, {"a-x", "a-y"})

    @params((0, 0, True), (2, 2, True), (2, 1, False))
    def test_order_is_given_again_behind_what_is_applied(
        self, ahead, applied, accepted
    ):
        """Guards against an evacuation undone by an order that names a position which
        its leader had not committed and another leader has given to other entries."""

        @with_cluster("a1", "b1", "c1")
        async def check(self, cluster):
            agreement = cluster.running["b1"]
            await cluster.put("b1", 1)
            await cluster.until(lambda: agreement.document is not None)
            machine = agreement._voter.state_machine
            first = machine.index
            known = []

            async def propose(change, timeout):
                known.append((change.op.known_index, machine.index))
                if len(known) == 1:
                    raise Conflict(OperatorName(""), first + ahead)

            async def commit():
                for number in range(applied):
                    await cluster.put("a1", 2 + number)

            agreement._proposer.propose, original = propose, agreement._proposer.propose
            committing = await curio.spawn(commit)
            try:
                await agreement.close_data_center("a-x", True, 10.0, admitted)
            except Overtaken:
                pass
            finally:
                agreement._proposer.propose = original
                await committing.join()
            self.assertEqual(len(known), 2 if accepted else 1)
            for stated, held in known:
                self.assertLessEqual(stated, held)

        check(self)

    @with_cluster(*FIVE)
    async def test_restarted_host_confirms_nothing_before_leader_contact(self, cluster):
        """Guards against a route refused with 404 although its change was accepted.

        A host restarts and reads its snapshot. An entry host queries it before a leader
        has sent the commit index of later entries. The fault occurs if the snapshot's
        document is returned as the newest one."""
        await cluster.put("a1", 1)
        await cluster.stop("c1")
        PartitionablePeers.isolated_hosts = {"c1"}
        await cluster.start("c1")
        await curio.sleep(0.3)
        self.assertIsNone(cluster.running["c1"].confirmed_age())
        PartitionablePeers.isolated_hosts = set()
        await cluster.until(lambda: cluster.running["c1"].confirmed_age() is not None)
        self.assertEqual(cluster.running["c1"].document.version, 1)

    @params(
        # entries that the message doesn't hold, whether the host has just resumed,
        # whether the message confirms the state
        (0, False, True),
        (1, False, False),
        (0, True, False),
    )
    def test_message_of_the_leader_confirms_the_state(self, missing, resumed, confirms):
        """Guards against a host that is behind and tells entry hosts that it isn't.

        It lacks committed entries, or reads messages that waited while it was paused.
        """

        @with_cluster("a1", "b1", "c1")
        async def check(self, cluster):
            await cluster.put("a1", 1)
            hosts = cluster.running.values()
            await cluster.until(lambda: all(a.document is not None for a in hosts))
            await cluster.until(
                lambda: all(a.confirmed_age() is not None for a in hosts)
            )
            leader = next(n for n, a in cluster.running.items() if a._voter.is_leader)
            follower = next(n for n in ("c1", "b1") if n != leader)
            PartitionablePeers.isolated_hosts = {follower}
            await curio.sleep(0.5)
            agreement = cluster.running[follower]
            log, last = agreement._voter.log, agreement._voter.log.last_index
            message = AppendRequest(
                log.identity.cluster,
                log.term,
                cluster.running[leader]._voter.log.identity.storage,
                last,
                log.last_term,
                last + missing,
                [],
            )
            sent_at = monotonic()
            with mock.patch.object(
                PauseDetector, "has_just_resumed", lambda self: resumed
            ):
                await agreement._voter.handle(leader, message)
            age = agreement.confirmed_age()
            self.assertEqual(monotonic() - age >= sent_at, confirms)

        check(self)


async def answer_candidate(set_up, storage="other", trial=True, unled=True):
    """Return the reply of a voter without a leader to a vote request.

    Args:
        set_up: Called with the voter and its vote handler before the request.
        storage: The candidate's storage.
        trial: Field of the request: it is a pre-vote.
        unled: Field of the request: every voter reported that there is no leader.
    """
    async with SeededCluster("a1", "b1", "c1") as cluster:
        await cluster.put("a1", 1)
        for name in ("b1", "c1"):
            await cluster.stop(name)
        voter = cluster.running["a1"]._voter
        async with voter.lock:
            log = voter.log
            await voter.step_down(log.term)
            voter.last_contact_at = float("inf")
            vote_handler = VoteHandler(voter)
            set_up(voter, vote_handler)
            request = VoteRequest(
                log.identity.cluster,
                log.term + 1,
                storage,
                log.last_index,
                log.last_term,
                trial,
                unled,
            )
            return await vote_handler.answer(request)


class TestEarlyElection(unittest.TestCase):
    @params((False, True, True), (True, True, False), (False, False, False))
    def test_early_vote_needs_voters_without_leader_contact(
        self, has_contact, unled, granted
    ):
        """A restarted voter doesn't know which leader it answered before the restart.

        It votes at once only if every voter reports that there is no leader and it has
        had no contact with a leader itself."""

        def set_up(voter, vote_handler):
            voter.has_leader_contact = has_contact

        reply = curio.run(answer_candidate, set_up, "other", False, unled)
        self.assertEqual(reply.granted, granted)

    @params(
        # seconds since its vote, own candidacy, candidate's storage, granted, leads
        (None, False, "zz", True, False),
        (0.0, False, "zz", False, True),
        (5.0, False, "zz", True, False),
        (None, True, "zz", False, True),
        (None, True, "00", True, False),
    )
    def test_ongoing_early_election_is_not_disrupted(
        self, vote_age, campaigns, candidate, granted, leads
    ):
        """Guards against a restart of the whole core that sometimes takes 2 s longer.

        All voters have just started and one is elected. Before its first message
        arrives, another one campaigns in the next term and deposes it. The fault
        occurs if voters that have just voted or campaign themselves vote again at
        once."""

        def set_up(voter, vote_handler):
            voter.has_leader_contact = False
            voter.is_early_candidate = campaigns
            if vote_age is not None:
                vote_handler.granted_at = monotonic() - vote_age

        reply = curio.run(answer_candidate, set_up, candidate)
        self.assertEqual((reply.granted, reply.leads), (granted, leads))


if __name__ == "__main__":
    unittest.main()
