"""Hosts of a core formed from seeds, in this process; tests can isolate them."""

import shutil
import tempfile
from pathlib import Path

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Peers
from bronzepoint_emulator.deployment import PortBlock
from bronzepoint_node.agreement import AgreementError, SeededAgreement
from bronzepoint_schema.generated.settings import AgreementSection

DEADLINE = 20.0
"""Maximum seconds to wait for a condition or a change."""
TIMES = AgreementSection(voters_wanted=5, replace_after=1.0)


class PartitionablePeers(Peers):
    """Peers whose messages to and from isolated hosts are dropped without an error."""

    isolated_hosts: set = set()

    def _send_payload(self, peer, frame, area, call_id, payload):
        if self._name in self.isolated_hosts or peer in self.isolated_hosts:
            return True
        return super()._send_payload(peer, frame, area, call_id, payload)


class SeededCluster:
    """Hosts ``a1``, ``b1``, …; the letter is the region, the first three are seeds."""

    def __init__(self, *names):
        self.names = names
        self.seeds = list(names[:3])
        self.root = Path(tempfile.mkdtemp())
        self.ports = PortBlock()
        self.ports.start()
        self.addresses = {}
        self.running = {}
        self.peers = {}
        self.metrics = {}
        PartitionablePeers.isolated_hosts = set()

    async def __aenter__(self):
        for name in self.names:
            await self.start(name, first_start=True)
        return self

    async def __aexit__(self, *exc_info):
        for name in list(self.running):
            await self.stop(name)
        self.ports.close()
        shutil.rmtree(self.root)

    async def start(self, name, first_start=False):
        if name not in self.addresses:
            self.addresses[name] = self.ports.address()
        address = self.addresses[name]
        self.metrics[name] = Metrics()
        peers = PartitionablePeers(
            name, address, b"key", self.metrics[name], self.addresses.get
        )
        agreement = SeededAgreement(
            name,
            name[0],
            self.root / name,
            self.seeds,
            first_start,
            TIMES,
            peers,
            self.metrics[name],
        )
        await peers.start()
        await agreement.start()
        self.running[name], self.peers[name] = agreement, peers

    async def stop(self, name):
        await self.running.pop(name).close()
        await self.peers.pop(name).close()

    async def wipe(self, name):
        await self.stop(name)
        shutil.rmtree(self.root / name)

    async def put(self, name, version, content=b"x"):
        await self.running[name].replace_document(version, content, DEADLINE)

    async def read(self, name, timeout=DEADLINE):
        document = await self.running[name].read_newest(timeout)
        return document and (document.version, document.content)

    def voters(self, name):
        return {v.host for v in self.running[name]._voter.known_voters()}

    def all_applied(self, names):
        """Return whether these hosts have applied a set with all of them as voters."""
        machines = (self.running[name]._voter.state_machine for name in names)
        return all({v.host for v in m.voters} == set(names) for m in machines)

    async def until(self, condition, max_wait=DEADLINE):
        end = monotonic() + max_wait
        while not condition():
            if monotonic() > end:
                raise AssertionError("the expected state was not observed")
            await curio.sleep(0.02)


def with_cluster(*names):
    """Run a test's coroutine with a cluster of these hosts."""

    def decorate(test):
        def run(self):
            async def main():
                async with SeededCluster(*names) as cluster:
                    await test(self, cluster)

            curio.run(main)

        run.__name__, run.__doc__ = test.__name__, test.__doc__
        return run

    return decorate


__all__ = ["AgreementError", "PartitionablePeers", "SeededCluster", "with_cluster"]
