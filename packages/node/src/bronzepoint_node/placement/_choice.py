"""What the placer answers."""

from dataclasses import dataclass
from enum import StrEnum

from bronzepoint_schema.ids import RegionName

from ._tracked import Tracked


class RejectReason(StrEnum):
    """Why a request is turned away unserved."""

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


@dataclass(frozen=True)
class AtHome:
    """Send it to this target of the own region.

    Attributes:
        delay: Seconds until its first answer, as expected.
        fetch_from: Target that keeps more of the prompt; None: none is asked for it.
        cached_tokens: Tokens of the prompt that needn't be read there.
        tokens_before: Prompt tokens that are read there before its own.
        known_age: Seconds that what the choice went by may be old.
        quiet: Nothing that hasn't begun is known to be there.
    """

    target: Tracked
    reason: str
    delay: float = 0.0
    fetch_from: Tracked | None = None
    cached_tokens: int = 0
    tokens_before: float = 0.0
    known_age: float = 0.0
    quiet: bool = False


@dataclass(frozen=True)
class NoHome:
    """No target of the own region may get it now.

    Attributes:
        late: There is room, but it would not end by its deadline.
        crowded: The requests in line before it take longer than it may wait.
    """

    late: bool = False
    crowded: bool = False


@dataclass(frozen=True)
class Elsewhere:
    """Forward it to an entry host of another region."""

    region: RegionName
    host: str
    address: str
    reason: str
    delay: float = 0.0


@dataclass(frozen=True)
class Rejected:
    """Turn it away; it has not run.

    Attributes:
        retry_after: Seconds until there may be room.
        final: It is known that waiting here doesn't help.
    """

    reason: RejectReason
    retry_after: float
    final: bool = False


HomeAnswer = AtHome | NoHome
Placement = AtHome | Elsewhere | Rejected
