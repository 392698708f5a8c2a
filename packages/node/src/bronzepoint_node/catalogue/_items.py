"""Keys of catalogue items, and deltas between two versions of an item."""

from typing import NamedTuple

import msgspec

from bronzepoint_common.items import item_kind
from bronzepoint_schema.generated.agreement import (
    Delta,
    ItemKind,
    PatchTargets,
    Put,
    Remove,
)
from bronzepoint_schema.generated.catalogue import (
    CatalogueItem,
    ClassItem,
    ModelEntry,
    OwnerItem,
    ServiceEntry,
    Target,
)
from bronzepoint_schema.ids import Revision, TargetName

_NAMESPACES = {
    ItemKind.model: "entry",
    ItemKind.service: "entry",
    ItemKind.owner: "owner",
    ItemKind.class_: "class",
}


class ItemKey(NamedTuple):
    """Key of an item; models and services share one namespace, as callers see them."""

    namespace: str
    name: str

    @classmethod
    def of(cls, kind: ItemKind, name: str) -> "ItemKey":
        """Return the key of an item of this kind and name."""
        return cls(_NAMESPACES[kind], str(name))


def item_key(item: CatalogueItem) -> ItemKey:
    """Return the key of an item."""
    return ItemKey.of(item_kind(item), item.name)


def make_delta(
    revision: Revision, former: CatalogueItem | None, item: CatalogueItem
) -> Delta:
    """Return the delta from the former item to the new one.

    A large model may have 1,800 targets, about 200 KB. Sending the whole item for each
    added or removed target would exceed a host's budget for control traffic.
    """
    return Delta(revision, make_patch(former, item) or Put(item))


def make_patch(
    former: CatalogueItem | None, item: CatalogueItem
) -> PatchTargets | None:
    """Return the difference between two versions of an entry.

    Returns:
        The patch, or None if the whole item must be sent.
    """
    if type(former) is not type(item) or isinstance(item, OwnerItem | ClassItem):
        return None
    patch = _compare(former, item)
    return patch if patched(former, patch) == item else None


def apply_delta(
    items: dict[ItemKey, CatalogueItem], delta: Delta
) -> dict[ItemKey, CatalogueItem]:
    """Return a copy of the items with a delta applied."""
    items = dict(items)
    match delta.op:
        case Put(item=item):
            items[item_key(item)] = item
        case Remove(item_kind=kind, name=name):
            items.pop(ItemKey.of(kind, name), None)
        case PatchTargets(item=item):
            key = item_key(item)
            items[key] = patched(items[key], delta.op)
    return items


def _compare(
    former: ModelEntry | ServiceEntry, item: ModelEntry | ServiceEntry
) -> PatchTargets:
    before = {target.name: target for target in former.targets}
    after = {target.name for target in item.targets}
    changed = [t for t in item.targets if before.get(t.name) != t]
    removed = [name for name in before if name not in after]
    bare = msgspec.structs.replace(item, targets=[])
    return PatchTargets(bare, changed, removed)


def patched(
    former: ModelEntry | ServiceEntry, patch: PatchTargets
) -> ModelEntry | ServiceEntry:
    """Return the former entry with a patch applied."""
    targets: dict[TargetName, Target] = {t.name: t for t in former.targets}
    for name in patch.removed:
        targets.pop(name, None)
    for target in patch.changed:
        targets[target.name] = target
    return msgspec.structs.replace(patch.item, targets=list(targets.values()))
