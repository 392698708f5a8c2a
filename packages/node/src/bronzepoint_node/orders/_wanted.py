"""Model versions that the catalogue wants on each engine."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from bronzepoint_schema.generated.catalogue import (
    CatalogueItem,
    ModelEntry,
    OrderProtocol,
    Target,
)
from bronzepoint_schema.ids import EntryName, TargetName


@dataclass
class WantedEngine:
    """One engine, which several entries may share.

    Attributes:
        target: The engine's target in the catalogue.
        entries: Entries that use it.
        versions: Versions that they want; more than one is a contradiction.
    """

    target: Target
    entries: list[EntryName] = field(default_factory=list)
    versions: set[str] = field(default_factory=set)

    @property
    def version(self) -> str:
        """Wanted version; empty if there is none or the entries contradict."""
        return next(iter(self.versions)) if len(self.versions) == 1 else ""

    @property
    def takes_orders(self) -> bool:
        """Whether the engine accepts orders and its target is not leaving."""
        return self.target.orders is not OrderProtocol.none and not self.target.leaving


def wanted_engines(
    items: Iterable[CatalogueItem],
) -> dict[TargetName, WantedEngine]:
    """Return all engines of model entries, keyed by target name."""
    engines: dict[TargetName, WantedEngine] = {}
    for item in items:
        if not isinstance(item, ModelEntry):
            continue
        for target in item.targets:
            engine = engines.setdefault(target.name, WantedEngine(target))
            engine.entries.append(item.name)
            if item.model_version:
                engine.versions.add(item.model_version)
    return engines
