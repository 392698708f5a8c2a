"""Division of a quota between regions that can't reach each other."""

from collections.abc import Mapping

from msgspec import Struct

from bronzepoint_schema.ids import RegionName

USED_WEIGHT = 0.5
"""Part of a quota that is divided by the earlier use of each region. The rest is
divided equally, for regions whose demand grows during a network partition."""


class RegionShares(Struct, frozen=True):
    """Reachable and unreachable regions, which share each quota.

    All regions divide a quota by the use that they last reported to each other, so that
    the shares of both sides of a partition add up to one quota.

    Attributes:
        reachable: Regions with recent reports.
        unreachable: Regions without, for which a share is reserved.
    """

    reachable: frozenset[RegionName]
    unreachable: frozenset[RegionName] = frozenset()

    @property
    def all_reachable(self) -> bool:
        """Whether the current use of all regions is known."""
        return not self.unreachable

    def share_of(
        self, selected: frozenset[RegionName], used: Mapping[RegionName, float]
    ) -> float:
        """Return the total share of a quota for some of the regions, from 0 to 1.

        Args:
            selected: These regions.
            used: Last reported use of each region, in units per second.
        """
        regions = self.reachable | self.unreachable
        total = sum(used.get(region, 0.0) for region in regions)
        equal = len(selected) / len(regions)
        if total <= 0:
            return equal
        by_use = sum(used.get(region, 0.0) for region in selected) / total
        return USED_WEIGHT * by_use + (1 - USED_WEIGHT) * equal
