"""Where requests go: targets, regions, limits, admission and retries."""

from bronzepoint_node.policy._admission import Admission
from bronzepoint_node.policy._choose_region import (
    RegionEstimate,
    choose_region,
    draw_region,
    remote_estimate,
)
from bronzepoint_node.policy._choose_target import choose_target
from bronzepoint_node.policy._entry_retries import EntryRetries
from bronzepoint_node.policy._inputs import (
    RegionView,
    RequestView,
    TargetState,
    TargetView,
)
from bronzepoint_node.policy._limits import Limits, RegionHosts
from bronzepoint_node.policy._load_estimate import reported_others
from bronzepoint_node.policy._outputs import (
    LocalPlacement,
    Placement,
    Refused,
    RemotePlacement,
    TargetChoice,
)
from bronzepoint_node.policy._policy import Policy, Ticket
from bronzepoint_node.policy._service_times import ServiceTimes
from bronzepoint_node.policy._spread_choice import EvenSequence
from bronzepoint_node.policy._token_bucket import TokenBucket

__all__ = [
    "EvenSequence",
    "Admission",
    "EntryRetries",
    "RemotePlacement",
    "LocalPlacement",
    "Limits",
    "Placement",
    "Policy",
    "Refused",
    "RegionHosts",
    "RegionEstimate",
    "RegionView",
    "RequestView",
    "ServiceTimes",
    "TargetChoice",
    "TargetState",
    "TargetView",
    "Ticket",
    "TokenBucket",
    "remote_estimate",
    "reported_others",
    "choose_region",
    "choose_target",
    "draw_region",
]
