"""Durable state of a voter after a snapshot is installed and before its log is read."""

import tempfile
import unittest
from pathlib import Path

import curio
from nose2.tools import params

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.agreement._voter import Voter
from bronzepoint_node.agreement._voter_log import VoterLog
from bronzepoint_schema.generated.agreement import (
    GenesisRequest,
    LogEntry,
    MachineSnapshot,
    SnapshotInstall,
    TermBody,
)
from bronzepoint_schema.generated.agreement import Voter as VoterId
from bronzepoint_schema.generated.settings import AgreementSection


def snapshot_at(index, term):
    return MachineSnapshot("c", index, term, 0, [], [], [], [], "")


def entries(first, last, term):
    return [LogEntry(i, term, 0.0, TermBody("a")) for i in range(first, last + 1)]


class TestInstalledSnapshot(unittest.TestCase):
    @params((0, 3), (3, 4), (7, 12))
    def test_entries_after_an_installed_snapshot_survive_a_restart(self, index, last):
        """Guards against acknowledged entries that are lost at a restart.

        After a power failure a core of five had no quorum and its acknowledged changes
        were lost. A host joins, receives the leader's snapshot, acknowledges the
        entries after it and restarts. The fault occurs if the log doesn't hold the
        entry at the snapshot's position: it is then treated as older than the snapshot
        and its entries are dropped."""

        async def run(folder):
            log = VoterLog(folder)
            await log.open()
            await log.install(snapshot_at(index, 2))
            await log.append(entries(index + 1, last, 2))
            await log.close()
            again = VoterLog(folder)
            await again.open()
            found = again.last_index, again.last_term, again.identity.storage
            await again.close()
            return found, log.identity.storage

        with tempfile.TemporaryDirectory() as folder:
            (index_found, term, storage), before = curio.run(run, Path(folder))
        self.assertEqual((index_found, term, storage), (last, 2, before))

    def test_an_older_log_beside_a_new_snapshot_is_still_dropped(self):
        """A crash between writing the snapshot and rewriting the log leaves entries of
        another history, which must not be used after the snapshot."""

        async def run(folder):
            log = VoterLog(folder)
            await log.open()
            await log.append(entries(1, 9, 1))
            await curio.run_in_thread(
                log._snapshot_file.save, _encode(snapshot_at(5, 3))
            )
            await log.close()
            again = VoterLog(folder)
            await again.open()
            found = again.last_index
            await again.close()
            return found

        with tempfile.TemporaryDirectory() as folder:
            self.assertEqual(curio.run(run, Path(folder)), 5)


class TestMessagesBeforeStart(unittest.TestCase):
    def test_messages_before_the_log_is_read_have_no_effect(self):
        """Guards against a wiped voter whose log lacks the storage's identity.

        Such a voter doesn't start. Its links are up before its log is read, and a
        leader's snapshot that arrives in between is installed with an empty identity.
        The fault occurs if a voter handles messages before it is started."""

        async def run(folder):
            voter = Voter(
                "a", folder, ["a"], AgreementSection(), None, None, Metrics(), None
            )
            await curio.run_in_thread(voter.log._log.open)
            install = SnapshotInstall("c", 1, "s", 1, 1, b"")
            early = [
                voter.identity(),
                await voter.handle("b", install),
                await voter.initialise_cluster(GenesisRequest([VoterId("a", "")])),
            ]
            await curio.run_in_thread(voter.log._log.close)
            log = VoterLog(folder)
            await log.open()
            storage = log.identity.storage
            await log.close()
            return early, storage

        with tempfile.TemporaryDirectory() as folder:
            early, storage = curio.run(run, Path(folder))
        self.assertEqual(early, [None, None, None])
        self.assertTrue(storage)


def _encode(snapshot):
    from bronzepoint_node.agreement import _voter_log

    return _voter_log._encoder.encode(snapshot)
