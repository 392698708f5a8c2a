"""Propagation of the catalogue to every host, and the views that hosts may serve."""

import unittest
from collections import Counter
from unittest import mock

import curio
from nose2.tools import params

from bronzepoint_common.storage import StorageFailed
from bronzepoint_node.catalogue._exposure import MAX_WAIT, Exposure
from bronzepoint_node.catalogue._tree import parents
from tests._agreement_cluster import (
    Cluster,
    initialise_cluster,
    remove_owner,
    run,
    until,
)

THREE = "bkk1 sgp1 cnx1"
OTHERS = "bkk2 sgp2 cnx2 ist1 ist2"


class TestIsolatedRegion(unittest.TestCase):
    def test_restarted_host_loads_the_view_of_its_region(self):
        """Guards against a host that refuses all callers while its region is isolated.

        The isolation may last an hour. The host has restarted without a disk and the
        leader is unreachable, but other hosts of its region hold the newest view.
        """

        async def scenario(cluster):
            accepted = await cluster["bkk1"].propose("item")
            await cluster.wait_for_revision(accepted.revision)
            cluster.isolate("ist1", "ist2")
            await cluster["ist2"].restart()
            self.assertFalse(cluster["ist2"].view.ready)
            await until(lambda: cluster["ist2"].view.ready)
            self.assertIsNotNone(cluster["ist2"].view.owner("item"))
            self.assertIn("catalogue.ready.region", cluster["ist2"].metrics.counters())

        run(scenario, THREE, OTHERS)

    def test_own_older_view_is_not_served_in_a_newer_region(self):
        """Guards against a removed item that is served again.

        A host with a disk is down while an item is removed. Its region receives the
        change and is then isolated; the host restarts and serves the view on its disk.
        The fault occurs if it treats that view as the newest without querying the
        region.
        """

        async def scenario(cluster):
            first = await cluster["bkk1"].propose("item")
            await cluster.wait_for_revision(first.revision)
            await cluster["ist2"].stop()
            change = remove_owner("item", 2)
            removed = await cluster["bkk1"].agreement.propose(change, 30)
            await cluster.wait_for_revision(removed.revision, "ist1")
            cluster.isolate("ist1", "ist2")
            await cluster["ist2"].start()
            self.assertFalse(cluster["ist2"].view.ready)
            await until(lambda: cluster["ist2"].view.ready)
            self.assertIsNone(cluster["ist2"].view.owner("item"))

        run(scenario, THREE, OTHERS, "ist2")

    def test_view_of_a_neighbour_spreads_within_the_region(self):
        """Only one host of the region receives a change before the partition."""

        async def scenario(cluster):
            await cluster.wait_for_revision(0)
            cluster.isolate("ist2")
            accepted = await cluster["bkk1"].propose("item")
            await cluster.wait_for_revision(accepted.revision, "ist1")
            cluster.heal()
            cluster.isolate("ist1", "ist2")
            await cluster.wait_for_revision(accepted.revision, "ist2")

        run(scenario, THREE, OTHERS)

    def test_isolated_host_reports_staleness(self):
        """Guards against an isolated host that serves an old view unnoticed."""

        async def scenario(cluster):
            host = cluster["ist1"]
            await until(lambda: host.catalogue.within_bound())
            cluster.isolate("ist1", "ist2")
            await until(lambda: not host.catalogue.status().within_bound)
            self.assertTrue(host.view.ready)
            self.assertGreater(host.view.confirmed_age(), 1.0)
            gauges, counters = host.metrics.gauges, host.metrics.counters
            await until(lambda: gauges()["catalogue.within_bound"] == 0)
            await until(lambda: counters().get("catalogue.bound_exceeded") == 1)
            accepted = await cluster["bkk1"].propose("item")
            cluster.heal()
            await cluster.wait_for_revision(accepted.revision, "ist1")
            await until(lambda: host.catalogue.within_bound())

        run(scenario, THREE, OTHERS, in_force_bound=1.0)

    def test_isolated_leader_reports_staleness(self):
        async def scenario(cluster):
            leader = await cluster.leader()
            await until(leader.catalogue.within_bound)
            cluster.isolate(leader.name)
            await until(lambda: not leader.catalogue.within_bound())

        run(scenario, THREE, in_force_bound=1.0)


