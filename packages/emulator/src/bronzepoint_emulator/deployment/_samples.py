"""Layouts of two sample deployments."""

from bronzepoint_emulator.deployment._layout import (
    Addresses,
    CallerSpec,
    CatalogueBuilder,
    HostSpec,
    Layout,
    OperatorSpec,
)
from bronzepoint_schema.generated.catalogue import (
    CatalogueItem,
    ClassItem,
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
    Weights,
)
from bronzepoint_schema.generated.emulator import (
    EngineSpec,
    OrderCheck,
    ServiceSpec,
)
from bronzepoint_schema.ids import (
    CallerName,
    DataCenterName,
    EntryName,
    HostName,
    OperatorName,
    OwnerName,
    RegionName,
    TargetName,
)

HOSTS_PER_REGION = 3
ENGINES_PER_REGION = 2
REGION_DELAY = 0.03
"""One-way delay between regions in seconds."""
# With two voters in each of two regions and one in the third, a majority survives the
# loss of any one region.
VOTERS_PER_REGION = (2, 2, 1)
OPERATORS = ("anong", "deniz")
_ORDERS = {
    OrderCheck.fenced: OrderProtocol.fenced,
    OrderCheck.unfenced: OrderProtocol.unfenced,
}


def _data_center(region: str) -> DataCenterName:
    return DataCenterName(f"{region}-a")


def _hosts(regions: list[RegionName], per_region: int) -> list[HostSpec]:
    return [
        HostSpec(
            HostName(f"{region}-{number}"),
            region,
            _data_center(region),
            voter=number <= voters,
        )
        for region, voters in zip(regions, VOTERS_PER_REGION, strict=False)
        for number in range(1, per_region + 1)
    ]


def _engines(regions: list[RegionName]) -> list[EngineSpec]:
    return [
        EngineSpec(
            TargetName(f"{region}-engine-{number}"),
            region,
            _data_center(region),
            # One engine of each region checks fencing numbers; the other ignores them.
            check=OrderCheck.fenced if number == 1 else OrderCheck.unfenced,
        )
        for region in regions
        for number in range(1, ENGINES_PER_REGION + 1)
    ]


def _callers(
    owners: list[OwnerName], prefix: str, regions: list[RegionName]
) -> list[CallerSpec]:
    """Return one caller per owner and region; its token contains both names."""
    return [
        CallerSpec(
            CallerName(f"{prefix}-{owner}-{region}"),
            f"token-{owner}-{region}",
            owner,
            region,
        )
        for owner in owners
        for region in regions
    ]


def _build(
    name: str,
    regions: list[str],
    owners: list[str],
    services: str,
    catalogue: CatalogueBuilder,
    hosts_per_region: int,
) -> Layout:
    names = [RegionName(region) for region in regions]
    return Layout(
        name=name,
        regions=names,
        hosts=_hosts(names, hosts_per_region),
        engines=_engines(names),
        services=[
            ServiceSpec(
                TargetName(f"{region}-{services}"), region, _data_center(region)
            )
            for region in names
        ],
        callers=_callers([OwnerName(owner) for owner in owners], name, names),
        operators=[
            OperatorSpec(OperatorName(operator), f"operator-{operator}")
            for operator in OPERATORS
        ],
        catalogue=catalogue,
        region_delay=REGION_DELAY,
    )


def _engine_targets(layout: Layout, addresses: Addresses) -> list[Target]:
    return [
        Target(
            name=engine.name,
            region=engine.region,
            data_center=engine.data_center,
            address=addresses.target(engine.name),
            slots=engine.slots,
            cost=engine.cost,
            orders=_ORDERS[engine.check],
        )
        for engine in layout.engines
    ]


def _service_targets(layout: Layout, addresses: Addresses) -> list[Target]:
    return [
        Target(
            name=service.name,
            region=service.region,
            data_center=service.data_center,
            address=addresses.target(service.name),
            slots=service.slots,
        )
        for service in layout.services
    ]


