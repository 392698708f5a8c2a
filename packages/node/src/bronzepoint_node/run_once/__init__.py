"""At-most-once execution of non-idempotent requests: claims and their outcomes."""

from bronzepoint_node.run_once._answers import MAX_STORED_BODY
from bronzepoint_node.run_once._clock import Clock
from bronzepoint_node.run_once._errors import InvalidKey, KeyAhead, RunOnceError
from bronzepoint_node.run_once._results import (
    Claimed,
    ClaimResult,
    ClaimToken,
    Done,
    Expired,
    InProgress,
    Mismatch,
    Unavailable,
    Unknown,
)
from bronzepoint_node.run_once._run_once import RunOnce
from bronzepoint_schema.generated.run_once import StoredAnswer

__all__ = [
    "MAX_STORED_BODY",
    "ClaimResult",
    "ClaimToken",
    "Claimed",
    "Clock",
    "Done",
    "Expired",
    "InProgress",
    "InvalidKey",
    "KeyAhead",
    "Mismatch",
    "RunOnce",
    "RunOnceError",
    "StoredAnswer",
    "Unavailable",
    "Unknown",
]
