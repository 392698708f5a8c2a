"""Hosts of one cluster in this process, with links that tests can disconnect."""

import tempfile
from dataclasses import dataclass
from pathlib import Path

import curio
import uuid_utils

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Peers
from bronzepoint_emulator.deployment import PortBlock
from bronzepoint_node.agreement import Agreement, InitialiseRefused
from bronzepoint_node.catalogue import Catalogue
from bronzepoint_schema.generated.agreement import Change, ItemKind, Put, Remove
from bronzepoint_schema.generated.catalogue import Limits, OwnerItem
from bronzepoint_schema.generated.settings import (
    AgreementSection,
    ClusterSection,
    HostSection,
    ListenSection,
    PeerSection,
    Settings,
)

DEADLINE = 30.0
"""Maximum seconds to wait for a condition or a change."""
KEY = "5a" * 32


@dataclass
class FakeHost:
    name: str
    region: str
    state: str = "live"


class PartitionablePeers(Peers):
    """Peers whose messages are dropped without an error on disconnected links."""

    def __init__(self, name, listen, metrics, cut_links):
        super().__init__(name, listen, bytes.fromhex(KEY), metrics)
        self._cut_links = cut_links

    def _send_payload(self, peer, frame, area, call_id, payload):
        if (self._name, peer) in self._cut_links:
            return True
        return super()._send_payload(peer, frame, area, call_id, payload)


class Host:
    """One host: its catalogue and agreement."""

    def __init__(self, cluster, name, region, voter, disk):
        self.cluster = cluster
        self.name = name
        self.region = region
        self.voter = voter
        self.folder = cluster.root / name if disk else None
        self.address = cluster.ports.address()
        self.running = False

    async def start(self):
        cluster = self.cluster
        self.metrics = Metrics()
        self.peers = PartitionablePeers(
            self.name, self.address, self.metrics, cluster.cut_links
        )
        for other in cluster.hosts.values():
            self.peers.set_address(other.name, other.address, fixed=True)
        settings = cluster.settings(self)
        self.catalogue = Catalogue(
            settings, self.peers, self.metrics, cluster.live_hosts
        )
        self.agreement = Agreement(settings, self.peers, self.catalogue, self.metrics)
        await self.peers.start()
        await self.catalogue.start()
        await self.agreement.start()
        self.running = True

    async def stop(self):
        if not self.running:
            return
        self.running = False
        await self.agreement.close()
        await self.catalogue.close()
        await self.peers.close()

    async def restart(self):
        await self.stop()
        await self.start()

    def wipe(self):
        for path in self.folder.iterdir():
            path.unlink()

    @property
    def view(self):
        return self.catalogue.view

    @property
    def status(self):
        return self.agreement.status()

    def put(self, name, version=1, rate=1.0, operator="olive", change_id=None):
        item = OwnerItem(name, limits=Limits(rate=rate))
        return make_change(Put(item), version, operator, change_id)

    async def propose(self, name, version=1, **options):
        change = self.put(name, version, **options)
        return await self.agreement.propose(change, DEADLINE)


class Cluster:
    """Hosts by name, such as ``bkk1``; the region is the name without its digit."""

    def __init__(self, voters, others="", disks="", **section):
        folder = tempfile.TemporaryDirectory()
        self._folder = folder
        self.root = Path(folder.name)
        self.ports = PortBlock()
        self.ports.start()
        self.cut_links = set()
        self.section = {"heartbeat": 0.05, "lease": 0.4, "election_timeout": 0.6}
        self.section.update(section)
        self.hosts = {}
        for name in voters.split() + others.split():
            voter = name in voters.split()
            disk = voter or name in disks.split()
            self.hosts[name] = Host(self, name, name.rstrip("0123456789"), voter, disk)

    def __getitem__(self, name):
        return self.hosts[name]

    def settings(self, host):
        peers = {
            other.name: PeerSection(
                other.region, other.region, "", other.address, other.voter
            )
            for other in self.hosts.values()
            if other is not host
        }
        folder = str(host.folder) if host.folder else ""
        return Settings(
            HostSection(host.name, host.region, host.region, folder, host.voter),
            ListenSection("", host.address),
            ClusterSection(KEY),
            agreement=AgreementSection(**self.section),
            peers=peers,
        )

    def live_hosts(self):
        return [FakeHost(h.name, h.region) for h in self.hosts.values() if h.running]

    def isolate(self, *names):
        inside = set(names)
        for a in self.hosts:
            for b in self.hosts:
                if (a in inside) != (b in inside):
                    self.cut_links.add((a, b))

    def heal(self):
        self.cut_links.clear()

    async def start(self, initialise=True):
        for host in self.hosts.values():
            await host.start()
        if initialise:
            first = next(iter(self.hosts.values()))
            await initialise_cluster(first.agreement)

    async def close(self):
        for host in self.hosts.values():
            await host.stop()
        self.ports.close()
        self._folder.cleanup()

    def leaders(self):
        running = [h for h in self.hosts.values() if h.running]
        return [h for h in running if h.agreement.lease() is not None]

    async def leader(self, among=None):
        """Wait until a host holds the lease, and return it."""
        names = among.split() if among else list(self.hosts)
        await until(lambda: any(h.name in names for h in self.leaders()))
        return next(h for h in self.leaders() if h.name in names)

    async def wait_for_revision(self, revision, *names):
        for name in names or self.hosts:
            host = self.hosts[name]
            await until(
                lambda host=host: host.view.ready and host.view.revision >= revision
            )


def make_change(op, version=1, operator="olive", change_id=None):
    return Change(change_id or str(uuid_utils.uuid7()), operator, version, op)


def remove_owner(name, version):
    return make_change(Remove(ItemKind.owner, name), version)


async def initialise_cluster(agreement):
    """Initialise the cluster, and retry while it is refused because a voter is slow.

    If one voter doesn't answer within 2 s, the whole initialisation is refused. This
    was seen with a load average of 27 on eight cores. Running it again is harmless.
    """
    end = monotonic() + DEADLINE
    while True:
        try:
            return await agreement.initialise()
        except InitialiseRefused:
            if monotonic() > end:
                raise
        await curio.sleep(0.05)


async def until(condition, deadline=DEADLINE):
    """Wait until a condition holds; the long deadline only ends a test that hangs."""
    end = monotonic() + deadline
    while not condition():
        if monotonic() > end:
            raise AssertionError("the expected state was not observed")
        await curio.sleep(0.01)


def run(scenario, *args, **options):
    """Run a scenario on a started cluster and stop the cluster afterwards."""

    async def main():
        cluster = Cluster(*args, **options)
        try:
            await cluster.start()
            await scenario(cluster)
        finally:
            await cluster.close()

    curio.run(main)
