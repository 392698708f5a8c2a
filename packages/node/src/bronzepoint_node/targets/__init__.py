"""Tracks the targets of a region: load, leaving, ejection, cached prefixes."""

from bronzepoint_node.targets._ejection import (
    Health,
    HealthState,
    find_ejections,
    find_return,
)
from bronzepoint_node.targets._targets import Targets

__all__ = ["Health", "HealthState", "Targets", "find_ejections", "find_return"]
