"""Where requests go: targets, regions, limits, admission and retries."""

from bronzepoint_node.policy._admission import Admission
from bronzepoint_node.policy._choose_region import (
    RegionEstimate,
    choose_region,
    draw_region,
    remote_estimate,
)
from bronzepoint_node.policy._choose_target import choose_target, may_have_capacity
from bronzepoint_node.policy._entry_retries import EntryRetries
from bronzepoint_node.policy._fair_shares import max_min_shares
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
from bronzepoint_node.policy._speed_estimate import (
    AGE_SECONDS,
    PRIOR_SAMPLES,
    SpeedEstimate,
    factor,
    reference_logarithm,
    shrunk,
)
from bronzepoint_node.policy._spread_choice import EvenSequence
from bronzepoint_node.policy._token_bucket import TokenBucket

__all__ = [
    "AGE_SECONDS",
    "EvenSequence",
    "Admission",
    "EntryRetries",
    "RemotePlacement",
    "LocalPlacement",
    "Limits",
    "PRIOR_SAMPLES",
    "Placement",
    "Policy",
    "Refused",
    "RegionHosts",
    "RegionEstimate",
    "RegionView",
    "RequestView",
    "ServiceTimes",
    "SpeedEstimate",
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
    "factor",
    "may_have_capacity",
    "max_min_shares",
    "reference_logarithm",
    "shrunk",
]
