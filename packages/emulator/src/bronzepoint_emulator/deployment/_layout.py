"""What a deployment consists of: hosts, targets, callers and catalogue entries."""

from typing import Protocol

from msgspec import Struct, field

from bronzepoint_schema.generated.catalogue import CatalogueItem
from bronzepoint_schema.generated.emulator import EngineSpec, ServiceSpec
from bronzepoint_schema.ids import (
    CallerName,
    DataCenterName,
    HostName,
    OperatorName,
    OwnerName,
    RegionName,
    TargetName,
)


class HostSpec(Struct, frozen=True):
    """One host that runs ``bronzepointd``; a voter has a data folder."""

    name: HostName
    region: RegionName
    data_center: DataCenterName
    voter: bool = False


class CallerSpec(Struct, frozen=True):
    """One caller's credentials."""

    name: CallerName
    token: str
    owner: OwnerName
    home: RegionName


class OperatorSpec(Struct, frozen=True):
    """One operator's credentials."""

    name: OperatorName
    token: str


class Addresses(Protocol):
    """Tells where a target listens, once ports have been picked."""

    def target(self, name: TargetName) -> str:
        """Return ``host:port`` of a target."""


class CatalogueBuilder(Protocol):
    """Writes a layout's catalogue once the addresses are known."""

    def __call__(self, layout: "Layout", addresses: Addresses) -> list[CatalogueItem]:
        """Return the items that operators declare."""


class Layout(Struct, frozen=True):
    """A whole deployment, without ports."""

    name: str
    regions: list[RegionName]
    hosts: list[HostSpec]
    engines: list[EngineSpec]
    services: list[ServiceSpec]
    callers: list[CallerSpec]
    operators: list[OperatorSpec]
    catalogue: CatalogueBuilder
    region_delay: float = 0.0
    """Seconds from one region to another; takes effect behind fault proxies."""
    settings: dict[str, dict[str, str]] = field(default_factory=dict)
    """Keys of the INI files by section, over the harness's defaults."""

    def voters(self) -> list[HostSpec]:
        """Return the hosts that may vote."""
        return [host for host in self.hosts if host.voter]

    def host(self, name: str) -> HostSpec:
        """Return the host of that name."""
        return next(host for host in self.hosts if host.name == name)

    def region_hosts(self, region: str) -> list[HostSpec]:
        """Return the hosts of one region."""
        return [host for host in self.hosts if host.region == region]
