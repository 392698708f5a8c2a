"""Services of core hosts for entry hosts: catalogue, target list and scheduling."""

from ._core_sync import CoreSync
from ._quarantine_keeper import QuarantineKeeper
from ._region_scheduler import RegionScheduler
from ._target_reader import ListUnavailable, TargetReader

__all__ = [
    "CoreSync",
    "ListUnavailable",
    "QuarantineKeeper",
    "RegionScheduler",
    "TargetReader",
]
