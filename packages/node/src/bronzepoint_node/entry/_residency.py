"""Residency rules: the regions in which a request may be served."""

from bronzepoint_schema.generated.catalogue import (
    ModelEntry,
    Residency,
    ResidencyRule,
    ServiceEntry,
)
from bronzepoint_schema.ids import RegionName

Regions = list[RegionName] | None
"""Allowed regions; None: all."""


def allowed_regions(
    entry: ModelEntry | ServiceEntry, home: RegionName, bound_home: bool
) -> Regions:
    """Return the regions that may serve a caller's request to an entry.

    Args:
        entry: The entry in this host's current view of the catalogue.
        home: Home region of the caller.
        bound_home: True: the caller allows only its home region.
    """
    allowed = _by_rule(entry.residency, home)
    return intersect(allowed, [home]) if bound_home else allowed


def _by_rule(residency: Residency, home: RegionName) -> Regions:
    match residency.rule:
        case ResidencyRule.any:
            return None
        case ResidencyRule.home:
            return [home]
        case ResidencyRule.regions:
            return list(residency.regions)


def intersect(first: Regions, second: Regions) -> Regions:
    """Return the regions that are in both sets of allowed regions."""
    if first is None:
        return second
    if second is None:
        return first
    return [region for region in first if region in second]


def allows(regions: Regions, region: RegionName) -> bool:
    """Return whether a region is among the allowed ones."""
    return regions is None or region in regions
