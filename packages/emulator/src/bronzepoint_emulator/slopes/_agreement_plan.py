"""Plan and figures of one measurement of catalogue replication."""

from msgspec import Struct

from bronzepoint_common.settings import cluster_key
from bronzepoint_schema.generated.settings import (
    ClusterSection,
    HostSection,
    ListenSection,
    PeerSection,
    Settings,
)
from bronzepoint_schema.ids import DataCenterName, HostName, RegionName

_KEY = "5" * 64
_REGION = RegionName("r0")
_REMOTE_REGION = RegionName("r1")
MEASURED = HostName("measured")


class AgreementPlan(Struct):
    """Hosts, sizes and times of one measurement.

    Attributes:
        hosts: Peer address of each host; voters are named ``voter-number``, hosts that
            poll the measured one ``child-number``.
        folder: Folder for the voters' state.
        leads: Whether the measured host is the leading voter; otherwise it is a relay.
        items: Items in the catalogue.
        targets: Targets of the model that is changed; if 0, owners are changed.
        rate: Changes per second.
        warm_up: Seconds before the measurement.
        seconds: Duration of the measurement.
    """

    hosts: dict[HostName, str]
    folder: str
    leads: bool
    items: int = 50
    targets: int = 0
    rate: float = 0.0
    warm_up: float = 3.0
    seconds: float = 10.0

    def is_voter(self, name: HostName) -> bool:
        """Return whether a host is a voter."""
        return name.startswith("voter") or (name == MEASURED and self.leads)

    def settings(self, name: HostName) -> Settings:
        """Return the settings of one host."""
        folder = f"{self.folder}/{name}" if self.is_voter(name) else ""
        return Settings(
            HostSection(
                name, self._region(name), DataCenterName("d"), folder, bool(folder)
            ),
            ListenSection("127.0.0.1:0", self.hosts[name]),
            ClusterSection(_KEY),
            peers={host: self._peer(host) for host in self.hosts if host != name},
        )

    def key(self) -> bytes:
        """Return the cluster key."""
        return cluster_key(self.settings(MEASURED))

    def _region(self, name: HostName) -> RegionName:
        return _REMOTE_REGION if name.startswith("voter") else _REGION

    def _peer(self, host: HostName) -> PeerSection:
        return PeerSection(
            self._region(host),
            DataCenterName("d"),
            "127.0.0.1:9",
            self.hosts[host],
            self.is_voter(host),
        )


class AgreementFigures(Struct):
    """Resource use of the measured host; all but memory per second."""

    messages: float
    sent_bytes: float
    received_bytes: float
    processor_ms: float
    memory_mb: float
    changes: float
    leads: bool
