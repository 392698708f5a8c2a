"""A request that wants a target of this region, as whoever chooses one is told."""

from msgspec import Struct

from ._prompt import Prompt


class HomeAsk(Struct):
    """What the choice of a target depends on.

    Attributes:
        left: Seconds until its deadline.
        rank: How urgent it is now; 0 goes first.
        arrived: When it was read, by this host's monotonic clock.
        avoided: Targets that it was sent to, or that its host can't use.
        suspect: It was beside several crashes of targets, and goes where it is the only
            such one and little else runs.
    """

    request_id: str
    service: str
    prompt: Prompt | None
    left: float
    rank: int
    arrived: float
    avoided: set[str]
    suspect: bool = False
