"""Where requests go: targets, regions, limits, admission and retries."""

from bronzepoint_node.policy._admission import Admission
from bronzepoint_node.policy._choose_region import choose_region
from bronzepoint_node.policy._choose_target import choose_target
from bronzepoint_node.policy._inputs import (
    RegionView,
    RequestView,
    TargetState,
    TargetView,
)
from bronzepoint_node.policy._limits import Limits, RegionHosts
from bronzepoint_node.policy._outputs import Away, Home, Placement, Refused
from bronzepoint_node.policy._policy import Policy, Ticket
from bronzepoint_node.policy._retry_budget import RetryBudget

__all__ = [
    "Admission",
    "Away",
    "Home",
    "Limits",
    "Placement",
    "Policy",
    "Refused",
    "RegionHosts",
    "RegionView",
    "RequestView",
    "RetryBudget",
    "TargetState",
    "TargetView",
    "Ticket",
    "choose_region",
    "choose_target",
]
