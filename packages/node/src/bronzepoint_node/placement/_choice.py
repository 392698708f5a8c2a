"""What the placer answers."""

from dataclasses import dataclass
from enum import StrEnum

from bronzepoint_schema.ids import RegionName

from ._prompt import Prompt
from ._target_table import Tracked


class RejectReason(StrEnum):
    """Why a request is turned away unserved."""

    NO_CATALOGUE = "no_catalogue"
    NO_ROOM = "no_room"
    NO_TIME = "no_time"
    RETRIES_USED_UP = "retries_used_up"
    LEAVING = "leaving"


@dataclass(frozen=True)
class AtHome:
    """Send it to this target of the own region.

    Attributes:
        delay: Seconds until its first answer, as expected.
        fetch_from: Target that keeps more of the prompt; None: none is asked for it.
    """

    target: Tracked
    reason: str
    delay: float = 0.0
    fetch_from: Tracked | None = None

    def cached_tokens(self, prompt: Prompt) -> int:
        """Return the tokens of a prompt that needn't be read there."""
        keepers = [self.target]
        if self.fetch_from is not None:
            keepers.append(self.fetch_from)
        return max(keeper.memory.cached_tokens(prompt) for keeper in keepers)


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
    """

    reason: RejectReason
    retry_after: float


Placement = AtHome | Elsewhere | Rejected
