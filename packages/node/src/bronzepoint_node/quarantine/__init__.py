"""Detection and isolation of requests that crash the targets that run them."""

from ._crash_detector import Crash, CrashDetector, WatchedRun
from ._crash_table import CrashTable
from ._fingerprint import (
    RequestFingerprints,
    fingerprint_request,
    is_any_caller,
    is_combination,
    is_part,
)
from ._part_standing import PART_TRIAL_INTERVAL
from ._quarantine import Admitted, Blocked, Quarantine, TrialEnd
from ._standing import MIN_CRASHES_SUSPECT, SuspicionLevel, was_tried
from ._suspect_record import RETENTION, CrashRecord, SuspectRecord

__all__ = [
    "RETENTION",
    "MIN_CRASHES_SUSPECT",
    "Admitted",
    "SuspectRecord",
    "Crash",
    "CrashTable",
    "CrashDetector",
    "Blocked",
    "CrashRecord",
    "Quarantine",
    "RequestFingerprints",
    "SuspicionLevel",
    "TrialEnd",
    "WatchedRun",
    "PART_TRIAL_INTERVAL",
    "fingerprint_request",
    "is_any_caller",
    "is_combination",
    "is_part",
    "was_tried",
]
