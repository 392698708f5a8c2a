"""Many hosts in one process, with delayed messages between regions."""

from pathlib import Path
from typing import Any

import curio
from msgspec import Struct

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Peers
from bronzepoint_common.settings import cluster_key
from bronzepoint_emulator.slopes._measured_process import free_addresses
from bronzepoint_node.agreement import Agreement
from bronzepoint_node.catalogue import Catalogue
from bronzepoint_schema.generated.settings import (
    ClusterSection,
    HostSection,
    ListenSection,
    PeerSection,
    Settings,
)
from bronzepoint_schema.ids import DataCenterName, HostName, RegionName

_KEY = "5" * 64
_VOTERS_PER_REGION = (2, 2, 1)
_BATCH = 6
"""Hosts started together."""
_PAUSE = 0.3
"""Seconds between two batches of starts."""


class LiveName(Struct):
    """A live host, with the fields of membership's."""

    name: HostName
    region: RegionName
    state: str = "live"


class DelayedPeers(Peers):
    """Links that delay messages to other regions.

    Args:
        settings: Settings of the host.
        metrics: Counters.
        regions: Region of each host.
        delay: One-way delay between regions in seconds.
    """

    def __init__(
        self,
        settings: Settings,
        metrics: Metrics,
        regions: dict[HostName, RegionName],
        delay: float,
    ) -> None:
        name = settings.host.name
        super().__init__(name, settings.listen.peer, cluster_key(settings), metrics)
        self._regions = regions
        self._own_region = settings.host.region
        self._delay = delay
        self._in_flight: curio.UniversalQueue = curio.UniversalQueue()

    async def start(self) -> None:
        """Start listening and forwarding delayed messages."""
        await super().start()
        await self._tasks.spawn(self._forward_delayed)

    def _send_payload(self, peer: HostName, *frame: Any) -> bool:
        if self._regions[peer] == self._own_region or not self._delay:
            return super()._send_payload(peer, *frame)
        self._in_flight.put((monotonic() + self._delay, peer, frame))
        return True

    async def _forward_delayed(self) -> None:
        while True:
            due, peer, frame = await self._in_flight.get()
            await curio.sleep(max(0.0, due - monotonic()))
            super()._send_payload(peer, *frame)


class SpreadHost:
    """The catalogue and agreement of one host.

    Args:
        settings: Settings of the host.
        site: All hosts.
    """

    def __init__(self, settings: Settings, site: "SpreadSite") -> None:
        self.metrics = Metrics()
        self.is_voter = settings.host.voter
        self.peers = DelayedPeers(settings, self.metrics, site.regions, site.delay)
        for name, address in site.addresses.items():
            self.peers.set_address(name, address, fixed=True)
        self.catalogue = Catalogue(
            settings, self.peers, self.metrics, lambda: site.live
        )
        self.agreement = Agreement(settings, self.peers, self.catalogue, self.metrics)

    async def start(self) -> None:
        """Start the host."""
        await self.peers.start()
        await self.catalogue.start()
        await self.agreement.start()

    async def close(self) -> None:
        """Stop the host."""
        await self.agreement.close()
        await self.catalogue.close()
        await self.peers.close()


class SpreadSite:
    """All hosts of a measurement.

    Args:
        hosts: Number of hosts.
        regions: Number of regions.
        delay: One-way delay between regions in seconds.
        folder: Folder for the voters' state.
    """

    def __init__(self, hosts: int, regions: int, delay: float, folder: Path) -> None:
        names = [f"r{number % regions}-{number // regions}" for number in range(hosts)]
        self.delay = delay
        self.addresses = {HostName(n): a for n, a in free_addresses(names).items()}
        self.regions = {name: RegionName(name.split("-")[0]) for name in self.addresses}
        self.live = [LiveName(name, region) for name, region in self.regions.items()]
        self._folder = folder
        self._voters = {
            HostName(f"r{region}-{number}")
            for region, count in enumerate(_VOTERS_PER_REGION)
            for number in range(count)
        }
        self._sections = {name: self._peer(name) for name in self.addresses}
        self.hosts = [SpreadHost(self._settings(n), self) for n in self.addresses]

    async def start(self) -> None:
        """Form the cluster and start the hosts in batches.

        A starting host queries its whole region. Starting all hosts at once would
        overload this process and distort the measurement.
        """
        voters = [host for host in self.hosts if host.is_voter]
        others = [host for host in self.hosts if not host.is_voter]
        for host in voters:
            await host.start()
        await voters[0].agreement.initialise()
        for start in range(0, len(others), _BATCH):
            for host in others[start : start + _BATCH]:
                await host.start()
            await curio.sleep(_PAUSE)

    async def close(self) -> None:
        """Stop all hosts."""
        for host in self.hosts:
            await host.close()

    def _settings(self, name: HostName) -> Settings:
        folder = str(self._folder / name) if name in self._voters else ""
        region, data_center = self.regions[name], DataCenterName("d")
        return Settings(
            HostSection(name, region, data_center, folder, bool(folder)),
            ListenSection("127.0.0.1:0", self.addresses[name]),
            ClusterSection(_KEY),
            peers=self._sections,
        )

    def _peer(self, name: HostName) -> PeerSection:
        return PeerSection(
            self.regions[name],
            DataCenterName("d"),
            "127.0.0.1:9",
            self.addresses[name],
            name in self._voters,
        )
