"""State of one request while a host places it."""

from msgspec import Struct, field

from bronzepoint_node.policy._admission import Pool
from bronzepoint_node.policy._inputs import RequestView
from bronzepoint_node.policy._limits import LimitTicket


class Ticket(Struct):
    """A request that its limits have admitted.

    Attributes:
        deadline: monotonic seconds at which its first token is worth nothing.
        placed_at: monotonic seconds of the last placement.
        expected_wait: seconds in the target's own queue expected at that moment.
        pool: targets that it waits for, or holds a slot of.
        holds_slot: True from a placement in this region until its try has ended.
        notes: lines for the decision record.
    """

    request: RequestView
    limits: LimitTicket
    deadline: float
    placed_at: float = 0.0
    expected_wait: float = 0.0
    pool: Pool = frozenset()
    holds_slot: bool = False
    notes: list[str] = field(default_factory=list)


__all__ = ["Ticket"]
