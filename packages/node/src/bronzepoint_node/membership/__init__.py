"""Membership: gossip between hosts, reports between regions, failure detection."""

from bronzepoint_node.membership._membership import Membership
from bronzepoint_node.membership._notice_table import supersedes
from bronzepoint_node.membership._running_clock import RunningClock
from bronzepoint_node.membership._views import (
    HostInfo,
    HostState,
    LoadSummary,
    RegionSummary,
)

__all__ = [
    "HostInfo",
    "HostState",
    "LoadSummary",
    "Membership",
    "RegionSummary",
    "RunningClock",
    "supersedes",
]
