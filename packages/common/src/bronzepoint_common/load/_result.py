"""Results of a load."""

from collections import Counter
from enum import StrEnum

from msgspec import Struct, field

from bronzepoint_common.load._latency import Latency


class OutcomeKind(StrEnum):
    """Outcome of one request of a load, after all its tries."""

    answered = "answered"
    refused = "refused"
    cut = "cut"
    unreachable = "unreachable"
    timeout = "timeout"
    dropped = "dropped"
    """Not sent, because too many requests were in progress."""


class LoadResult(Struct):
    """Counts and latencies; latencies start when a request was due.

    If they started when the request was sent, a load generator that falls behind
    would hide the waiting time that it causes (coordinated omission).

    Attributes:
        refusals: Refusals of final tries by kind.
        regions: Answers by the region that sent them.
        retries: Retries by the outcome of the previous try.
        first: Time to the first piece of the answer.
        between: Time between two pieces of a streamed answer.
        total: Time to the end of the answer.
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
