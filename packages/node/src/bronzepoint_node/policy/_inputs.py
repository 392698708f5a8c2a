"""Inputs of the policy: plain values, taken at one time, without any lookups."""

import math
from enum import StrEnum

from msgspec import Struct, field

from bronzepoint_schema.generated.catalogue import EntryClass
from bronzepoint_schema.ids import (
    EntryName,
    OwnerName,
    RegionName,
    RequestId,
    TargetName,
)


class TargetState(StrEnum):
    """Whether a target may get new work."""

    ready = "ready"
    leaving = "leaving"
    ejected = "ejected"
    unknown = "unknown"


class TargetView(Struct):
    """One target as this host sees it now.

    Attributes:
        in_flight: requests of this host in progress there, exact.
        in_flight_at_report: the same, at the time that the report describes.
        running: requests of all hosts that run there, by the report.
        waiting: requests of all hosts that are queued in the target, by the report.
        report_age: seconds since the time that the report describes.
        cached_tokens: prompt tokens of this request believed to be cached there.
        allowed: maximum number of requests of this host; None: no bound. Set while a
            target returns from ejection.
        free_tokens: memory not used by running requests, in tokens.
        backlog: seconds of queued prompt processing ahead of a new request, at the
            usual speed of the service.
        reading_factor: how many times longer it takes to read than the usual target;
            None: as estimated by the entry's own times.
        writing_factor: the same for the time that a request holds its slot; None: the
            factor for reading.
        detour: seconds by which it must be better than a target nearby.
    """

    name: TargetName
    region: RegionName
    address: str
    slots: int = 8
    cost: float = 1.0
    state: TargetState = TargetState.ready
    in_flight: int = 0
    in_flight_at_report: int = 0
    running: int = 0
    waiting: int = 0
    report_age: float = math.inf
    cached_tokens: int = 0
    allowed: int | None = None
    free_tokens: float = math.inf
    backlog: float = 0.0
    reading_factor: float | None = None
    writing_factor: float | None = None
    detour: float = 0.0


class RegionView(Struct):
    """State of one entry in one region, by the region's summary.

    Attributes:
        slots: slots of the entry's ready targets there; 0: it can't be served there.
        in_progress: requests running and waiting there, hosts' queues included.
        expected_wait: seconds for which a new request waits there before it starts.
        trip: round-trip time of a message, in seconds.
        cost: mean cost of one slot second there.
        age: seconds since the summary was made.
        hosts: number of live hosts there that a request may be forwarded to.
    """

    name: RegionName
    reachable: bool = True
    slots: int = 0
    in_progress: int = 0
    expected_wait: float = 0.0
    trip: float = 0.0
    cost: float = 1.0
    age: float = 0.0
    hosts: int = 1


class RequestView(Struct):
    """One request, with the settings of its entry, its class and its owner.

    Attributes:
        home: home region of the caller.
        share: weight of the owner when capacity is divided.
        worth: worth of the answer, in the unit of cost.
        latency_weight: worth lost for each second of waiting, as a share of the worth.
        cost_weight: weight of the cost against the worth.
        reread_weight: seconds of delay accepted to save one second of computing tokens
            that another target has cached.
        deadline_left: seconds left until the first token is worth nothing.
        prompt_tokens: estimated tokens of the prompt.
        max_tokens: maximum number of generated tokens; 0: the caller set none.
        prefix_hashes: hashes of the prompt's blocks (`bronzepoint_common.prefix`).
        allowed_regions: regions that residency allows; None: all.
        forwarded: True where another region sent it; it is then served in this region
            or refused.
        tried: targets that were already tried.
        memory_tokens: maximum engine memory that it uses, in tokens.
        copy_seconds: seconds to copy a cached token from one target to another; inf:
            targets don't copy.
        tried_regions: regions that already refused it.
        neighbour_weight: seconds of delay accepted to save each running stream beside
            it one second of waiting for its prompt to be read.
    """

    request_id: RequestId
    entry: EntryName
    owner: OwnerName
    home: RegionName
    entry_class: EntryClass = EntryClass.standard
    share: float = 1.0
    worth: float = 1.0
    latency_weight: float = 0.5
    cost_weight: float = 1.0
    reread_weight: float = 0.0
    deadline_left: float = 30.0
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_hashes: list[str] = field(default_factory=list)
    idempotent: bool = True
    allowed_regions: list[RegionName] | None = None
    forwarded: bool = False
    tried: list[TargetName] = field(default_factory=list)
    memory_tokens: int = 0
    copy_seconds: float = math.inf
    tried_regions: list[RegionName] = field(default_factory=list)
    neighbour_weight: float = 0.0
