"""Sync answers that always arrive after their timeout are still applied."""

import unittest

import curio

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers
from bronzepoint_node.core import CoreSync, TargetReader
from bronzepoint_node.fleet import SyncClient
from bronzepoint_node.fleet._sync_client import SEED_SYNC_TIMEOUT, SYNC_TIMEOUT
from bronzepoint_platform._manifest import read_manifest
from bronzepoint_schema.generated.fleet import EntryHost, EntryState, FleetMessage
from tests._addresses import free_address
from tests._large_manifest import large_manifest
from tests._seeded_cluster import SeededCluster

DELAY = 1.2 * max(SYNC_TIMEOUT, SEED_SYNC_TIMEOUT)
"""Seconds that each answer takes."""
MAX_WAIT = 30.0
"""Seconds to wait for the first catalogue."""
ROUTES = 400
"""Number of routes, enough for a document that is sent in several parts."""
ENTRY = EntryHost("h", "a", "a-1", "10.0.0.1:1", "10.0.0.1:2", EntryState.ready, 0)
KEY = b"k" * 32


def make_peers(name):
    address = free_address()
    return Peers(name, address, KEY, Metrics()), address


class TestLateAnswers(unittest.TestCase):
    def test_host_with_only_late_answers_receives_the_catalogue(self):
        """Guards against a slow host that stays on an old catalogue."""
        self.assertEqual(self.follow_slow_core(lambda client: client.catalogue), 1)

    def test_core_host_that_answers_late_is_waited_for(self):
        """Guards against hosts that give up a busy core host and query it again, at
        once and for ever, so that it stays busy."""

        def is_waited_for(client):
            return client.catalogue and not client._avoided_until

        self.assertEqual(self.follow_slow_core(is_waited_for), 1)

    def follow_slow_core(self, condition):
        """Return the version held once a condition of the sync client is met."""

        async def main():
            async with SeededCluster("a1") as cluster:
                running = cluster.running["a1"]
                await cluster.until(lambda: running.confirmed_age() is not None)
                await cluster.put("a1", 1, large_manifest(1, ROUTES))
                core = running, TargetReader(None, {}.get), cluster.peers["a1"]
                core_sync = CoreSync("a1", "a", *core)

                async def answer(peer, message):
                    await curio.sleep(DELAY)
                    return await core_sync._handle(peer, message)

                return await self.follow(answer, condition)

        return curio.run(main)

    async def follow(self, answer, condition):
        """Return the version that an entry host holds, or None if it isn't met."""
        core, core_address = make_peers("a1")
        host, host_address = make_peers("h")
        core.register(Area.FLEET, FleetMessage, answer)
        sync_client = SyncClient(
            "h", "a", lambda: ENTRY, list, read_manifest, lambda: ["a1"], host
        )
        await core.start()
        host.set_address("a1", core_address)
        core.set_address("h", host_address)
        await host.start()
        await sync_client.start()
        async with curio.ignore_after(MAX_WAIT):
            while not condition(sync_client):
                await curio.sleep(0.05)
        is_met = condition(sync_client)
        await sync_client.close()
        await host.close()
        await core.close()
        return sync_client.catalogue.version if is_met else None


if __name__ == "__main__":
    unittest.main()
