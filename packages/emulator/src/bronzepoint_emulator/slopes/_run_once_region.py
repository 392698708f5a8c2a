"""A region of run-once hosts in this process, connected over loopback."""

from pathlib import Path
from typing import Self

import curio

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Peers
from bronzepoint_emulator.slopes._measured_process import free_addresses
from bronzepoint_node.run_once import RunOnce
from bronzepoint_schema.generated.settings import RunOnceSection
from bronzepoint_schema.ids import HostName

KEY = bytes(32)
CLOCK_SKEW = 0.05
"""Allowed clock skew in seconds."""
POLL = 0.01
"""Seconds between two checks of the hosts' state."""


class RunOnceRegion:
    """Starts the hosts and waits until their copies may vote.

    Args:
        hosts: Number of hosts.
        folder: Folder for their logs; if None, hosts have no disk.
    """

    def __init__(self, hosts: int, folder: Path | None = None) -> None:
        self.names = [HostName(f"bkk-{number}") for number in range(hosts)]
        self.metrics = Metrics()
        self.hosts: dict[HostName, RunOnce] = {}
        self._addresses = free_addresses(self.names)
        self._folder = folder
        self._section = RunOnceSection(clock_skew=CLOCK_SKEW, timeout=5.0)
        self._peers: dict[HostName, Peers] = {}

    async def start(self) -> Self:
        """Start all hosts."""
        for name in self.names:
            await self.start_host(name)
        while not all(host.ready and host.recovered for host in self.hosts.values()):
            await curio.sleep(POLL)
        return self

    async def close(self) -> None:
        """Stop all hosts."""
        for name in self.names:
            await self.stop_host(name)

    async def start_host(self, name: HostName) -> None:
        """Start one host; without a folder it has no stored state."""
        peers = Peers(name, self._addresses[name], KEY, self.metrics)
        for other, address in self._addresses.items():
            peers.set_address(other, address, fixed=True)
        await peers.start()
        folder = self._folder / name if self._folder is not None else None
        host = RunOnce(
            name, peers, lambda: self.names, self._section, folder, self.metrics
        )
        await host.start()
        self._peers[name] = peers
        self.hosts[name] = host

    async def stop_host(self, name: HostName) -> None:
        """End one host."""
        await self.hosts.pop(name).close(grace=0)
        await self._peers.pop(name).close()

    def counter(self, name: str) -> int:
        """Return the sum of a counter over all hosts."""
        return self.metrics.counters().get(name, 0)
