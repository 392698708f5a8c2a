"""Hosts that a core host remembers across restarts."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

import curio
from nose2.tools import params

from bronzepoint_common.storage import SnapshotFile, StorageFailed
from bronzepoint_node.core import CoreSync, HostMemory
from bronzepoint_node.fleet import Registry
from bronzepoint_schema.generated.fleet import CoreHost, EntryHost, EntryState


def entry(name):
    return EntryHost(name, "r", "z", f"{name}:1", f"{name}:2", EntryState.ready, 0)


class TestHostMemory(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def make(self):
        registry = Registry()
        return registry, HostMemory(registry, self.folder)

    def restore(self):
        registry, memory = self.make()

        async def main():
            await memory.start()
            await memory.close()

        curio.run(main)
        return registry

    def test_restored_hosts_are_lost_until_they_are_heard(self):
        """Guards against callers that are sent to hosts which may not run any more."""
        registry, memory = self.make()
        registry.merge_entries([entry("h1")])
        registry.merge_core([CoreHost("c1", "r", 0)])
        curio.run(memory.save)
        restored = self.restore()
        self.assertEqual([restored.entries(), restored.core()], [[], []])
        self.assertEqual([h.name for h in restored.lost_entries()], ["h1"])
        self.assertEqual([h.name for h in restored.lost_core()], ["c1"])
        restored.merge_entries([entry("h1")])
        self.assertEqual([h.name for h in restored.entries()], ["h1"])

    def test_restarts_do_not_renew_a_host_that_is_given_up(self):
        """Guards against calling an address for ever, since each restart of a core host
        would make it a host that was lost just now."""
        registry, memory = self.make()
        lost = entry("h1")
        registry.merge_entries([lost])
        curio.run(memory.save)
        lost.age_ms = 20 * 3_600_000
        registry = Registry()
        registry.merge_entries([lost])
        memory._registry = registry
        curio.run(memory.save)
        (restored,) = self.restore().lost_entries()
        self.assertGreaterEqual(restored.age_ms, lost.age_ms)

    @params(b"", b"not a snapshot", None)
    def test_unreadable_file_does_not_prevent_the_start(self, content):
        path = SnapshotFile(self.folder, "hosts").path
        if content is None:
            SnapshotFile(self.folder, "hosts").save(b"\xc1")
        else:
            path.write_bytes(content)
        self.assertEqual(self.restore().known_entries(), [])

    def test_hosts_are_stored_again_after_a_write_has_failed(self):
        """Guards against a host that is forgotten since the disk was full once."""
        registry, memory = self.make()
        registry.merge_entries([entry("h1")])
        failure = StorageFailed(self.folder, OSError(28, "no space left"))
        with mock.patch.object(SnapshotFile, "save", side_effect=failure):
            curio.run(memory.save)
        curio.run(memory.save)
        self.assertEqual([h.name for h in self.restore().known_entries()], ["h1"])

    def test_unchanged_hosts_are_not_written_again(self):
        """Guards against writes to the disk for each report of a known host."""
        registry, memory = self.make()
        with mock.patch.object(SnapshotFile, "save") as save:
            for _ in range(3):
                registry.merge_entries([entry("h1")])
                curio.run(memory.save)
        self.assertEqual(save.call_count, 1)


class StubPeers:
    """Stub of ``Peers`` that records posted messages."""

    def __init__(self):
        self.posted = []

    def register(self, area, union, handler):
        pass

    def post(self, peer, area, message):
        self.posted.append((peer, message))


class TestNewCoreHosts(unittest.TestCase):
    def test_new_core_host_is_told_of_lost_hosts_once(self):
        """Guards against lost hosts that nobody calls any more once all core hosts that
        have heard them are replaced."""
        peers = StubPeers()
        core_sync = CoreSync("c1", "r", None, None, peers)
        lost = entry("h1")
        lost.age_ms = 60_000
        core_sync.registry.merge_entries([lost])
        core_sync.registry.merge_core([CoreHost("c2", "r", 0)])
        for _ in range(3):
            core_sync._tell_lost_hosts()
        ((peer, notice),) = peers.posted
        self.assertEqual(peer, "c2")
        self.assertEqual([host.name for host in notice.hosts], ["h1"])
        self.assertGreaterEqual(notice.hosts[0].age_ms, 60_000)

    def test_no_message_is_sent_while_no_host_is_lost(self):
        peers = StubPeers()
        core_sync = CoreSync("c1", "r", None, None, peers)
        core_sync.registry.merge_core([CoreHost("c2", "r", 0)])
        core_sync._tell_lost_hosts()
        self.assertEqual(peers.posted, [])


if __name__ == "__main__":
    unittest.main()
