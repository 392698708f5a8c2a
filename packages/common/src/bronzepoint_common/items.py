"""Kinds of catalogue items."""

from bronzepoint_schema.generated.agreement import ItemKind
from bronzepoint_schema.generated.catalogue import (
    CatalogueItem,
    ClassItem,
    ModelEntry,
    OwnerItem,
    ServiceEntry,
)


def item_kind(item: CatalogueItem) -> ItemKind:
    """Return the kind of an item."""
    match item:
        case ModelEntry():
            return ItemKind.model
        case ServiceEntry():
            return ItemKind.service
        case OwnerItem():
            return ItemKind.owner
        case ClassItem():
            return ItemKind.class_


__all__ = ["item_kind"]
