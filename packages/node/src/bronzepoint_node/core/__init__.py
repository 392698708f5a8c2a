"""Services of core hosts for entry hosts: catalogue, target list and scheduling."""

from ._core_hub import CoreHub
from ._quarantine_keeper import QuarantineKeeper
from ._region_scheduler import RegionScheduler
from ._target_reader import ListUnavailable, TargetReader

__all__ = [
    "CoreHub",
    "ListUnavailable",
    "QuarantineKeeper",
    "RegionScheduler",
    "TargetReader",
]
