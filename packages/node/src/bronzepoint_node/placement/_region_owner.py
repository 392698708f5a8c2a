"""Assignment of shared parts of prompts to regions."""

import math

from bronzepoint_common.rendezvous import rendezvous_weight
from bronzepoint_schema.ids import RegionName

_RANGE = 2.0**64


def weighted_owner(key: str, weights: dict[RegionName, float]) -> RegionName | None:
    """Return the region that owns a key, by weighted rendezvous hash.

    Hosts with the same weights find the same owner, and each region owns keys in
    proportion to its weight. If the weight of a region changes, only keys that it gains
    or loses move.

    Args:
        key: Name of the shared part.
        weights: Slots of the targets by region; a region with 0 owns no key.
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
