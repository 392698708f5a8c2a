"""What the policy is told: plain values, taken at one moment, without any lookups."""

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
        in_flight_at_report: the same, at the moment the report describes.
        running: requests that the report says are worked on, from all hosts.
        waiting: requests that the report says are queued in the target.
        report_age: seconds since the moment the report describes.
        cached_tokens: prompt tokens of this request believed to be cached there.
        allowed: most requests this host may have there; None: no bound. Set while a
            target comes back from ejection.
        free_tokens: memory that running requests leave, in tokens.
        backlog: seconds of prompts that are read there before a new one.
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


class RegionView(Struct):
    """What is known of one entry in another region, or at home.

    Attributes:
        slots: slots of the entry's ready targets there; 0: it can't be served there.
        in_progress: requests running and waiting there, hosts' queues included.
        expected_wait: seconds a new request waits there before it starts.
        trip: seconds for one message there and back.
        cost: mean cost of one slot second there.
        age: seconds since the summary was made.
        hosts: live hosts there, which a request may be forwarded to.
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
    """One request, with what its entry, its class and its owner say about it.

    Attributes:
        home: home region of the caller.
        share: weight of the owner when capacity is divided.
        worth: worth of the answer, in the unit of cost.
        latency_weight: worth lost for each second of waiting, as a share of the worth.
        cost_weight: weight of the cost against the worth.
        reread_weight: seconds of delay that are accepted to spare a second of reading
            again what another target keeps.
        deadline_left: seconds left until the first token is worth nothing.
        prompt_tokens: estimated tokens of the prompt.
        max_tokens: most tokens to be generated; 0: the caller didn't say.
        prefix_hashes: hashes of the prompt's blocks (`bronzepoint_common.prefix`).
        allowed_regions: regions that residency allows; None: all.
        forwarded: True where another region sent it; it is then served here or not
            at all.
        tried: targets that were tried already.
        memory_tokens: memory of an engine that it takes up at most.
        copy_seconds: seconds to copy a cached token from one target to another; inf:
            targets don't copy.
        tried_regions: regions that refused it already.
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
