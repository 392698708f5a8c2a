"""Entry hosts with narrow links receive a large catalogue in time.

Guards against sending each version of a catalogue of 1,700 routes as a whole, over
0.3 MB on a link of 5 Mbit/s. Answers that took longer than 0.7 s, or 0.4 s at a start,
were dropped and requested again from another core host, while callers' answers waited
on the same link. A late answer of about 300 KB took most of a second. Entry hosts then
used versions replaced 5 to 18 seconds before, and after a power failure they served
nothing at all.
"""

import contextlib
import unittest
from unittest import mock

import curio

from bronzepoint_node.core import CoreSync, TargetReader
from bronzepoint_node.fleet import SyncClient, _registry, _sync_client
from bronzepoint_platform._manifest import read_manifest
from bronzepoint_schema.generated.fleet import EntryHost, EntryState
from tests._large_manifest import large_manifest
from tests._link_model import LinkModel
from tests._seeded_cluster import SeededCluster

MAX_DELAY = 4.0
"""Seconds within which an accepted change must take effect on every host."""
LINK_BYTES = 0.8 * 5e6 / 8
"""Bytes per second that callers' answers leave free on a link of 5 Mbit/s."""
ENTRY = EntryHost("h", "a", "a-1", "10.0.0.1:1", "10.0.0.1:2", EntryState.ready, 0)


class Operator:
    """Replaces the document at given times.

    Attributes:
        accepted: Simulated time at which each version was acknowledged, by version.
    """

    def __init__(self, cluster, changes):
        self.accepted = {}
        self._cluster = cluster
        self._changes = list(changes)

    async def work_until(self, now):
        while self._changes and self._changes[0][0] <= now:
            at, version, content = self._changes.pop(0)
            await self._cluster.put("a1", version, content)
            self.accepted[version] = at


class SimulatedEntryHost:
    """An entry host that syncs with one core host on a simulated clock.

    Attributes:
        held: Simulated time at which it first held each version or a newer one.
    """

    def __init__(self, cluster, operator):
        self.link = LinkModel(LINK_BYTES, operator.work_until)
        core = cluster.running["a1"], TargetReader(None, {}.get), cluster.peers["a1"]
        self.link.answer_with(CoreSync("a1", "a", *core)._handle)
        self.held = {}
        self._operator = operator
        self._client = SyncClient(
            "h", "a", lambda: ENTRY, list, read_manifest, lambda: ["a1"], self.link
        )

    async def run(self, until):
        """Sync at the interval of a running host."""
        client, link = self._client, self.link
        while link.now() < until:
            began = link.now()
            answered = await client._query(client._select_core_host())
            self._record_version()
            pause = _sync_client.SYNC_INTERVAL / (1 if answered else 4)
            link.pass_time(max(0.05, pause - (link.now() - began)))

    async def run_as_started(self, until):
        """Sync at the interval of a host that has just been started."""
        while self.link.now() < until:
            await self._client._query("a1", _sync_client.SEED_SYNC_TIMEOUT)
            self._record_version()
            self.link.pass_time(_sync_client.SEED_SYNC_INTERVAL)

    def _record_version(self):
        version = self._client.catalogue.version if self._client.catalogue else -1
        for accepted_version in self._operator.accepted:
            if accepted_version <= version:
                self.held.setdefault(accepted_version, self.link.now())


@contextlib.asynccontextmanager
async def entry_host(changes):
    """Provide an entry host and the operator that changes the catalogue."""
    async with SeededCluster("a1") as cluster:
        await cluster.until(lambda: cluster.running["a1"].confirmed_age() is not None)
        operator = Operator(cluster, changes)
        host = SimulatedEntryHost(cluster, operator)
        with (
            mock.patch.object(_sync_client, "monotonic", host.link.now),
            mock.patch.object(_registry, "monotonic", host.link.now),
        ):
            yield host, operator


def periodic_changes(gap, count, routes):
    """Return a large document at 0 s, then a changed route each ``gap`` seconds."""
    changes = [(0.0, 1, large_manifest(1, routes))]
    for number in range(1, count + 1):
        at, version = 2.0 + gap * number, 2 * number + 1
        changed = set(range(number))
        changes.append((at, version, large_manifest(version, routes, changed)))
    return changes


class TestLargeCatalogue(unittest.TestCase):
    def test_changes_take_effect_in_time(self):
        for routes, gap, count in ((1700, 0.33, 18), (1700, 1.5, 5), (17000, 1.5, 5)):
            with self.subTest(routes=routes, gap=gap):
                changes = periodic_changes(gap, count, routes)
                end = changes[-1][0] + 2 * MAX_DELAY
                late = curio.run(self.late_changes, changes, end)
                self.assertEqual(late, {})

    async def late_changes(self, changes, end):
        async with entry_host(changes) as (host, operator):
            await host.run(end)
        self.assertEqual(len(operator.accepted), len(changes))
        delays = {
            version: round(host.held.get(version, end) - at, 2)
            for version, at in operator.accepted.items()
        }
        return {v: seconds for v, seconds in delays.items() if seconds > MAX_DELAY}

    def test_started_host_receives_the_catalogue_in_time(self):
        """Guards against an outage after a power failure: entry hosts had served no
        request for 20 s while the core hosts sent them 26 MB per second."""

        async def main():
            changes = [(0.0, 1, large_manifest(1, 1700))]
            async with entry_host(changes) as (host, _):
                await host.run_as_started(MAX_DELAY)
            self.assertIn(1, host.held)

        curio.run(main)


if __name__ == "__main__":
    unittest.main()
