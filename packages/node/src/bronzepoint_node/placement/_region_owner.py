"""Which region keeps a shared part of prompts."""

import math

from bronzepoint_common.rendezvous import rendezvous_weight
from bronzepoint_schema.ids import RegionName

_RANGE = 2.0**64


def weighted_owner(key: str, weights: dict[RegionName, float]) -> RegionName | None:
    """Return the region that a key belongs to, by weighted rendezvous hash.

    All hosts that know the same weights find the same region, and each region gets
    keys in proportion to its weight. A region whose weight changes wins or loses only
    its own keys.

    Args:
        key: Name of the shared part.
        weights: Slots of the targets of each region; 0: it gets nothing.
    """
    best: tuple[float, RegionName] | None = None
    for region, weight in sorted(weights.items()):
        if weight <= 0:
            continue
        point = (rendezvous_weight(key, region) + 0.5) / _RANGE
        score = (-weight / math.log(point), region)
        if best is None or score > best:
            best = score
    return best[1] if best is not None else None
