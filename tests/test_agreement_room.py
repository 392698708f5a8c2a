"""What voters keep is bounded in bytes, and a full disk ends none of them."""

import errno
import os
import random
import tempfile
import tracemalloc
import unittest
from contextlib import contextmanager
from pathlib import Path
from unittest import mock

import curio
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.storage import _folder, _record_log
from bronzepoint_node.agreement import AgreementError, NoRoom, default_log_bytes
from bronzepoint_schema.generated.settings import AgreementSection
from tests._seeded_cluster import DEADLINE, SeededCluster

LOG_BYTES = 64 << 10
RECORDS_FACTOR = 3
"""Bound on all records relative to that on applied ones: those that wait for a quorum,
and those of which a follower doesn't know yet that they are durable."""
FILE_FACTOR = RECORDS_FACTOR + 1
"""Bound on the file, which holds superseded records, too."""
SNAPSHOTS_FACTOR = 4
"""Bound on a snapshot and the next one, twice the bound on applied records each."""
NAMES = ("a1", "b1", "c1")
PARTIAL = 10
"""Bytes that a full disk takes of a write."""


def section(log_bytes=LOG_BYTES):
    return AgreementSection(voters_wanted=5, replace_after=60.0, log_bytes=log_bytes)


def noise(size, seed=0):
    """Return a document that can't be compressed."""
    return random.Random(seed).randbytes(size)


class FullDisks:
    """Makes writes to the data folders of some hosts fail for want of room.

    Attributes:
        hosts: Names of these hosts.
    """

    def __init__(self):
        self.hosts = set()
        self._write_all = _folder.write_all

    def write_all(self, descriptor, content):
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        if any(f"/{name}/" in path for name in self.hosts):
            os.write(descriptor, content[:PARTIAL])
            raise OSError(errno.ENOSPC, "No space left on device")
        self._write_all(descriptor, content)


@contextmanager
def full_disks():
    disks = FullDisks()
    with (
        mock.patch.object(_folder, "write_all", disks.write_all),
        mock.patch.object(_record_log, "write_all", disks.write_all),
    ):
        yield disks


async def put(cluster, version, size, name="a1"):
    """Send a document as an operator does, until it is accepted."""
    end = monotonic() + DEADLINE
    while True:
        try:
            await cluster.put(name, version, noise(size, version))
            return
        except NoRoom as exc:
            if monotonic() > end or not exc.retry_after:
                raise
            await curio.sleep(exc.retry_after)


def leader_of(cluster):
    """Return the name of the host that holds the lease; None: no host does."""
    leading = [n for n, a in cluster.running.items() if a._voter.lease() is not None]
    return leading[0] if leading else None


class RoomCase(unittest.TestCase):
    def run_cluster(self, test, *args, names=NAMES, log_bytes=LOG_BYTES):
        async def main():
            async with SeededCluster(*names) as cluster:
                await cluster.until(lambda: leader_of(cluster))
                await test(cluster, *args)

        with mock.patch("tests._seeded_cluster.TIMES", section(log_bytes)):
            curio.run(main)

    def check_bounds(self, cluster):
        for name in cluster.running:
            path = cluster.root / name / "agreement.log"
            self.assertLessEqual(path.stat().st_size, FILE_FACTOR * LOG_BYTES)
            log = cluster.running[name]._voter.log
            kept = log.bytes_between(0, log.last_index)
            self.assertLessEqual(kept, RECORDS_FACTOR * LOG_BYTES)


