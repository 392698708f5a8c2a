"""Core and entry hosts in this process that tests can isolate, replace and restart."""

from functools import partial

import curio

from bronzepoint_common.metrics import Metrics
from bronzepoint_node.agreement import SeededAgreement
from bronzepoint_node.core import CoreSync, HostMemory, TargetReader
from bronzepoint_node.fleet import CallerLimits, ServedCatalogue, SyncClient
from bronzepoint_schema.generated.fleet import EntryHost, EntryState
from tests._seeded_cluster import TIMES, PartitionablePeers, SeededCluster

MAX_WAIT = 60.0
"""Maximum seconds to wait for a state: a guard against a hang, not a limit on speed."""


class CoreFleet(SeededCluster):
    """Hosts of both roles; the letter of a name is its region.

    Attributes:
        seeds: Core hosts that the settings of a host name at its start.
        current_seeds: The same as the settings file of a running host names them.
        entries: Running entry hosts by name.
        core_syncs: What running core hosts know of the other hosts.
    """

    def __init__(self, *names):
        super().__init__(*names)
        self.current_seeds = {}
        self.entries = {}
        self.core_syncs = {}
        self._parts = {}

    async def __aexit__(self, *exc_info):
        for name in list(self.entries):
            await self.stop_entry(name)
        await super().__aexit__(*exc_info)

    async def start(self, name, first_start=False):
        peers = await self._start_peers(name)
        seeds = list(self.seeds)
        self.current_seeds[name] = seeds
        agreement = SeededAgreement(
            name,
            name[0],
            self.root / name,
            seeds,
            first_start,
            TIMES,
            peers,
            self.metrics[name],
            lambda: core_sync.live_core_hosts(),
        )
        reader = TargetReader(no_targets, {}.get)
        core_sync = CoreSync(
            name,
            name[0],
            agreement,
            reader,
            peers,
            None,
            lambda: self.current_seeds[name],
            self.metrics[name],
        )
        memory = HostMemory(core_sync.registry, self.root / name)
        self.running[name], self.core_syncs[name] = agreement, core_sync
        self._parts[name] = [reader, memory, core_sync]
        for part in (agreement, *self._parts[name]):
            await part.start()

    async def stop(self, name):
        """End a core host; its disk is kept."""
        for part in reversed(self._parts.pop(name)):
            await part.close()
        await super().stop(name)

    async def start_entry(self, name):
        peers = await self._start_peers(name)
        self.current_seeds[name] = list(self.seeds)
        host = EntryHost(name, name[0], name[0], "", "", EntryState.ready, 0)
        self.entries[name] = SyncClient(
            name,
            name[0],
            lambda: host,
            list,
            lambda content: ServedCatalogue(int(content), (), {}, CallerLimits()),
            lambda: self.current_seeds[name],
            peers,
            self.metrics[name],
        )
        await self.entries[name].start()

    async def stop_entry(self, name):
        await self.entries.pop(name).close()
        await self.peers.pop(name).close()

    async def replace_all(self, successors):
        """Replace core hosts one after another by empty ones at other addresses.

        The settings of the hosts that start later name the new ones.
        """
        for former, name in successors.items():
            await self.start(name)
            await self.stop(former)
            self.seeds = [name if seed == former else seed for seed in self.seeds]
            await self.until(partial(self._is_replaced, former))

    def _is_replaced(self, former):
        present = self.running.keys() - self.isolated
        return all(former not in self.voters(name) for name in present)

    @property
    def isolated(self):
        return PartitionablePeers.isolated_hosts

    def isolate(self, *names):
        """Cut hosts off from all others, each other included."""
        PartitionablePeers.isolated_hosts = {*self.isolated, *names}

    def rejoin(self, *names):
        """End the isolation of hosts."""
        PartitionablePeers.isolated_hosts = self.isolated - set(names)

    def in_force(self, name):
        """Return the version of the catalogue in effect on an entry host."""
        catalogue = self.entries[name].catalogue
        return None if catalogue is None else catalogue.version

    def knows_all(self, core, entries):
        """Return whether each host knows all of these entry hosts."""
        registries = [self.entries[name].registry for name in entries]
        registries += [self.core_syncs[name].registry for name in core]
        return all({h.name for h in r.entries()} == set(entries) for r in registries)

    async def until(self, condition, max_wait=MAX_WAIT):
        await super().until(condition, max_wait)

    async def until_in_force(self, version, *names):
        await self.until(lambda: all(self.in_force(n) == version for n in names))

    async def _start_peers(self, name):
        if name not in self.addresses:
            self.addresses[name] = self.ports.address()
        self.metrics[name] = Metrics()
        self.peers[name] = PartitionablePeers(
            name, self.addresses[name], b"key", self.metrics[name], self.addresses.get
        )
        await self.peers[name].start()
        return self.peers[name]


async def no_targets():
    return []


def with_fleet(core, entries):
    """Run a test's coroutine with a fleet of these core and entry hosts."""

    def decorate(test):
        def run(self, *arguments):
            async def main():
                async with CoreFleet(*core) as fleet:
                    await fleet.put(core[0], 1, b"1")
                    for name in entries:
                        await fleet.start_entry(name)
                    await fleet.until_in_force(1, *entries)
                    await fleet.until(lambda: fleet.knows_all(core, entries))
                    await test(self, fleet, *arguments)

            curio.run(main)

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run

    return decorate


__all__ = ["CoreFleet", "with_fleet"]
