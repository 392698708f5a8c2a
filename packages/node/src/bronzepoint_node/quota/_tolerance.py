"""Tolerated use beyond a quota."""

from msgspec import Struct

from bronzepoint_node.fleet import Quota


class Tolerance(Struct, frozen=True):
    """Use beyond quotas that operators tolerate, as hosts learn of others' use late.

    Attributes:
        window: Seconds over which use is measured.
        excess: Tolerated excess, as a share of the quota's units in one window.
        slack: Tolerated units in addition.
    """

    window: float = 8.0
    excess: float = 0.0
    slack: float = 0.0

    def units(self, quota: Quota) -> float:
        """Return the units beyond a quota that are tolerated in one window."""
        return self.excess * (quota.rate * self.window + quota.burst) + self.slack

    def rate(self, quota: Quota) -> float:
        """Return the units per second beyond a quota that are tolerated permanently."""
        return self.excess * quota.rate + self.slack / self.window
