"""A request for a target of this region, as passed to the target selection."""

from msgspec import Struct

from bronzepoint_schema.generated.fleet import TargetInfo
from bronzepoint_schema.ids import RegionName

from ._prompt import Prompt
from ._reading_share import MIN_BOUNDED_TOKENS, READ_PER_WRITTEN


class LocalPlacementRequest(Struct):
    """Input of the selection of a target.

    Attributes:
        time_left: Seconds until its deadline.
        rank: Priority; 0 is the most urgent.
        arrived: When it was received, by this host's monotonic clock.
        avoided: Targets that it was already sent to, or that its host cannot use.
        suspect: It was in progress at several targets when they crashed. It is sent to
            a target without another suspect and with few other requests.
        software_version: The only software version that may serve it; empty: any.
        organisation: Organisation of its caller; empty: unknown.
        route: Name of its route; empty: unknown.
        route_priority: Priority of its route, which decides within a rank.
        objective: Seconds after its arrival within which its answer has its full value;
            0: unknown.
        data_center: Data center whose targets are preferred; empty: none are.
        lease: Lease under which another region has forwarded it; -1: without one; -2:
            that region may not serve it; 0: it was not forwarded.
        lease_regions: Regions that may serve it under a lease.
        apart: It is a suspect, and waits if another one is on trial at each target. A
            crash would prove nothing about either.
    """

    request_id: str
    service: str
    prompt: Prompt | None
    time_left: float
    rank: int
    arrived: float
    avoided: set[str]
    suspect: bool = False
    software_version: str = ""
    organisation: str = ""
    route: str = ""
    route_priority: int = 0
    objective: float = 0.0
    data_center: str = ""
    lease: int = 0
    lease_regions: list[RegionName] = []
    apart: bool = False

    @property
    def has_long_prompt(self) -> bool:
        """Whether targets that already read much may lack room for its prompt only.

        A request that writes for longer than it reads is not held up, since it leaves
        the other streams as much time as it takes. Neither is a stream that goes on
        after a failure: its caller waits in the middle of an answer.
        """
        prompt = self.prompt
        if prompt is None or self.software_version:
            return False
        read_in_writing_time = READ_PER_WRITTEN * prompt.output_tokens
        return prompt.tokens >= max(MIN_BOUNDED_TOKENS, read_in_writing_time)

    def allows(self, target: TargetInfo) -> bool:
        """Return whether a target has the software version that the request needs."""
        return self.software_version in ("", target.software_version)
