"""Stand-in for the platform's host list."""

from bronzepoint_emulator.host_list._host_list import StandInHostList

__all__ = ["StandInHostList"]