def _saphan_catalogue(layout: Layout, addresses: Addresses) -> list[CatalogueItem]:
    engines = _engine_targets(layout, addresses)
    services = _service_targets(layout, addresses)
    owner = OwnerName("saphan")
    return [
        OwnerItem(name=owner, version=1, share=1.0),
        OwnerItem(name=OwnerName("guest"), version=1, share=1.0),
        ClassItem(name=EntryClass.interactive, version=1),
        ModelEntry(
            name=EntryName("phrasebook"),
            owner=owner,
            entry_class=EntryClass.interactive,
            version=1,
            weights=Weights(latency=2.0, cost=0.2),
            deadline=10.0,
            worth=5.0,
            model_version="1",
            targets=engines,
        ),
        ModelEntry(
            name=EntryName("clinic"),
            owner=owner,
            entry_class=EntryClass.interactive,
            version=1,
            residency=Residency(rule=ResidencyRule.home),
            weights=Weights(latency=2.0, cost=0.2),
            deadline=10.0,
            worth=8.0,
            targets=engines,
        ),
        ModelEntry(
            name=EntryName("tour-notes"),
            owner=owner,
            entry_class=EntryClass.batch,
            version=1,
            limits=Limits(rate=1.0),
            targets=engines,
        ),
        ServiceEntry(
            name=EntryName("phrases"),
            owner=owner,
            entry_class=EntryClass.interactive,
            version=1,
            residency=Residency(rule=ResidencyRule.home),
            deadline=10.0,
            routes=[
                Route(method="GET", path="/lookup", idempotent=True),
                Route(method="POST", path="/saved", idempotent=False),
            ],
            targets=services,
        ),
    ]


def _karadeniz_catalogue(layout: Layout, addresses: Addresses) -> list[CatalogueItem]:
    engines = _engine_targets(layout, addresses)
    services = _service_targets(layout, addresses)
    owner = OwnerName("karadeniz")
    return [
        OwnerItem(name=owner, version=1, share=1.0),
        OwnerItem(name=OwnerName("brokers"), version=1, share=1.0),
        ClassItem(name=EntryClass.interactive, version=1),
        ModelEntry(
            name=EntryName("quotes"),
            owner=owner,
            entry_class=EntryClass.interactive,
            version=1,
            weights=Weights(latency=0.3, cost=1.0),
            deadline=15.0,
            worth=10.0,
            targets=engines,
        ),
        ModelEntry(
            name=EntryName("drafts"),
            owner=owner,
            entry_class=EntryClass.standard,
            version=1,
            weights=Weights(latency=0.1, cost=1.0),
            deadline=30.0,
            worth=4.0,
            targets=engines,
        ),
        ServiceEntry(
            name=EntryName("orders"),
            owner=owner,
            entry_class=EntryClass.interactive,
            version=1,
            residency=Residency(rule=ResidencyRule.home),
            deadline=10.0,
            worth=50.0,
            routes=[
                Route(method="GET", path="/routes", idempotent=True),
                Route(method="POST", path="/confirmations", idempotent=False),
            ],
            targets=services,
        ),
    ]


def saphan(hosts_per_region: int = HOSTS_PER_REGION) -> Layout:
    """Return Saphan's deployment: a phrasebook in bkk, sgp and cnx."""
    return _build(
        "saphan",
        ["bkk", "sgp", "cnx"],
        ["saphan", "guest"],
        "phrases",
        _saphan_catalogue,
        hosts_per_region,
    )


def karadeniz(hosts_per_region: int = HOSTS_PER_REGION) -> Layout:
    """Return Karadeniz's deployment: quotes and orders in ist, fra and mrs."""
    return _build(
        "karadeniz",
        ["ist", "fra", "mrs"],
        ["karadeniz", "brokers"],
        "orders",
        _karadeniz_catalogue,
        hosts_per_region,
    )
