"""Deployment on which the golden sessions are recorded.

Each fault has its own target and entry, so that sessions don't depend on the state left
by earlier ones.
"""

import msgspec

from bronzepoint_emulator.deployment import Deployment, HostSpec, Layout, saphan
from bronzepoint_schema.generated.catalogue import (
    EntryClass,
    Limits,
    ModelEntry,
    OrderProtocol,
    OwnerItem,
    Residency,
    ResidencyRule,
    Route,
    ServiceEntry,
    Target,
)
from bronzepoint_schema.generated.emulator import EngineSpec, ServiceSpec
from bronzepoint_schema.ids import (
    DataCenterName,
    EntryName,
    HostName,
    OwnerName,
    RegionName,
    TargetName,
)

OWNER = OwnerName("saphan")
BKK, SGP, CNX = RegionName("bkk"), RegionName("sgp"), RegionName("cnx")
HOSTS = [("bkk-1", True), ("bkk-2", False), ("bkk-3", False), ("sgp-1", True)]
HOSTS += [("cnx-1", True)]
ENGINES = ["bkk-good", "bkk-slow", "bkk-full", "bkk-cut", "sgp-good"]
SERVICES = ["bkk-phrases", "bkk-odd", "bkk-hanging"]
SERVICES += ["bkk-steady", "bkk-torn"]
ROUTES = [
    Route(method="GET", path="/lookup"),
    Route(method="POST", path="/saved", idempotent=False),
]


def layout():
    """Return a layout of five hosts; the three in bkk store run-once records."""
    return msgspec.structs.replace(
        saphan(),
        hosts=[
            HostSpec(HostName(name), _region(name), _data_center(name), voter)
            for name, voter in HOSTS
        ],
        engines=[
            EngineSpec(TargetName(name), _region(name), _data_center(name), slots=2)
            for name in ENGINES
        ],
        services=[
            ServiceSpec(TargetName(name), _region(name), _data_center(name))
            for name in SERVICES
        ],
        catalogue=catalogue,
        settings={"http": {"max_body": "4096"}},
    )


def _region(name):
    return RegionName(name.split("-")[0])


def _data_center(name):
    return DataCenterName(f"{_region(name)}-a")


def catalogue(layout: Layout, addresses) -> list:
    """Return the catalogue items with the real addresses of the targets."""

    def targets(*names):
        return [
            Target(
                TargetName(name),
                _region(name),
                _data_center(name),
                addresses.target(TargetName(name)),
                slots=2,
                orders=OrderProtocol.fenced if name in ENGINES else OrderProtocol.none,
            )
            for name in names
        ]

    def model(name, *engines, **fields):
        home = Residency(rule=ResidencyRule.home)
        fields = {"residency": home, "version": 1} | fields
        return ModelEntry(EntryName(name), OWNER, targets=targets(*engines), **fields)

    def service(name, target, **fields):
        home = Residency(rule=ResidencyRule.home)
        fields = {"residency": home, "version": 1, "routes": ROUTES} | fields
        return ServiceEntry(EntryName(name), OWNER, targets=targets(target), **fields)

    sgp_only = Residency(rule=ResidencyRule.regions, regions=[SGP])
    return [
        OwnerItem(OWNER, version=1),
        model("clinic", "bkk-good", entry_class=EntryClass.interactive, worth=8.0),
        model("archive", "sgp-good", residency=sgp_only),
        model("staff", "bkk-good", owners_allowed=[OWNER]),
        model("hourly", "bkk-good", limits=Limits(rate=1.0)),
        model("single", "bkk-slow", limits=Limits(in_progress=1)),
        model("metered", "bkk-good", limits=Limits(tokens=1.0)),
        model("busy", "bkk-full"),
        model("crowded", "bkk-slow"),
        model("torn", "bkk-cut"),
        model("empty"),
        service("broken", "bkk-odd"),
        service("phrases", "bkk-phrases"),
        service("ledger", "bkk-hanging", deadline=2.0),
        service("notes", "bkk-steady"),
        service("leaflet", "bkk-torn"),
    ]


def address_names(dep: Deployment) -> dict[str, str]:
    """Return the name shown for each address of the deployment."""
    names = {dep.address(host): f"{host}:8080" for host in dep.host_names()}
    targets = {dep.targets.target(name): f"{name}:9000" for name in dep.targets.names()}
    return names | targets
