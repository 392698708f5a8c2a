"""What a voter holds after a snapshot was installed, and before its log is read."""

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
    def test_entries_behind_an_installed_snapshot_are_there_after_a_restart(
        self, index, last
    ):
        """Symptom: after a loss of power a core of five found no quorum, and what it
        had acknowledged was gone.
        Sequence: a host joins and gets the leader's snapshot; it acknowledges the
        entries that follow; it is restarted.
        Cause: the log was taken for one from before the snapshot, as it didn't hold
        the entry at the snapshot's position, and its entries were dropped."""

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
        """A crash between the snapshot and the rewriting of the log leaves entries of
        another history, which must not follow the snapshot."""

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


class TestBeforeTheLogIsRead(unittest.TestCase):
    def test_messages_that_come_early_touch_nothing(self):
        """Symptom: a wiped voter did not start: its log lacked the storage's identity.
        Sequence: its links are up before its log is read; a leader's snapshot arrives
        while the log is being read, and is installed under an empty identity.
        Cause: the voter took messages before it was started."""

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
