"""Stub of the platform's host list."""

from bronzepoint_emulator.host_list._host_list import HostListStub

__all__ = ["HostListStub"]
