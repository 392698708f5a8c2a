"""Structure of a deployment: hosts, targets, callers and catalogue entries."""

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
    """A host that runs ``bronzepointd``; voters have a data folder."""

    name: HostName
    region: RegionName
    data_center: DataCenterName
    voter: bool = False


class CallerSpec(Struct, frozen=True):
    """Credentials of a caller."""

    name: CallerName
    token: str
    owner: OwnerName
    home: RegionName


class OperatorSpec(Struct, frozen=True):
    """Credentials of an operator."""

    name: OperatorName
    token: str


class Addresses(Protocol):
    """Gives the address of a target, once ports are assigned."""

    def target(self, name: TargetName) -> str:
        """Return ``host:port`` of a target."""


class CatalogueBuilder(Protocol):
    """Builds a layout's catalogue, once addresses are assigned."""

    def __call__(self, layout: "Layout", addresses: Addresses) -> list[CatalogueItem]:
        """Return the items to declare."""


class Layout(Struct, frozen=True):
    """A deployment without port numbers."""

    name: str
    regions: list[RegionName]
    hosts: list[HostSpec]
    engines: list[EngineSpec]
    services: list[ServiceSpec]
    callers: list[CallerSpec]
    operators: list[OperatorSpec]
    catalogue: CatalogueBuilder
    region_delay: float = 0.0
    """One-way delay between regions in seconds; needs the fault proxy."""
    settings: dict[str, dict[str, str]] = field(default_factory=dict)
    """Keys of the INI files by section; they override the harness's defaults."""

    def voters(self) -> list[HostSpec]:
        """Return the hosts that are voters."""
        return [host for host in self.hosts if host.voter]

    def host(self, name: str) -> HostSpec:
        """Return the host with this name."""
        return next(host for host in self.hosts if host.name == name)

    def region_hosts(self, region: str) -> list[HostSpec]:
        """Return the hosts of one region."""
        return [host for host in self.hosts if host.region == region]
