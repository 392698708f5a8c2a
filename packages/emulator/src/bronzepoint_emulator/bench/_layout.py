"""Layout with one host and two engines that use little processor time."""

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
DATA_CENTER = DataCenterName("one-a")
OWNER = OwnerName("bench")
TOKEN = "bench-caller"
STREAMS = EntryName("streams")
SHORT = EntryName("short")
SLOTS = 256
"""Slots of each engine."""
STREAM_STEP = 0.04
"""Seconds per token of streamed answers."""
SHORT_STEP = 0.001
"""Seconds per token of short answers."""
_STEPS = {STREAMS: STREAM_STEP, SHORT: SHORT_STEP}


def overhead_layout() -> Layout:
    """Return the layout of the overhead benchmark."""
    return Layout(
        name="overhead",
        regions=[REGION],
        hosts=[HostSpec(HostName("one-1"), REGION, DATA_CENTER, voter=True)],
        engines=[_engine(entry, step) for entry, step in _STEPS.items()],
        services=[],
        callers=[CallerSpec(CallerName("bench"), TOKEN, OWNER, REGION)],
        operators=[OperatorSpec(OperatorName("bench"), "bench-operator")],
        catalogue=_catalogue,
    )


def engine_of(entry: EntryName) -> TargetName:
    """Return the name of the engine that serves an entry."""
    return TargetName(f"{entry}-engine")


def _engine(entry: EntryName, step: float) -> EngineSpec:
    return EngineSpec(
        engine_of(entry),
        REGION,
        DATA_CENTER,
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
        target = Target(name, REGION, DATA_CENTER, addresses.target(name), slots=SLOTS)
        items.append(
            ModelEntry(entry, OWNER, version=1, deadline=30.0, targets=[target])
        )
    return items
