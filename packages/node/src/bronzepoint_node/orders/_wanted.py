"""What the catalogue wants of each engine."""

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
        target: The engine, as the catalogue states it.
        entries: The entries that use it.
        versions: The versions that they want; more than one is a contradiction.
    """

    target: Target
    entries: list[EntryName] = field(default_factory=list)
    versions: set[str] = field(default_factory=set)

    @property
    def version(self) -> str:
        """The wanted version; empty where none is, or where entries contradict."""
        return next(iter(self.versions)) if len(self.versions) == 1 else ""

    @property
    def takes_orders(self) -> bool:
        """True where the engine is there to stay and listens to orders."""
        return self.target.orders is not OrderProtocol.none and not self.target.leaving


def wanted_engines(
    items: Iterable[CatalogueItem],
) -> dict[TargetName, WantedEngine]:
    """Return all engines of model entries, by name."""
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
