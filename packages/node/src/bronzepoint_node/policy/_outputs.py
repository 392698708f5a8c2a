"""What the policy answers, ready to be put into a decision record."""

from msgspec import Struct, field

from bronzepoint_node.policy._inputs import TargetView
from bronzepoint_schema.generated.decisions import Candidate, RefusalKind
from bronzepoint_schema.ids import RegionName


class TargetChoice(Struct):
    """A target of this region, or none.

    Attributes:
        target: the chosen one; None: none has room, or none may be used.
        usable: targets that are ready and not tried, whether or not they have room.
        expected: seconds until the first token at the chosen target.
        wait: the part of it in the target's own line.
    """

    target: TargetView | None
    candidates: list[Candidate]
    reason: str
    usable: int = 0
    expected: float = 0.0
    wait: float = 0.0


class RegionChoice(Struct):
    """Home or another region, or none.

    Attributes:
        region: the chosen one; None: no allowed region can serve the entry.
        expected: seconds until the first token there.
    """

    region: RegionName | None
    candidates: list[Candidate]
    reason: str
    expected: float = 0.0


class Home(Struct):
    """Serve it here, at this target."""

    target: TargetView
    candidates: list[Candidate]
    reason: str
    notes: list[str] = field(default_factory=list)


class Away(Struct):
    """Forward it to a host of another region.

    Attributes:
        patience: seconds to wait for the head of the answer before the try is given
            up; 0: until the deadline, for what may not run twice.
    """

    region: RegionName
    candidates: list[Candidate]
    reason: str
    notes: list[str] = field(default_factory=list)
    patience: float = 0.0


class Refused(Struct):
    """Answer it at once with this refusal; it has not run.

    Attributes:
        retry_after: seconds until another try makes sense; 0: no use in retrying.
    """

    kind: RefusalKind
    message: str
    remedy: str
    retry_after: float = 0.0
    candidates: list[Candidate] = field(default_factory=list)
    reason: str = ""
    notes: list[str] = field(default_factory=list)


Placement = Home | Away | Refused
