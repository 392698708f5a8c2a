"""One request's story, put together from the logs of several hosts."""

from bronzepoint_cli.explain._causes import REFUSALS, TRY_ENDS, find_cause
from bronzepoint_cli.explain._log_lines import LogLine, read_log_lines
from bronzepoint_cli.explain._story import Story, began_at, tell_story

__all__ = [
    "REFUSALS",
    "TRY_ENDS",
    "LogLine",
    "Story",
    "began_at",
    "find_cause",
    "read_log_lines",
    "tell_story",
]
