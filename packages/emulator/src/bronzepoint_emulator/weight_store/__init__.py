"""Stub of the platform's rate-limited weight store."""

from bronzepoint_emulator.weight_store._weight_store import WeightStore

__all__ = ["WeightStore"]