class TestBounds(RoomCase):
    @params((12, 60_000, 1), (60, 10_000, 1), (400, 900, 1), (24, 20_000, 4))
    def test_log_is_bounded_whatever_the_number_and_size_of_changes(
        self, count, size, senders
    ):
        """Guards against voters whose logs fill their disks, and whose memory doesn't
        suffice to read them at the next start."""
        self.run_cluster(self.check_changes, count, size, senders)

    async def check_changes(self, cluster, count, size, senders):
        for first in range(1, count + 1, senders):
            async with curio.TaskGroup() as group:
                for version in range(first, first + senders):
                    await group.spawn(self.put_any, cluster, version, size)
            self.check_bounds(cluster)
        for name in cluster.names:
            await cluster.stop(name)
        for name in cluster.names:
            await cluster.start(name)
        self.assertEqual(await cluster.read("a1"), (count, noise(size, count)))
        self.check_bounds(cluster)

    async def put_any(self, cluster, version, size):
        await put(cluster, version, size, cluster.names[version % 3])

    def test_host_that_was_away_catches_up(self):
        """Guards against a voter that can't return, as the others have replaced the
        entries that it lacks by a snapshot."""

        async def check(cluster):
            await put(cluster, 1, 20_000)
            await cluster.stop("c1")
            for version in range(2, 20):
                await put(cluster, version, 20_000)
            await cluster.start("c1")
            found = cluster.running["c1"].documents
            await cluster.until(lambda: found.version == 19 or self.held(cluster) == 19)
            self.check_bounds(cluster)

        self.run_cluster(check)

    def held(self, cluster):
        return cluster.running["c1"].documents.version

    def test_log_of_a_former_release_is_shortened(self):
        """Guards against voters that keep a log which is larger than the bound, as
        their release had none."""

        async def check(cluster):
            for version in range(1, 20):
                await put(cluster, version, 50_000)
            size = (cluster.root / "a1" / "agreement.log").stat().st_size
            self.assertGreater(size, FILE_FACTOR * LOG_BYTES)
            for name in cluster.names:
                await cluster.stop(name)
            with mock.patch("tests._seeded_cluster.TIMES", section()):
                for name in cluster.names:
                    await cluster.start(name)
            self.assertEqual((await cluster.read("a1"))[0], 19)
            await put(cluster, 20, 100)
            hosts = cluster.running.values()
            await cluster.until(lambda: all(h.documents.version == 20 for h in hosts))
            self.check_bounds(cluster)

        self.run_cluster(check, log_bytes=64 << 20)

    def test_reading_a_log_holds_one_frame_at_a_time(self):
        """Guards against a start that takes several times the memory of the log."""
        held = []

        def handle(record):
            held.append(len(record))

        sizes = (1 << 20, 10, 3 << 20, 1000)
        with tempfile.TemporaryDirectory() as folder:
            log = _record_log.RecordLog(Path(folder), "log")
            log.open()
            for size in sizes * 4:
                log.append([noise(size)])
            log.close()
            tracemalloc.start()
            self.addCleanup(tracemalloc.stop)
            log.replay(handle)
            _, peak = tracemalloc.get_traced_memory()
            log.close()
        self.assertEqual(held, [*sizes * 4])
        self.assertLess(peak, 4 * max(sizes))

    @params((128 << 20, 296 << 20), (16 << 20, 160 << 20), (0, 24 << 30))
    def test_all_files_fit_on_the_disk(self, disk, memory):
        """Guards against bounds that together exceed the disk or the memory."""
        bound = default_log_bytes(disk, memory)
        factor = FILE_FACTOR + RECORDS_FACTOR + SNAPSHOTS_FACTOR
        self.assertLess(factor * bound, 0.7 * (disk or memory))
        self.assertLess(RECORDS_FACTOR * bound, 0.2 * memory)


class TestRefusals(RoomCase):
    def test_change_that_never_fits_is_refused_at_once(self):
        """Guards against a change that operators send again for ever, as nobody says
        that it is too large."""

        async def check(cluster):
            with self.assertRaises(NoRoom) as caught:
                await cluster.put("a1", 1, noise(2 * LOG_BYTES))
            self.assertEqual(caught.exception.retry_after, 0)
            await put(cluster, 2, 100)
            self.assertEqual((await cluster.read("a1"))[0], 2)

        self.run_cluster(check)

    def test_changes_without_a_quorum_are_refused_beyond_the_bound(self):
        """Guards against a leader that collects changes which can't be committed, until
        its memory or disk is full."""

        async def check(cluster):
            leader = leader_of(cluster)
            others = set(cluster.names) - {leader}
            cluster.peers[leader].isolated_hosts |= others
            async with curio.TaskGroup(wait=all) as group:
                for version in range(1, 6):
                    await group.spawn(self.outcome, cluster, leader, version)
            refused = [r for r in group.results if isinstance(r, NoRoom)]
            self.assertGreaterEqual(len(refused), 3)
            self.assertTrue(all(exc.retry_after for exc in refused))
            self.check_bounds(cluster)

        self.run_cluster(check)

    async def outcome(self, cluster, name, version):
        try:
            await cluster.running[name].replace_document(
                version, noise(30_000, version), 0.9
            )
        except AgreementError as exc:
            return exc
        return None


