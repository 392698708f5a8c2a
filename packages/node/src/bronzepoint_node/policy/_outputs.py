"""Results of the policy, with what a decision record needs."""

from msgspec import Struct, field

from bronzepoint_node.policy._inputs import TargetView
from bronzepoint_schema.generated.decisions import Candidate, RefusalKind
from bronzepoint_schema.ids import RegionName


class TargetChoice(Struct):
    """The choice of a target in this region.

    Attributes:
        target: the chosen one; None: none has free capacity, or none may be used.
        usable: number of targets that are ready and not tried, full ones included.
        expected: expected seconds until the first token at the chosen target.
        wait: the part of it spent in the target's own queue.
    """

    target: TargetView | None
    candidates: list[Candidate]
    reason: str
    usable: int = 0
    expected: float = 0.0
    wait: float = 0.0


class RegionChoice(Struct):
    """The choice of a region.

    Attributes:
        region: the chosen one; None: no allowed region can serve the entry.
        expected: expected seconds until the first token there.
    """

    region: RegionName | None
    candidates: list[Candidate]
    reason: str
    expected: float = 0.0


class LocalPlacement(Struct):
    """Serve the request at this target of this region."""

    target: TargetView
    candidates: list[Candidate]
    reason: str
    notes: list[str] = field(default_factory=list)


class RemotePlacement(Struct):
    """Forward the request to a host of another region.

    Attributes:
        max_wait: seconds after which an answer whose head hasn't arrived is late, so
            that another place may be sought; 0: at the deadline, for a request that
            must not run twice.
    """

    region: RegionName
    candidates: list[Candidate]
    reason: str
    notes: list[str] = field(default_factory=list)
    max_wait: float = 0.0


class Refused(Struct):
    """Refuse the request, which has not run.

    Attributes:
        retry_after: seconds after which a retry may succeed; 0: retrying won't help.
    """

    kind: RefusalKind
    message: str
    remedy: str
    retry_after: float = 0.0
    candidates: list[Candidate] = field(default_factory=list)
    reason: str = ""
    notes: list[str] = field(default_factory=list)


Placement = LocalPlacement | RemotePlacement | Refused
