"""Stand-in for a plain service that counts what it runs."""

from bronzepoint_emulator.service._service import PlainService

__all__ = ["PlainService"]
