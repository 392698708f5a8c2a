"""Repair of a voter whose disk was lost, and a second loss right after."""

import unittest
import zlib

import curio
import msgspec
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_node.agreement import InitialiseRefused
from bronzepoint_schema.generated.agreement import SnapshotInstall, VoteRequest
from tests._agreement_cluster import run, until

THREE = "bkk1 sgp1 cnx1"


def agreed_storage(observer, host):
    voters = observer.agreement._voter.state_machine.voters
    return next(v.storage for v in voters if v.host == host.name)


def is_voter(host):
    """Return whether a host is a voter again, as a follower or the leader."""
    return host.status.role in ("follower", "leader")


async def followers(cluster):
    leader = await cluster.leader()
    return [host for host in cluster.hosts.values() if host is not leader]


class TestRepair(unittest.TestCase):
    def test_wiped_voter_is_repaired_and_a_second_loss_tolerated(self):
        """Guards against the loss of accepted changes after two successive failures.

        A voter's disk is replaced, the voter rejoins, and another voter is lost.
        Changes are lost if the rejoined voter counts before it holds all accepted
        changes. It must be repaired first; then the cluster continues without the
        second voter.
        """

        async def scenario(cluster):
            wiped, second = await followers(cluster)
            # The leader may change, and a wiped one would know no voters.
            (third,) = set(cluster.hosts.values()) - {wiped, second}
            for number in range(30):
                await cluster["bkk1"].propose(f"owner{number}")
            lost_storage = wiped.status.storage
            await wiped.stop()
            wiped.wipe()
            await cluster["bkk1" if wiped.name != "bkk1" else "sgp1"].propose("during")
            await wiped.start()
            self.assertNotEqual(wiped.status.storage, lost_storage)
            await until(
                lambda: (
                    agreed_storage(third, wiped) == wiped.status.storage
                    and is_voter(wiped)
                )
            )
            await second.stop()
            accepted = await wiped.propose("after")
            self.assertEqual(accepted.revision, 32)
            await cluster.wait_for_revision(32, wiped.name, third.name)
            await second.start()
            await cluster.wait_for_revision(32)

        run(scenario, THREE, snapshot_every=20)

    def test_second_loss_before_the_repair_stops_changes_but_loses_none(self):
        """A wiped voter that hasn't caught up must not be part of a quorum.

        The wiped voter is isolated, so it can't catch up; then the other voter is
        lost. A quorum of the leader and the wiped voter would accept changes that the
        next loss erases. No change is accepted until the other voter is back.
        """

        async def scenario(cluster):
            wiped, second = await followers(cluster)
            leader = await cluster.leader()
            await leader.propose("before")
            await wiped.stop()
            wiped.wipe()
            cluster.isolate(wiped.name)
            await wiped.start()
            await second.stop()
            cluster.heal()
            await until(lambda: leader.agreement.lease() is None)
            for _ in range(100):
                self.assertIsNone(leader.agreement.lease())
                self.assertNotEqual(wiped.status.role, "leader")
                await curio.sleep(0.01)
            await second.start()
            accepted = await second.propose("after")
            self.assertEqual(accepted.revision, 2)
            await until(lambda: is_voter(wiped))

        run(scenario, THREE)

    def test_wiped_voter_does_not_vote(self):
        """Guards against a wiped voter that votes twice in one term.

        Two leaders could be elected in that term.
        """

        async def scenario(cluster):
            wiped, _ = await followers(cluster)
            leader = await cluster.leader()
            request = VoteRequest(
                leader.status.cluster, leader.status.term + 1, "x", 99, 99, False
            )
            await wiped.stop()
            wiped.wipe()
            cluster.isolate(wiped.name)
            await wiped.start()
            for _ in range(150):
                reply = await wiped.agreement._voter.handle("x", request)
                self.assertFalse(reply is not None and reply.granted)
                await curio.sleep(0.01)
            self.assertEqual(wiped.status.role, "blank")

        run(scenario, THREE)

    def test_wiped_voter_initialises_no_second_cluster(self):
        """Guards against an empty catalogue after 'cluster init' on a wiped host."""

        async def scenario(cluster):
            wiped, other = await followers(cluster)
            await wiped.stop()
            wiped.wipe()
            cluster.isolate(wiped.name)
            await wiped.start()
            with self.assertRaises(InitialiseRefused):
                await wiped.agreement.initialise()
            self.assertEqual(wiped.status.role, "blank")
            cluster.heal()
            await until(lambda: is_voter(wiped))
            self.assertEqual(await wiped.agreement.initialise(), other.status.cluster)

        run(scenario, THREE)

    @params(True, False)
    def test_former_storage_that_returns_is_not_counted(self, same_host):
        """Guards against a replaced storage that forms a quorum with former voters.

        A disk that was believed lost is mounted again.
        """

        async def scenario(cluster):
            wiped, second = await followers(cluster)
            leader = await cluster.leader()
            await leader.propose("before")
            await wiped.stop()
            kept = {path.name: path.read_bytes() for path in wiped.folder.iterdir()}
            wiped.wipe()
            await wiped.start()
            await until(lambda: is_voter(wiped))
            await until(lambda: agreed_storage(second, wiped) == wiped.status.storage)
            await wiped.stop()
            for name, content in kept.items():
                (wiped.folder / name).write_bytes(content)
            if same_host:
                cluster.isolate(wiped.name)
            await wiped.start()
            if same_host:
                counters = wiped.metrics.counters
                await until(lambda: counters().get("agreement.trial", 0) >= 2)
                self.assertIsNone(wiped.agreement.lease())
                cluster.heal()
            accepted = await wiped.propose("after")
            self.assertEqual(accepted.revision, 2)
            await until(lambda: agreed_storage(leader, wiped) == wiped.status.storage)

        run(scenario, THREE)

    def test_learner_neither_votes_nor_campaigns(self):
        """Guards against a learner that takes part in an election."""

        async def scenario(cluster):
            wiped, _ = await followers(cluster)
            leader = await cluster.leader()
            await leader.propose("before")
            await wiped.stop()
            wiped.wipe()
            cluster.isolate(wiped.name)
            await wiped.start()
            state = leader.agreement._voter.state_machine.snapshot()
            term, storage = leader.status.term, leader.status.storage
            handle = wiped.agreement._voter.handle
            reply = await handle(
                leader.name,
                SnapshotInstall(
                    state.cluster,
                    term,
                    storage,
                    state.index,
                    state.term,
                    zlib.compress(msgspec.msgpack.encode(state)),
                ),
            )
            self.assertTrue(reply.accepted)
            self.assertEqual(wiped.status.role, "learner")
            request = VoteRequest(state.cluster, term + 1, "x", 99, 99, True)
            for _ in range(150):
                self.assertFalse((await handle("x", request)).granted)
                await curio.sleep(0.01)
            self.assertNotIn("agreement.trial", wiped.metrics.counters())
            cluster.heal()
            await until(lambda: is_voter(wiped))

        run(scenario, THREE)

    def test_storage_that_lacks_entries_does_not_replace_another(self):
        """Guards against a voter that is replaced by a storage without its entries.

        That storage would be needed for the next quorum while it still receives the
        whole log, and one more loss would block all changes.
        """

        async def scenario(cluster):
            stopped, _ = await followers(cluster)
            leader = await cluster.leader()
            await leader.propose("item")
            await stopped.stop()
            voter = leader.agreement._voter
            leadership = voter._leadership
            progress = leadership._progress[stopped.name]
            progress.storage, progress.acked_at = "fresh", monotonic()
            progress.match_index = voter.commit_index - 1
            await leadership._repair_one_voter()
            self.assertIsNone(voter.log.last_voters_entry(0))
            progress.match_index = voter.commit_index
            await leadership._repair_one_voter()
            self.assertIsNotNone(voter.log.last_voters_entry(0))

        run(scenario, THREE)
