"""Load generator: sends requests at seeded random times and measures the answers."""

from bronzepoint_common.load._arrivals import arrival_times
from bronzepoint_common.load._call import LoadCall
from bronzepoint_common.load._latency import Latency
from bronzepoint_common.load._load import Load, LoadLimits
from bronzepoint_common.load._result import LoadResult, OutcomeKind

__all__ = [
    "Latency",
    "Load",
    "LoadCall",
    "LoadLimits",
    "LoadResult",
    "OutcomeKind",
    "arrival_times",
]
