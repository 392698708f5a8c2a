"""One host before two engines that cost next to nothing."""

from bronzepoint_emulator.deployment import (
    CallerSpec,
    HostSpec,
    Layout,
    OperatorSpec,
)
from bronzepoint_emulator.deployment._layout import Addresses
from bronzepoint_schema.generated.catalogue import (
    CatalogueItem,
    ModelEntry,
    ServiceEntry,
    Target,
)
from bronzepoint_schema.generated.emulator import EngineSpec
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

REGION = RegionName("one")
ROOM = DataCenterName("one-a")
OWNER = OwnerName("bench")
TOKEN = "bench-caller"
STREAMS = EntryName("streams")
SHORT = EntryName("short")
SLOTS = 256
STREAM_STEP = 0.04
SHORT_STEP = 0.001
_STEPS = {STREAMS: STREAM_STEP, SHORT: SHORT_STEP}


def overhead_layout() -> Layout:
    """Return the deployment that overhead is measured on."""
    return Layout(
        name="overhead",
        regions=[REGION],
        hosts=[HostSpec(HostName("one-1"), REGION, ROOM, voter=True)],
        engines=[_engine(entry, step) for entry, step in _STEPS.items()],
        services=[],
        callers=[CallerSpec(CallerName("bench"), TOKEN, OWNER, REGION)],
        operators=[OperatorSpec(OperatorName("bench"), "bench-operator")],
        catalogue=_catalogue,
    )


def engine_of(entry: EntryName) -> TargetName:
    """Return the engine that serves an entry."""
    return TargetName(f"{entry}-engine")


def _engine(entry: EntryName, step: float) -> EngineSpec:
    return EngineSpec(
        engine_of(entry),
        REGION,
        ROOM,
        slots=SLOTS,
        queue=SLOTS,
        token_time=step,
        batch_cost=0.0,
        prompt_time=0.0,
        idle_timeout=30.0,
    )


def _catalogue(layout: Layout, addresses: Addresses) -> list[CatalogueItem]:
    items: list[ModelEntry | ServiceEntry] = []
    for entry in _STEPS:
        name = engine_of(entry)
        target = Target(name, REGION, ROOM, addresses.target(name), slots=SLOTS)
        items.append(
            ModelEntry(entry, OWNER, version=1, deadline=30.0, targets=[target])
        )
    return items