class TestRestart(unittest.TestCase):
    def test_nothing_is_served_before_the_cluster_is_initialised(self):
        async def main():
            cluster = Cluster(THREE, "bkk2")
            try:
                await cluster.start(initialise=False)
                for _ in range(100):
                    self.assertFalse(any(h.view.ready for h in cluster.hosts.values()))
                    await curio.sleep(0.01)
            finally:
                await cluster.close()

        curio.run(main)

    def test_host_without_disk_or_neighbours_waits_for_the_leader(self):
        async def scenario(cluster):
            accepted = await cluster["bkk1"].propose("item")
            await cluster.wait_for_revision(accepted.revision)
            cluster.isolate("ist1")
            await cluster["ist1"].restart()
            for _ in range(400):
                self.assertFalse(cluster["ist1"].view.ready)
                await curio.sleep(0.01)
            cluster.heal()
            await cluster.wait_for_revision(accepted.revision, "ist1")

        run(scenario, THREE, "ist1")

    def test_host_far_behind_loads_the_whole_view(self):
        async def scenario(cluster):
            await cluster.wait_for_revision(0)
            await cluster["ist1"].stop()
            for number in range(500):
                last = await cluster["bkk1"].propose(f"owner{number}")
            await cluster["ist1"].start()
            await cluster.wait_for_revision(last.revision, "ist1")
            self.assertEqual(len(cluster["ist1"].view.items()), 500)
            counters = cluster["ist1"].metrics.counters()
            self.assertEqual(counters["catalogue.whole_view"], 1)

        run(scenario, THREE, "ist1", "ist1")

    def test_other_cluster_is_not_followed(self):
        """Guards against hosts that adopt the empty view of a new cluster.

        All voters are emptied and the cluster is initialised again.
        """

        async def scenario(cluster):
            accepted = await cluster["bkk1"].propose("item")
            await cluster.wait_for_revision(accepted.revision)
            for name in THREE.split():
                await cluster[name].stop()
                cluster[name].wipe()
            for name in THREE.split():
                await cluster[name].start()
            other_cluster = await initialise_cluster(cluster["bkk1"].agreement)
            status = cluster["ist1"].catalogue.status
            await until(lambda: status().foreign_cluster == other_cluster)
            self.assertIsNotNone(cluster["ist1"].view.owner("item"))

        run(scenario, THREE, "ist1 ist2")


class TestDisk(unittest.TestCase):
    def test_host_with_a_failed_disk_continues_without_it(self):
        """Guards against a host with a full disk on which changes have no effect."""

        async def scenario(cluster):
            host = cluster["ist1"]
            await cluster.wait_for_revision(0)
            failed = StorageFailed(host.folder, "no space left")
            log = host.catalogue._held._log
            with mock.patch.object(log, "append", side_effect=failed):
                accepted = await cluster["bkk1"].propose("item")
                await cluster.wait_for_revision(accepted.revision)
            self.assertFalse(host.catalogue._held.durable)
            cluster.isolate("ist1", "ist2")
            await host.restart()
            await cluster.wait_for_revision(accepted.revision, "ist1")

        run(scenario, THREE, "ist1 ist2", "ist1")


class TestParents(unittest.TestCase):
    def test_unresponsive_parent_is_replaced(self):
        async def scenario(cluster):
            status = cluster["ist1"].catalogue.status
            await until(lambda: status().parent and status().ready)
            parent = status().parent
            await cluster[parent].stop()
            await until(lambda: status().parent != parent)
            others = [n for n in cluster.hosts if n != parent]
            accepted = await cluster["ist1"].propose("item")
            await cluster.wait_for_revision(accepted.revision, *others)

        run(scenario, THREE, OTHERS)

    @params((9, 3, 3), (9, 3, 5), (30, 12, 5), (30, 12, 13))
    def test_number_of_children_is_bounded(self, per_region, regions, voter_count):
        """With 360 hosts, a voter that serves all others would use all its capacity."""
        hosts = {
            f"r{r}h{i}": f"r{r}" for r in range(regions) for i in range(per_region)
        }
        voters = [f"r{i % regions}h{i // regions}" for i in range(voter_count)]
        leader = voters[0]
        children = Counter()
        for host, region in hosts.items():
            near = [name for name, where in hosts.items() if where == region]
            chosen, hops = host, 0
            while chosen != leader:
                near = [n for n, where in hosts.items() if where == hosts[chosen]]
                parent = parents(chosen, hosts[chosen], near, voters, leader)[0]
                if hops == 0:
                    children[parent] += 1
                chosen, hops = parent, hops + 1
                self.assertLessEqual(hops, 3)
        self.assertLessEqual(max(children.values()), 26)


class TestExposure(unittest.TestCase):
    def test_revision_waits_for_a_second_copy(self):
        """Guards against serving a revision that a restart without a disk loses."""
        exposure = Exposure()
        exposure.add(5, {"a": 1}, now=0.0)
        self.assertIsNone(exposure.take(now=0.0))
        exposure.note_copy(4)
        self.assertIsNone(exposure.take(now=0.0))
        exposure.note_copy(5)
        self.assertEqual(exposure.take(now=0.0), (5, {"a": 1}, False))
        self.assertIsNone(exposure.take(now=9.0))

    def test_revision_is_exposed_after_the_longest_wait(self):
        exposure = Exposure()
        exposure.add(5, {}, now=0.0)
        exposure.add(6, {}, now=MAX_WAIT / 2)
        self.assertEqual(exposure.take(now=MAX_WAIT), (5, {}, True))
        self.assertEqual(exposure.take(now=2 * MAX_WAIT), (6, {}, True))
