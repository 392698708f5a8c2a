"""Changes are accepted by a quorum and applied once, also after failures."""

import unittest

import curio
from nose2.tools import params

from bronzepoint_node.agreement import Conflict, Invalid, NotLeader
from bronzepoint_schema.generated.agreement import Put
from bronzepoint_schema.generated.catalogue import OwnerItem
from tests._agreement_cluster import make_change, run, until

THREE = "bkk1 sgp1 cnx1"


async def compact(cluster):
    """Make every voter compact its log past its current entries."""
    for number in range(2 * cluster.section["snapshot_every"]):
        await cluster["bkk1"].propose(f"filler{number}")
    for host in cluster.hosts.values():
        if host.voter:
            counters = host.metrics.counters
            await until(lambda c=counters: c().get("agreement.compacted", 0) > 0)


async def change_leader(cluster):
    former = await cluster.leader()
    await former.stop()
    others = [name for name in cluster.hosts if name != former.name]
    await cluster.leader(" ".join(others))
    await former.start()


async def restart_all(cluster):
    for host in cluster.hosts.values():
        await host.stop()
    for host in cluster.hosts.values():
        await host.start()
    await cluster.leader()


async def all_disruptions(cluster):
    for disturb in (compact, change_leader, restart_all):
        await disturb(cluster)


class TestChanges(unittest.TestCase):
    def test_change_through_any_host_takes_effect_on_all(self):
        async def scenario(cluster):
            for number, host in enumerate(cluster.hosts.values(), 1):
                accepted = await host.propose(f"owner{number}", rate=number)
                self.assertEqual(accepted.revision, number)
            await cluster.wait_for_revision(len(cluster.hosts))
            for host in cluster.hosts.values():
                self.assertEqual(host.view.owner("owner2").limits.rate, 2)
                self.assertEqual(host.view.owner("owner2").version, 1)

        run(scenario, THREE, "bkk2 sgp2 cnx2 ist1 ist2")

    def test_concurrent_changes_with_equal_versions(self):
        """Guards against accepting both of two concurrent changes of one item.

        This happens if versions are compared on the host that receives the change
        instead of at its position in the replicated log.
        """

        async def scenario(cluster):
            outcomes = {}

            async def operate(operator, host):
                try:
                    await cluster[host].propose("item", 1, operator=operator)
                    outcomes[operator] = None
                except Conflict as exc:
                    outcomes[operator] = exc.winner

            async with curio.TaskGroup() as group:
                await group.spawn(operate, "olive", "sgp1")
                await group.spawn(operate, "pim", "cnx1")
            winners = [name for name, lost_to in outcomes.items() if lost_to is None]
            self.assertEqual(len(winners), 1)
            self.assertEqual(sorted(map(str, outcomes.values())), ["None", winners[0]])

        run(scenario, THREE)

    @params(compact, change_leader, restart_all, all_disruptions)
    def test_resend_is_applied_once(self, disturb):
        """Guards against applying a change twice when an operator resends it.

        Before the resend the log is compacted, the leader changes, or all voters
        restart. The change is applied twice if outcomes are kept with the connection,
        the leader or the log instead of the replicated state and its snapshot.
        """

        async def scenario(cluster):
            await cluster.leader()
            host = cluster["bkk1"]
            change = host.put("item", operator="olive")
            first = await host.agreement.propose(change, 30)
            lost = host.put("item", operator="pim")
            with self.assertRaisesRegex(Conflict, "olive"):
                await host.agreement.propose(lost, 30)
            await host.propose("item", 2)
            await disturb(cluster)
            for other in ("sgp1", "cnx1", "bkk1"):
                agreement = cluster[other].agreement
                self.assertEqual(await agreement.propose(change, 30), first)
                with self.assertRaisesRegex(Conflict, "olive"):
                    await agreement.propose(lost, 30)
            await until(lambda: host.view.owner("item") is not None)
            self.assertEqual(host.view.owner("item").version, 2)

        run(scenario, THREE, snapshot_every=20)

    def test_restart_after_hundreds_of_changes(self):
        """Guards against a restarted host that serves an outdated view."""

        async def scenario(cluster):
            await cluster.wait_for_revision(0)
            stopped = [cluster["cnx1"], cluster["cnx2"], cluster["bkk2"]]
            revision = (await cluster["bkk1"].propose("before")).revision
            await cluster.wait_for_revision(revision)
            for host in stopped:
                await host.stop()
            for number in range(600):
                await cluster["bkk1"].propose(f"owner{number}")
            for host in stopped:
                await host.start()
            for host in stopped:
                await until(lambda host=host: host.view.ready)
                self.assertGreaterEqual(host.view.revision, 601)
            last = await cluster["cnx1"].propose("after")
            await cluster.wait_for_revision(last.revision)

        run(scenario, THREE, "bkk2 cnx2 sgp2", "cnx2", snapshot_every=100)

    def test_contradictory_change_is_not_logged(self):
        async def scenario(cluster):
            leader = await cluster.leader()
            before = leader.status.last_index
            with self.assertRaisesRegex(Invalid, "give one"):
                change = make_change(Put(OwnerItem("")))
                await leader.agreement.propose(change, 30)
            self.assertEqual(leader.status.last_index, before)

        run(scenario, THREE)

    def test_not_leader_means_change_not_accepted(self):
        """NotLeader is raised only if every voter answered that it doesn't lead."""

        async def scenario(cluster):
            for name in ("sgp1", "cnx1"):
                await cluster[name].stop()
            await until(lambda: not cluster["bkk1"].agreement.leader())
            with self.assertRaises(NotLeader):
                host = cluster["bkk1"]
                host.agreement._proposer.voters = ["bkk1"]
                await host.agreement.propose(host.put("item"), 0.5)

        run(scenario, THREE)
