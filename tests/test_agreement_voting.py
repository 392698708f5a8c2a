"""Terms, votes and leases during partitions and restarts."""

import unittest
from unittest import mock

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.peers import Area
from bronzepoint_node.agreement import NoQuorum, NotLeader, SettingsUnsafe
from bronzepoint_schema.generated.agreement import VoteRequest
from tests._agreement_cluster import Cluster, run, until

THREE = "bkk1 sgp1 cnx1"
FIVE = "bkk1 bkk2 sgp1 sgp2 cnx1"
LONG_TIMEOUT = 120.0
"""Seconds of an election timeout that doesn't expire during a test."""


def vote_request(cluster, term, pre_vote=False):
    """Return the request of a candidate whose log is ahead of all others."""
    status = cluster["bkk1"].status
    return VoteRequest(status.cluster, term, "candidate", 10_000, term, pre_vote)


class TestLeases(unittest.TestCase):
    @params(THREE, FIVE)
    def test_one_leader_at_a_time_during_a_partition(self, voters):
        """Guards against an isolated leader that continues to act beside its successor.

        The leader's messages are dropped in both directions and the others elect
        another leader. The fault occurs if a leader relies on its role instead of a
        lease by its own clock. At most one host may hold the lease at any time.
        """

        async def scenario(cluster):
            former = await cluster.leader()
            first_number = former.agreement.lease()
            cluster.isolate(former.name)

            def observe():
                leaders = cluster.leaders()
                self.assertLessEqual(len(leaders), 1)
                return leaders and leaders[0] is not former

            await until(observe)
            successor = cluster.leaders()[0]
            self.assertGreater(successor.agreement.lease(), first_number)
            cluster.heal()
            await until(lambda: former.status.role == "follower")
            self.assertIsNone(former.agreement.lease())

        run(scenario, voters)

    def test_leader_whose_task_fails_ends_its_term(self):
        """Guards against a host that seems to lead though nothing replicates for it."""

        async def scenario(cluster):
            leader = await cluster.leader()
            term = leader.agreement._voter._leadership
            failure = mock.AsyncMock(side_effect=RuntimeError("unexpected"))
            with mock.patch.object(term, "_repair_one_voter", failure):
                await until(lambda: not term.active)
            await until(lambda: cluster.leaders())
            self.assertIsNot(leader.agreement._voter._leadership, term)
            await cluster["bkk1"].propose("after")

        run(scenario, THREE)

    def test_stalled_leader_has_no_lease_when_it_resumes(self):
        """Guards against a leader that acts after it stalled longer than its lease.

        Its disk or process hangs, so it can't detect that it has lost the quorum, and
        the others elect another leader. The fault occurs if its role is ended only by
        a task, which hangs as well, instead of a lease that is compared with the clock
        before each action.
        """

        async def scenario(cluster):
            leader = await cluster.leader()
            others = " ".join(name for name in cluster.hosts if name != leader.name)
            async with leader.agreement._voter.lock:
                cluster.isolate(leader.name)
                await cluster.leader(others)
                self.assertEqual(leader.status.role, "leader")
                self.assertIsNone(leader.agreement.lease())
            cluster.heal()
            await until(lambda: leader.status.role == "follower")

        run(scenario, THREE)

    def test_lease_must_be_shorter_than_the_election_timeout(self):
        with self.assertRaisesRegex(SettingsUnsafe, "Remedy"):
            run(None, THREE, lease=0.6, election_timeout=0.6)

    def test_leader_without_quorum_accepts_no_change(self):
        async def scenario(cluster):
            leader = await cluster.leader()
            cluster.isolate(leader.name)
            with self.assertRaises((NoQuorum, NotLeader)):
                change = leader.put("cut")
                await leader.agreement.propose(change, 0.3)
            await until(lambda: leader.status.role != "leader")
            await cluster.leader("bkk1 sgp1 cnx1".replace(leader.name, ""))
            cluster.heal()
            await until(lambda: leader.status.role == "follower")
            accepted = await leader.propose("after")
            await cluster.wait_for_revision(accepted.revision)

        run(scenario, THREE)


