"""Services of core hosts for entry hosts: catalogue, target list and scheduling."""

from ._core_quarantine import CoreQuarantine
from ._core_sync import CoreSync
from ._host_memory import HostMemory
from ._order_gate import OrderGate, OrderRefused
from ._region_scheduler import RegionScheduler
from ._target_reader import ListUnavailable, TargetReader
from ._version_memory import VersionMemory

__all__ = [
    "CoreSync",
    "HostMemory",
    "ListUnavailable",
    "CoreQuarantine",
    "OrderGate",
    "OrderRefused",
    "RegionScheduler",
    "TargetReader",
    "VersionMemory",
]
