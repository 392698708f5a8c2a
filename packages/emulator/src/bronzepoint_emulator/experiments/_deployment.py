"""The deployment of the experiments."""

from msgspec import structs

from bronzepoint_emulator.deployment import saphan
from bronzepoint_emulator.deployment._layout import Addresses, Layout
from bronzepoint_schema.generated.catalogue import (
    CatalogueItem,
    ClassItem,
    EntryClass,
    ModelEntry,
    OwnerItem,
    Target,
    Weights,
)
from bronzepoint_schema.generated.emulator import EngineSpec
from bronzepoint_schema.generated.settings import PolicyChoice

REGIONS = ("bkk", "sgp", "cnx")
OWNER = "saphan"
OTHER_OWNER = "guest"
SLOTS = 6
"""Slots of each engine."""
DEADLINE = 6.0
"""Seconds until the first token of a request is due."""
_COSTS = {"bkk": 1.0, "sgp": 2.0, "cnx": 0.6}
"""Cost of a slot second by region."""
_ENGINES = 2
"""Engines per region."""
_TOKEN_TIME = 0.02
"""Seconds to generate a token in a batch of one."""
_CACHE_BLOCKS = 450
"""Blocks in an engine's prefix cache; enough for nine of the 16 shared prefixes."""

SAPHAN_WEIGHTS = Weights(latency=2.0, cost=0.02)
KARADENIZ_WEIGHTS = Weights(latency=0.1, cost=1.0)


def region_engines(region: str) -> list[str]:
    """Return the names of a region's engines."""
    return [f"{region}-engine-{number + 1}" for number in range(_ENGINES)]


def _engine(spec: EngineSpec) -> EngineSpec:
    return structs.replace(
        spec,
        slots=SLOTS,
        cost=_COSTS[spec.region],
        token_time=_TOKEN_TIME,
        cache_blocks=_CACHE_BLOCKS,
        queue=1000,
    )


class _Catalogue:
    """Builds a catalogue with one entry, served by all engines."""

    def __init__(self, weights: Weights) -> None:
        self._weights = weights

    def __call__(self, layout: Layout, addresses: Addresses) -> list[CatalogueItem]:
        targets = [
            Target(
                name=engine.name,
                region=engine.region,
                data_center=engine.data_center,
                address=addresses.target(engine.name),
                slots=engine.slots,
                cost=engine.cost,
            )
            for engine in layout.engines
        ]
        return [
            OwnerItem(name=OWNER, version=1),
            OwnerItem(name=OTHER_OWNER, version=1),
            ClassItem(name=EntryClass.interactive, version=1),
            ModelEntry(
                name="chat",
                owner=OWNER,
                entry_class=EntryClass.interactive,
                version=1,
                weights=self._weights,
                deadline=DEADLINE,
                worth=1.0,
                targets=targets,
            ),
        ]


def experiment_layout(choice: PolicyChoice, weights: Weights) -> Layout:
    """Return a layout of nine hosts and six engines in three regions."""
    layout = saphan(hosts_per_region=3)
    return structs.replace(
        layout,
        name=f"experiment-{choice}",
        engines=[_engine(spec) for spec in layout.engines],
        services=[],
        catalogue=_Catalogue(weights),
        settings={"policy": {"choice": str(choice), "seed": "1"}},
    )


__all__ = [
    "DEADLINE",
    "KARADENIZ_WEIGHTS",
    "OTHER_OWNER",
    "OWNER",
    "REGIONS",
    "SAPHAN_WEIGHTS",
    "SLOTS",
    "experiment_layout",
    "region_engines",
]
