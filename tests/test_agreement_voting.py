"""Terms, votes and leases under cuts and restarts."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.peers import Area
from bronzepoint_node.agreement import NoQuorum, NotLeader, SettingsUnsafe
from bronzepoint_schema.generated.agreement import VoteRequest
from tests._agreement_cluster import Cluster, run, until

THREE = "bkk1 sgp1 cnx1"
FIVE = "bkk1 bkk2 sgp1 sgp2 cnx1"


def vote_request(cluster, term, trial=False):
    """Ask as a storage whose log is ahead of everybody's."""
    status = cluster["bkk1"].status
    return VoteRequest(status.cluster, term, "candidate", 10_000, term, trial)


class TestLeases(unittest.TestCase):
    @params(THREE, FIVE)
    def test_one_leader_at_a_time_through_a_cut(self, voters):
        """A leader cut off in silence goes on acting beside its successor.

        The leader's links are cut both ways; it hears nothing and is told nothing.
        The others elect another one. Cause: a leader that trusts its role instead of
        a lease by its own clock. At each observation at most one host may hold it.
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

    def test_stalled_leader_has_no_lease_when_it_goes_on(self):
        """A leader stalls for longer than its lease, wakes, and acts once more.

        Its disk or its process hangs, so that it can't even notice that the quorum is
        gone; the others elect another leader meanwhile. Cause: a role that ends by a
        task which hangs as well, instead of a lease that is compared with the clock
        at each act.
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

    def test_leader_without_quorum_takes_no_change(self):
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
            await cluster.in_force(accepted.revision)

        run(scenario, THREE)


class TestVotes(unittest.TestCase):
    def test_voter_back_from_a_cut_does_not_depose_the_leader(self):
        """Healing a partition makes the catalogue refuse changes for a while.

        A voter alone behind a cut stands again and again and raises its term; when
        the cut heals, its higher term deposes the healthy leader. Cause: candidacy
        without asking first whether anybody would agree.
        """

        async def scenario(cluster):
            leader = await cluster.leader()
            other = next(h for h in cluster.hosts.values() if h is not leader)
            term = leader.status.term
            cluster.isolate(other.name)
            tried = other.metrics.counters
            await until(lambda: tried().get("agreement.trial", 0) >= 3)
            cluster.heal()
            before = other.status.commit_index
            accepted = await leader.propose("after")
            await cluster.in_force(accepted.revision)
            # Its view may come from another host before the leader's next message.
            await until(lambda: other.status.commit_index > before)
            self.assertEqual({h.status.term for h in cluster.hosts.values()}, {term})

        run(scenario, THREE)

    def test_vote_is_withheld_while_a_leader_is_heard(self):
        """Two leaders act at once although each counts its lease well.

        A candidate with a higher term asks a voter that has just answered the
        leader's heartbeat. Cause: a vote given before the lease that the leader
        counts from that answer can have ended.
        """

        async def scenario(cluster):
            leader = await cluster.leader()
            term = leader.status.term
            for host in cluster.hosts.values():
                if host is not leader:
                    request = vote_request(cluster, term + 5)
                    reply = await leader.peers.call(
                        host.name, Area.AGREEMENT, request, 5
                    )
                    self.assertFalse(reply.granted)
            self.assertEqual({h.status.term for h in cluster.hosts.values()}, {term})
            self.assertIsNotNone(leader.agreement.lease())

        run(scenario, THREE)

    def test_restarted_voter_withholds_its_vote(self):
        """Two leaders act at once after a voter's restart.

        A voter answers a heartbeat, restarts, and has forgotten that it did; a
        candidate gets its vote at once. Cause: the answer isn't on disk, so only
        time since the start can stand for it.
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
        """Two leaders are elected in one term.

        A voter gives its vote, restarts, and gives another one in the same term.
        Cause: an answer that left before the vote was on the disk.
        """

        async def scenario(cluster):
            leader = await cluster.leader()
            voter = next(h for h in cluster.hosts.values() if h is not leader)
            cluster.isolate(voter.name)
            term = leader.status.term + 50
            request = vote_request(cluster, term)

            async def ask(storage):
                request.storage = storage
                return (await voter.agreement._voter.handle("x", request)).granted

            while not await ask("one"):
                await curio.sleep(0.01)
            await voter.restart()
            for _ in range(150):
                self.assertFalse(await ask("two"))
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


class TestGenesis(unittest.TestCase):
    def begin(self, scenario, voters=THREE):
        async def main():
            cluster = Cluster(voters)
            try:
                await cluster.start(initialise=False)
                await scenario(cluster)
            finally:
                await cluster.close()

        curio.run(main)

    def test_racing_operators_begin_one_cluster(self):
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

        self.begin(scenario)

    def test_nothing_begins_while_a_voter_is_out_of_reach(self):
        async def scenario(cluster):
            await cluster["cnx1"].stop()
            with self.assertRaisesRegex(Exception, "cnx1.*Remedy"):
                await cluster["bkk1"].agreement.initialise()
            self.assertEqual(cluster["bkk1"].status.role, "blank")

        self.begin(scenario)

    def test_interrupted_beginning_is_completed(self):
        async def scenario(cluster):
            await cluster["bkk1"].agreement.initialise()
            for name in ("sgp1", "cnx1"):
                await cluster[name].stop()
            cluster["cnx1"].wipe()
            for name in ("sgp1", "cnx1"):
                await cluster[name].start()
            begun = cluster["bkk1"].status.cluster
            self.assertEqual(await cluster["cnx1"].agreement.initialise(), begun)

        self.begin(scenario)
