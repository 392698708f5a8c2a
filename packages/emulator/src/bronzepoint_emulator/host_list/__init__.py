"""Stand-in for the platform's list of live and leaving target hosts."""

from bronzepoint_emulator.host_list._host_list import StandInHostList

__all__ = ["StandInHostList"]
