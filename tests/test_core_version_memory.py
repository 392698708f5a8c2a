"""Software versions of the last minute survive restarts of core hosts."""

import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

import curio
from logbook import TestHandler as LogCapture
from nose2.tools import params

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers
from bronzepoint_node.core import VersionMemory
from bronzepoint_node.core._version_history import VersionHistory
from bronzepoint_schema.generated.fleet import (
    FleetMessage,
    ServiceVersion,
    TargetInfo,
    VersionsReply,
)
from tests._addresses import free_address

MAX_WAIT = 10.0
"""Seconds after which a history counts as incomplete for good."""
V1 = ServiceVersion("s", "v1", [], 0)


def target(version):
    return TargetInfo(f"i-{version}", "s", "10.0.0.1:80", "z", 4, False, 0, version)


class CoreHost:
    """The parts of a core host that know the versions, without a list."""

    def __init__(self, folder, first_start=False, others=(), answer=None):
        self.history = VersionHistory({"z": "r"}.get)
        self.address = free_address()
        self.peers = Peers("c1", self.address, b"k" * 32, Metrics())
        self.peers.register(Area.FLEET, FleetMessage, answer)
        self._memory = VersionMemory(
            self.history, Path(folder), first_start, self.peers, lambda: others
        )

    async def start(self):
        await self.peers.start()
        await self._memory.start()

    async def close(self):
        await self._memory.close()
        await self.peers.close()

    async def store(self):
        await self._memory.save()

    def is_complete(self):
        return self.history.is_complete(monotonic())

    def several(self):
        return [v.software_version for v in self.history.report(monotonic())]


class TestVersionMemory(unittest.TestCase):
    """Guards against a core that takes the version that is left for the only one."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    @params(True, False)
    def test_versions_survive_a_restart(self, complete):
        async def main():
            former = CoreHost(self.folder, first_start=complete)
            await former.start()
            former.history.update([target("v1"), target("v2")], monotonic())
            await former.store()
            await former.close()
            restarted = CoreHost(self.folder)
            await restarted.start()
            restarted.history.update([target("v2")], monotonic())
            await restarted.close()
            return restarted.several(), restarted.is_complete()

        self.assertEqual(curio.run(main), (["v1", "v2"], complete))

    def test_write_in_progress_ends_before_the_memory_is_closed(self):
        """Guards against a thread that writes into the data folder after the end."""
        ended = []

        def save(content):
            time.sleep(0.3)
            ended.append(content)

        async def main():
            host = CoreHost(self.folder, first_start=True)
            with mock.patch.object(host._memory._file, "save", save):
                await host.start()
                await curio.sleep(0.1)
                await host.close()
                return len(ended)

        self.assertEqual(curio.run(main), 1)

    @params(
        # whether the whole system starts, the content of the file, the result
        (True, None, True),
        (False, None, False),
        (True, b"damaged", False),
        (False, b"damaged", False),
    )
    def test_host_without_a_history_knows_that_it_lacks_one(
        self, first_start, content, complete
    ):
        if content is not None:
            (Path(self.folder) / "versions.snapshot").write_bytes(content)

        async def main():
            host = CoreHost(self.folder, first_start)
            await host.start()
            host.history.update([target("v2")], monotonic())
            await host.close()
            return host.is_complete()

        with LogCapture() as log:
            self.assertIs(curio.run(main), complete)
        messages = [record.message for record in log.records]
        self.assertEqual("versions not read" in messages, content is not None)

    @params((True, False), (False, False), (True, True))
    def test_restarted_host_asks_another_one(self, complete, first_start):
        async def answer(sender, message):
            return VersionsReply(complete, [V1])

        async def main():
            host = CoreHost(self.folder, first_start, others=["c2"])
            other = Peers("c2", free_address(), b"k" * 32, Metrics())
            other.register(Area.FLEET, FleetMessage, answer)
            await other.start()
            host.peers.set_address("c2", other._listener._address)
            other.set_address("c1", host.address)
            await host.start()
            host.history.update([target("v2")], monotonic())
            async with curio.ignore_after(MAX_WAIT):
                while not host.several():
                    await curio.sleep(0.02)
            await host.close()
            await other.close()
            return host.several(), host.is_complete()

        self.assertEqual(curio.run(main), (["v1", "v2"], complete))


if __name__ == "__main__":
    unittest.main()
