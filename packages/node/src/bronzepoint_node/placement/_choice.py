"""Results of placing a request."""

from dataclasses import dataclass
from enum import StrEnum

from bronzepoint_schema.ids import RegionName

from ._room_borrower import LeaseGrant
from ._tracked_target import TrackedTarget


class RejectReason(StrEnum):
    """Why a request is refused without having been served."""

    NO_CATALOGUE = "no_catalogue"
    NO_ROOM = "no_room"
    NO_TIME = "no_time"
    RETRIES_USED_UP = "retries_used_up"
    LEAVING = "leaving"
    HELD = "held"
    UNAUTHENTICATED = "unauthenticated"
    KEY_UNCONFIRMED = "key_unconfirmed"
    ROUTE_UNCONFIRMED = "route_unconfirmed"
    OVER_QUOTA = "over_quota"
    LAGGING = "lagging"
    LIMITED = "limited"
    RESTING = "resting"
    VERSION_GONE = "version_gone"
    ORIGIN_UNKNOWN = "origin_unknown"
    ORIGIN_UNCONFIRMED = "origin_unconfirmed"


@dataclass(frozen=True)
class LocalPlacement:
    """Send the request to a target of this region.

    Attributes:
        delay: Expected seconds until the first event of the answer.
        fetch_from: Target to copy cached parts of the prompt from; None if there is
            nothing to copy.
        cached_tokens: Prompt tokens that the target does not have to read.
        tokens_before: Prompt tokens that the target reads before this prompt.
        staleness: Maximum age in seconds of the data behind the choice.
        quiet: As far as is known, every other request there has produced its first
            event.
        share: Share of the organisation in what was started recently; 0: unknown.
    """

    target: TrackedTarget
    reason: str
    delay: float = 0.0
    fetch_from: TrackedTarget | None = None
    cached_tokens: int = 0
    tokens_before: float = 0.0
    staleness: float = 0.0
    quiet: bool = False
    share: float = 0.0


@dataclass(frozen=True)
class NoLocalTarget:
    """No target of this region can take the request now.

    Attributes:
        late: There is free capacity, but the request would miss its deadline.
        crowded: The requests ahead of it in the queue take longer than it may wait.
        limited_for: Seconds until a target may get a request, if all targets limit
            their request rate; 0: not all of them do.
        rests_for: Seconds for which all targets want no requests of this host; 0: not
            all of them do.
        retry_after: Forecast seconds until there is room for the request; 0: unknown.
            If the queue isn't crowded, the request may wait for that.
        share: Share of the organisation in what was started recently; 0: unknown.
        lease: Lease under which the request may be forwarded; None: there is none.
        lends: The region leases capacity to others, so the request isn't forwarded.
    """

    late: bool = False
    crowded: bool = False
    limited_for: float = 0.0
    rests_for: float = 0.0
    retry_after: float = 0.0
    share: float = 0.0
    lease: LeaseGrant | None = None
    lends: bool = False


@dataclass(frozen=True)
class RemotePlacement:
    """Forward the request to an entry host of another region.

    Attributes:
        lease: Number of the lease that keeps capacity free for it; 0: there is none.
    """

    region: RegionName
    host: str
    address: str
    reason: str
    delay: float = 0.0
    lease: int = 0


@dataclass(frozen=True)
class Rejected:
    """Refuse the request; it has not run.

    Attributes:
        retry_after: Seconds until there may be free capacity.
        final: Waiting on this host is known not to help.
    """

    reason: RejectReason
    retry_after: float
    final: bool = False


LocalResult = LocalPlacement | NoLocalTarget
Placement = LocalPlacement | RemotePlacement | Rejected
