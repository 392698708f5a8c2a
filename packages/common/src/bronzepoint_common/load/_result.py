"""What a load measured."""

from collections import Counter
from enum import StrEnum

from msgspec import Struct, field

from bronzepoint_common.load._latency import Latency


class OutcomeKind(StrEnum):
    """How one request of a load ended, after all its tries."""

    answered = "answered"
    refused = "refused"
    cut = "cut"
    unreachable = "unreachable"
    timeout = "timeout"
    dropped = "dropped"
    """Not sent: too many were in progress."""


class LoadResult(Struct):
    """Counts and latencies; times run from the moment a request was due.

    Measured from the sending instead, a caller that is late itself would hide the
    waiting that it causes.

    Attributes:
        refusals: Refusals of last tries by kind.
        regions: Answers by the region that gave them.
        retries: Further tries, by what the try before met.
        first: Until the first piece of the answer.
        between: Between two pieces of a streamed answer.
        total: Until the whole answer.
    """

    sent: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    refusals: Counter[str] = field(default_factory=Counter)
    regions: Counter[str] = field(default_factory=Counter)
    retries: Counter[str] = field(default_factory=Counter)
    first: Latency = field(default_factory=Latency)
    between: Latency = field(default_factory=Latency)
    total: Latency = field(default_factory=Latency)
    seconds: float = 0.0