class TestFullDisk(RoomCase):
    def test_full_disks_refuse_changes_and_go_on_by_themselves(self):
        """Guards against voters that end for good when their disks are full."""

        async def check(cluster):
            await put(cluster, 1, 1000)
            with full_disks() as disks:
                disks.hosts = set(cluster.names)
                end = monotonic() + 4.0
                refused = 0
                while monotonic() < end:
                    try:
                        await cluster.put("a1", 2, noise(1000))
                    except NoRoom as exc:
                        self.assertIn("room", str(exc))
                        refused += 1
                    except AgreementError:
                        pass
                    await curio.sleep(0.1)
                self.assertGreater(refused, 0)
                disks.hosts = set()
                await put(cluster, 3, 1000)
            self.assertEqual(await cluster.read("a1"), (3, noise(1000, 3)))
            self.check_all_run(cluster)

        self.run_cluster(check)

    def check_all_run(self, cluster):
        for host in cluster.running.values():
            self.assertEqual(host.failure, "")

    def test_reads_go_on_while_the_disks_of_a_quorum_are_full(self):
        """Guards against a leader that loses its lease as others have full disks."""

        async def check(cluster):
            await put(cluster, 1, 1000)
            leader = leader_of(cluster)
            with full_disks() as disks:
                disks.hosts = set(cluster.names) - {leader}
                refusals = set()
                for version in range(2, 5):
                    try:
                        await cluster.running[leader].replace_document(
                            version, noise(1000), 1.5
                        )
                    except AgreementError as exc:
                        refusals.add(type(exc))
                    document = await cluster.read(leader, 2.0)
                    self.assertEqual(document[0], 1)
                self.assertIn(NoRoom, refusals)
                self.assertEqual(leader_of(cluster), leader)
                disks.hosts = set()
                await put(cluster, 5, 1000)
            self.check_all_run(cluster)

        self.run_cluster(check)

    def test_another_host_leads_if_the_disk_of_the_leader_is_full(self):
        """Guards against one full disk of several that prevents all changes."""

        async def check(cluster):
            await put(cluster, 1, 1000)
            with full_disks() as disks:
                disks.hosts = {leader_of(cluster)}
                await put(cluster, 2, 1000)
                self.assertNotIn(leader_of(cluster), disks.hosts)
                former = disks.hosts.pop()
            hosts = cluster.running
            await cluster.until(lambda: hosts[former].documents.version == 2)
            self.check_all_run(cluster)

        self.run_cluster(check)

    def test_snapshot_without_room_leaves_the_log_as_it_is(self):
        """Guards against a voter that ends, or loses entries, as there is no room for
        a snapshot beside its log."""

        async def check(cluster):
            save = "bronzepoint_common.storage._snapshot_file.replace_file"
            full = OSError(errno.ENOSPC, "No space left on device")
            with mock.patch(save, side_effect=full):
                for version in range(1, 12):
                    await put(cluster, version, 20_000)
                counters = cluster.metrics[leader_of(cluster)].counters()
                self.assertGreater(counters["agreement.storage_full"], 0)
            await curio.sleep(1.1)
            await put(cluster, 12, 20_000)
            hosts = cluster.running.values()
            await cluster.until(lambda: all(h.documents.version == 12 for h in hosts))
            self.check_bounds(cluster)
            self.check_all_run(cluster)

        self.run_cluster(check)


if __name__ == "__main__":
    unittest.main()
