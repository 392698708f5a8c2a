"""Proxy that carries the links between hosts and brings faults onto them."""

from bronzepoint_emulator.fault_proxy._link import Link
from bronzepoint_emulator.fault_proxy._proxy import FaultProxy

__all__ = ["FaultProxy", "Link"]
