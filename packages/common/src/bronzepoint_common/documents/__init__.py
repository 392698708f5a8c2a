"""Versioned documents that are sent as deltas from an earlier version."""

from bronzepoint_common.documents._delta import (
    NO_BASE,
    DeltaMismatch,
    apply_delta,
    make_delta,
)
from bronzepoint_common.documents._history import DocumentHistory, UnknownBase

__all__ = [
    "NO_BASE",
    "DeltaMismatch",
    "DocumentHistory",
    "UnknownBase",
    "apply_delta",
    "make_delta",
]
