"""Builds the timeline of one request from the logs of several hosts."""

from bronzepoint_cli.explain._causes import REFUSALS, TRY_ENDS, find_cause
from bronzepoint_cli.explain._log_lines import LogLine, read_log_lines
from bronzepoint_cli.explain._timeline import (
    RequestTimeline,
    build_timeline,
    processing_started_at,
)

__all__ = [
    "REFUSALS",
    "TRY_ENDS",
    "LogLine",
    "RequestTimeline",
    "build_timeline",
    "find_cause",
    "processing_started_at",
    "read_log_lines",
]