class TestVotes(unittest.TestCase):
    def test_voter_back_from_a_partition_does_not_depose_the_leader(self):
        """Guards against changes being refused for a while after a partition heals.

        An isolated voter campaigns repeatedly and raises its term; when the partition
        heals, its higher term deposes the healthy leader. The fault occurs if it
        becomes a candidate without a pre-vote round.
        """

        async def scenario(cluster):
            leader = await cluster.leader()
            other = next(h for h in cluster.hosts.values() if h is not leader)
            term = leader.status.term
            cluster.isolate(other.name)
            counters = other.metrics.counters
            await until(lambda: counters().get("agreement.trial", 0) >= 3)
            cluster.heal()
            before = other.status.commit_index
            accepted = await leader.propose("after")
            await cluster.wait_for_revision(accepted.revision)
            # Its view may be updated by another host before the leader's next message.
            await until(lambda: other.status.commit_index > before)
            self.assertEqual({h.status.term for h in cluster.hosts.values()}, {term})

        run(scenario, THREE)

    def test_vote_is_withheld_while_a_leader_is_live(self):
        """Guards against two leaders with valid leases at the same time.

        A candidate with a higher term requests the vote of a voter that has just
        answered the leader's heartbeat. The fault occurs if the vote is granted before
        the lease based on that answer can have expired.
        """

        async def scenario(cluster):
            leader = await cluster.leader()
            term = leader.status.term
            for host in cluster.hosts.values():
                if host is not leader:
                    voter = host.agreement._voter
                    # Without contact for the election timeout the vote may be granted.
                    voter.section.election_timeout = LONG_TIMEOUT
                    asked_at = monotonic()
                    await until(lambda v=voter, t=asked_at: v.last_contact_at > t)
                    request = vote_request(cluster, term + 5)
                    reply = await leader.peers.call(
                        host.name, Area.AGREEMENT, request, 5
                    )
                    self.assertFalse(reply.granted)
            self.assertEqual({h.status.term for h in cluster.hosts.values()}, {term})
            self.assertIsNotNone(leader.agreement.lease())

        run(scenario, THREE)

    def test_restarted_voter_withholds_its_vote(self):
        """Guards against two leaders at the same time after a voter's restart.

        A voter answers a heartbeat and restarts, and a candidate gets its vote at
        once. Answers aren't stored on disk, so a restarted voter must wait for the
        election timeout instead.
        """

        async def scenario(cluster):
            leader = await cluster.leader()
            voter = next(h for h in cluster.hosts.values() if h is not leader)
            request = vote_request(cluster, leader.status.term + 5)
            await voter.stop()
            cluster.isolate(voter.name)
            started = monotonic()
            await voter.start()
            handle = voter.agreement._voter.handle
            granted = False
            while not granted:
                reply = await handle("candidate", request)
                granted = reply.granted
                await curio.sleep(0.01)
            self.assertGreaterEqual(
                monotonic() - started, cluster.section["election_timeout"]
            )

        run(scenario, THREE)

    def test_vote_survives_a_restart(self):
        """Guards against the election of two leaders in one term.

        A voter grants its vote, restarts, and grants another one in the same term. The
        fault occurs if the reply is sent before the vote is synced to disk.
        """

        async def scenario(cluster):
            leader = await cluster.leader()
            voter = next(h for h in cluster.hosts.values() if h is not leader)
            cluster.isolate(voter.name)
            term = leader.status.term + 50
            request = vote_request(cluster, term)

            async def request_vote(storage):
                request.storage = storage
                return (await voter.agreement._voter.handle("x", request)).granted

            while not await request_vote("one"):
                await curio.sleep(0.01)
            await voter.restart()
            for _ in range(150):
                self.assertFalse(await request_vote("two"))
                await curio.sleep(0.01)

        run(scenario, THREE)

    def test_messages_of_another_cluster_are_dropped(self):
        async def scenario(cluster):
            await cluster.leader()
            voter = cluster["cnx1"]
            request = vote_request(cluster, 99)
            request.cluster = "another"
            self.assertIsNone(await voter.agreement._voter.handle("x", request))
            self.assertEqual(voter.metrics.counters()["agreement.other_cluster"], 1)

        run(scenario, THREE)


class TestInitialisation(unittest.TestCase):
    def run_uninitialised(self, scenario, voters=THREE):
        async def main():
            cluster = Cluster(voters)
            try:
                await cluster.start(initialise=False)
                await scenario(cluster)
            finally:
                await cluster.close()

        curio.run(main)

    def test_concurrent_initialisation_creates_one_cluster(self):
        async def scenario(cluster):
            async with curio.TaskGroup() as group:
                tasks = [
                    await group.spawn(host.agreement.initialise)
                    for host in cluster.hosts.values()
                ]
                await group.join()
            self.assertEqual(len({task.result for task in tasks}), 1)
            again = await cluster["sgp1"].agreement.initialise()
            self.assertEqual(again, tasks[0].result)
            await cluster.leader()

        self.run_uninitialised(scenario)

    def test_initialisation_fails_while_a_voter_is_unreachable(self):
        async def scenario(cluster):
            await cluster["cnx1"].stop()
            with self.assertRaisesRegex(Exception, "cnx1.*Remedy"):
                await cluster["bkk1"].agreement.initialise()
            self.assertEqual(cluster["bkk1"].status.role, "blank")

        self.run_uninitialised(scenario)

    def test_interrupted_initialisation_is_completed(self):
        async def scenario(cluster):
            await cluster["bkk1"].agreement.initialise()
            for name in ("sgp1", "cnx1"):
                await cluster[name].stop()
            cluster["cnx1"].wipe()
            for name in ("sgp1", "cnx1"):
                await cluster[name].start()
            cluster_id = cluster["bkk1"].status.cluster
            self.assertEqual(await cluster["cnx1"].agreement.initialise(), cluster_id)

        self.run_uninitialised(scenario)
