"""Changes that carry only what differs."""

import msgspec

from bronzepoint_node.catalogue import make_patch
from bronzepoint_schema.generated.agreement import Change, Put
from bronzepoint_schema.generated.catalogue import CatalogueItem


def shorten(change: Change, former: CatalogueItem | None) -> Change:
    """Return a change that carries only the targets that differ.

    One target of a model with 1,800 comes or goes: the whole item is 200 KB, for the
    leader and from there for each voter. A patch holds for one version of the item
    alone, and it is applied only if that is still the present one.

    Args:
        change: The change.
        former: The item that it was made for, as it is known here.
    """
    if not isinstance(change.op, Put) or former is None:
        return change
    if former.version + 1 != change.version:
        return change
    patch = make_patch(former, change.op.item)
    return msgspec.structs.replace(change, op=patch or change.op)
