"""Placement of requests on targets and regions, from the state of one host."""

from ._ask import PlacementRequest, select_service
from ._balance_monitor import BalanceMonitor
from ._choice import (
    LocalPlacement,
    LocalResult,
    NoLocalTarget,
    Placement,
    Rejected,
    RejectReason,
    RemotePlacement,
)
from ._cold_start_limiter import ColdStartLimiter
from ._engine_poller import (
    EnginePoller,
    ReadReport,
    ReportOfOtherStart,
    ReportUnavailable,
    ReportUnreadable,
)
from ._leased_asks import LeasedAsks
from ._load_exchange import LoadExchange
from ._organisation_weights import organisation_weights
from ._other_regions import OtherRegions
from ._placer import Placer
from ._prompt import Prompt, PromptPart
from ._raised_weights import RaisedWeights
from ._region_leases import NO_OWN_QUEUE, RegionLeases
from ._reservations import Reservations
from ._room_borrower import LeaseGrant
from ._room_demand import ServiceRoom
from ._scheduler import Scheduler
from ._scheduler_client import SchedulerClient
from ._service_estimates import ServiceEstimates
from ._speed_report import SpeedReport
from ._target_table import TargetTable
from ._tracked_target import EngineReport, TrackedTarget, is_unresponsive

__all__ = [
    "NO_OWN_QUEUE",
    "LeaseGrant",
    "LeasedAsks",
    "BalanceMonitor",
    "LocalPlacement",
    "ColdStartLimiter",
    "RemotePlacement",
    "EngineReport",
    "LoadExchange",
    "LocalResult",
    "NoLocalTarget",
    "OtherRegions",
    "Placement",
    "PlacementRequest",
    "Placer",
    "EnginePoller",
    "Prompt",
    "PromptPart",
    "RaisedWeights",
    "ReadReport",
    "RejectReason",
    "RegionLeases",
    "Rejected",
    "ReportOfOtherStart",
    "ReportUnavailable",
    "ReportUnreadable",
    "Reservations",
    "Scheduler",
    "SchedulerClient",
    "SpeedReport",
    "ServiceEstimates",
    "ServiceRoom",
    "TargetTable",
    "TrackedTarget",
    "is_unresponsive",
    "organisation_weights",
    "select_service",
]
