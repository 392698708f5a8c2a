"""The cost of documents in the log and between voters depends on what changed."""

import unittest

import uuid_utils
from hypothesis import given
from hypothesis import strategies as st

from bronzepoint_node.agreement._documents import compress_document
from bronzepoint_node.agreement._state_machine import StateMachine
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
"""Memory in bytes that a host may use for control data."""
ROUTES = 1700
CHANGES = 40


class TestLog(unittest.TestCase):
    @with_cluster("a1")
    async def test_the_log_grows_with_what_has_changed(self, cluster):
        """Guards against a log that keeps each version of the document whole.

        Then eighteen versions of a catalogue with 1,700 routes added 93 MB to the
        leader's memory. The log, on disk and in memory, holds up to a thousand entries
        between two snapshots."""
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
        """Changes reach the leader while earlier ones are pending, whole or compressed,
        with outdated and equal versions. A voter restored from a snapshot applies the
        rest of the same log and must reach the same state."""
        leader, pending, log = StateMachine("c", []), [], []
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
            voter = StateMachine("c", [])
            for entry in log[:restored_at]:
                voter.apply(entry)
            voter = StateMachine.restore(voter.snapshot())
            for entry in log[restored_at:]:
                voter.apply(entry)
            self.assertEqual(voter.snapshot(), leader.snapshot())
        if steps:
            self.assertEqual(leader.document.content, document(highest))


class TestReading(unittest.TestCase):
    @with_cluster("a1", "b1", "c1")
    async def test_reads_carry_what_the_asking_host_lacks(self, cluster):
        """Guards against reads that transfer the whole document.

        The leader's answer has a timeout of 0.6 s."""
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
