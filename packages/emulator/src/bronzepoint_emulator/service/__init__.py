"""Stub of a plain service that counts its runs."""

from bronzepoint_emulator.service._service import PlainService

__all__ = ["PlainService"]
