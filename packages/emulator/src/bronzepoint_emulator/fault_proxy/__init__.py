"""TCP proxy that injects faults into the links between hosts."""

from bronzepoint_emulator.fault_proxy._link import Link
from bronzepoint_emulator.fault_proxy._proxy import FaultProxy

__all__ = ["FaultProxy", "Link"]
