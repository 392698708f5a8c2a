"""Stub of a model engine."""

from bronzepoint_emulator.engine._batch import Batch
from bronzepoint_emulator.engine._cache import PrefixCache
from bronzepoint_emulator.engine._engine import Engine

__all__ = ["Batch", "Engine", "PrefixCache"]
