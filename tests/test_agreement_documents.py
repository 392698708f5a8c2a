"""Documents in the log and between voters cost what has changed in them."""

import unittest

import uuid_utils
from hypothesis import given
from hypothesis import strategies as st

from bronzepoint_node.agreement._documents import compress_document
from bronzepoint_node.agreement._machine import Machine
from bronzepoint_schema.generated.agreement import (
    Accepted,
    Change,
    ChangeBody,
    LogEntry,
    ReplaceDocument,
)
from bronzepoint_schema.generated.settings import AgreementSection
from tests._large_manifest import large_manifest
from tests._seeded_cluster import with_cluster

CONTROL_MEMORY = 64e6
"""Bytes that a host may use for control."""
ROUTES = 1700
CHANGES = 40


class TestLog(unittest.TestCase):
    @with_cluster("a1")
    async def test_the_log_grows_with_what_has_changed(self, cluster):
        """The leader's memory grew by 93 MB while eighteen versions of a catalogue of
        1,700 routes were agreed: the log, on the disk and in memory, kept each of them
        whole, up to a thousand between two snapshots."""
        await cluster.put("a1", 1, large_manifest(1, ROUTES))
        path = cluster.root / "a1" / "agreement.log"
        before = path.stat().st_size
        for version in range(2, 2 + CHANGES):
            changed = set(range(version))
            await cluster.put("a1", version, large_manifest(version, ROUTES, changed))
        grown = path.stat().st_size - before
        records = AgreementSection().snapshot_every
        self.assertLess(grown / CHANGES * records, CONTROL_MEMORY)


def document(version):
    return large_manifest(version, 20, {version % 20})


def change(op):
    return Change(str(uuid_utils.uuid7()), "", 1, op)


class TestShortenedChanges(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(1, 9), st.booleans(), st.booleans())))
    def test_the_log_leads_to_the_highest_version(self, steps):
        """Changes reach the leader before those in front of them are applied, whole or
        packed, overtaken and with equal numbers; a voter that was restored from a
        snapshot applies the rest of the same log."""
        leader, pending, log = Machine("c", []), [], []
        for version, packed, applies in steps:
            content = document(version)
            op = compress_document if packed else ReplaceDocument
            short = leader.delta_encode(change(op(version, content)), pending)
            entry = LogEntry(len(log) + 1, 1, 0.0, ChangeBody(short))
            pending.append(entry)
            log.append(entry)
            while applies and pending:
                result = leader.apply(pending.pop(0)).result
                self.assertIsInstance(result, Accepted)
        for entry in pending:
            leader.apply(entry)
        highest = max((version for version, *_ in steps), default=-1)
        self.assertEqual(leader.documents.version, highest)
        for restored_at in range(len(log) + 1):
            voter = Machine("c", [])
            for entry in log[:restored_at]:
                voter.apply(entry)
            voter = Machine.restore(voter.snapshot())
            for entry in log[restored_at:]:
                voter.apply(entry)
            self.assertEqual(voter.snapshot(), leader.snapshot())
        if steps:
            self.assertEqual(leader.document.content, document(highest))


class TestReading(unittest.TestCase):
    @with_cluster("a1", "b1", "c1")
    async def test_reads_carry_what_the_asking_host_lacks(self, cluster):
        """Each read used to bring the whole document from the leader, within 0.6 s."""
        await cluster.put("a1", 1, large_manifest(1, ROUTES))
        for name in cluster.names:
            agreement = cluster.running[name]
            await cluster.until(lambda a=agreement: a.documents.version == 1)
        sent = self.sent(cluster)
        for name in cluster.names:
            version, content = await cluster.read(name)
            self.assertEqual((version, content), (1, large_manifest(1, ROUTES)))
        self.assertLess(self.sent(cluster) - sent, 0.2 * len(content))

    def sent(self, cluster):
        counters = [metrics.counters() for metrics in cluster.metrics.values()]
        return sum(found.get("peers.sent_bytes", 0) for found in counters)


if __name__ == "__main__":
    unittest.main()
