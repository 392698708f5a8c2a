"""Plan and figures of one measurement of membership."""

from typing import Any

from msgspec import Struct, field

from bronzepoint_common.settings import cluster_key
from bronzepoint_schema.generated.catalogue import ModelEntry, Target
from bronzepoint_schema.generated.settings import (
    ClusterSection,
    HostSection,
    ListenSection,
    PeerSection,
    Settings,
)
from bronzepoint_schema.ids import (
    DataCenterName,
    EntryName,
    HostName,
    OwnerName,
    RegionName,
    TargetName,
)

_KEY = "5" * 64
MEASURED_REGION = "r0"
ENTRY = EntryName("model")


class MembershipPlan(Struct):
    """Hosts, targets and times of one measurement.

    Attributes:
        hosts: Peer address of each host; names are ``region-number``.
        measured: Name of the measured host, which runs as a separate process.
        targets: Addresses of the targets in its region.
        warm_up: Seconds between knowing all hosts and the measurement.
        seconds: Duration of the measurement.
    """

    hosts: dict[str, str]
    measured: str
    targets: list[str] = field(default_factory=list)
    warm_up: float = 4.0
    seconds: float = 15.0

    def settings(self, name: str) -> Settings:
        """Return the settings of one host."""
        region = name.split("-")[0]
        return Settings(
            host=HostSection(HostName(name), RegionName(region), DataCenterName("d")),
            listen=ListenSection("127.0.0.1:0", self.hosts[name]),
            cluster=ClusterSection(_KEY),
            peers={host: self._peer(host) for host in self.hosts},
        )

    def key(self) -> bytes:
        """Return the cluster key."""
        return cluster_key(self.settings(self.measured))

    def entries(self) -> list[ModelEntry]:
        """Return the catalogue: one model on all targets; empty without targets."""
        targets = [
            Target(
                TargetName(f"t{number}"),
                RegionName(MEASURED_REGION),
                DataCenterName("d"),
                address,
            )
            for number, address in enumerate(self.targets)
        ]
        return [ModelEntry(ENTRY, OwnerName("o"), targets=targets)] if targets else []

    def _peer(self, host: str) -> PeerSection:
        region = RegionName(host.split("-")[0])
        return PeerSection(region, DataCenterName("d"), "127.0.0.1:9", self.hosts[host])


class Figures(Struct):
    """Resource use of one host; all but memory per second."""

    messages: float
    sent_bytes: float
    received_bytes: float
    processor_ms: float
    memory_mb: float
    polls: float
    poll_bytes: float
    relay: bool


def difference(after: dict[str, Any], before: dict[str, Any], name: str) -> float:
    """Return the increase of a counter."""
    return float(after.get(name, 0) - before.get(name, 0))
