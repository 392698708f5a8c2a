"""Stand-in for a plain service; it keeps count of its runs."""

from bronzepoint_emulator.service._service import PlainService

__all__ = ["PlainService"]
