"""Where a request goes: targets and regions as one entry host knows them."""

from ._ask import PlacementAsk, service_of
from ._choice import AtHome, Elsewhere, Placement, Rejected, RejectReason
from ._cold_gate import ColdGate
from ._load_exchange import LoadExchange
from ._placer import Placer
from ._prober import (
    Prober,
    ReportOfOtherStart,
    ReportUnavailable,
    ReportUnreadable,
)
from ._prompt import Prompt, PromptPart
from ._retry_allowance import RetryAllowance
from ._target_table import EngineReport, TargetTable, is_silent

__all__ = [
    "AtHome",
    "ColdGate",
    "Elsewhere",
    "EngineReport",
    "LoadExchange",
    "Placement",
    "PlacementAsk",
    "Placer",
    "Prober",
    "Prompt",
    "PromptPart",
    "RejectReason",
    "Rejected",
    "ReportOfOtherStart",
    "ReportUnavailable",
    "ReportUnreadable",
    "RetryAllowance",
    "TargetTable",
    "is_silent",
    "service_of",
]
