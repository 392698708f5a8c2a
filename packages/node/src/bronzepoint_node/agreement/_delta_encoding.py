"""Encoding of item changes as differences to the previous version."""

import msgspec

from bronzepoint_node.catalogue import make_patch
from bronzepoint_schema.generated.agreement import Change, Put
from bronzepoint_schema.generated.catalogue import CatalogueItem


def delta_encode(change: Change, former: CatalogueItem | None) -> Change:
    """Return a change that carries only the targets that differ.

    A model with 1,800 targets is an item of 200 KB, which would be sent to the leader
    and to each voter whenever one target is added or removed. A patch is valid for
    one version of the item and is applied only if that is still the current one.

    Args:
        change: The change.
        former: The item before the change, as this host knows it.
    """
    if not isinstance(change.op, Put) or former is None:
        return change
    if former.version + 1 != change.version:
        return change
    patch = make_patch(former, change.op.item)
    return msgspec.structs.replace(change, op=patch or change.op)
