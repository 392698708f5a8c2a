"""What a host remembers while it holds one lease."""

from dataclasses import dataclass, field

from bronzepoint_node.orders._numbers import OrderNumbers
from bronzepoint_node.orders._plan import EngineView
from bronzepoint_schema.generated.platform import EngineState, Order
from bronzepoint_schema.ids import TargetName


@dataclass
class HeldLease:
    """One lease, from the first look at it until it ends.

    Attributes:
        numbers: Gives the orders their numbers.
        since: Monotonic time at which this host saw that it holds the lease.
        pending: Orders whose outcome is unknown.
        errors: Last error of each engine.
    """

    numbers: OrderNumbers
    since: float
    pending: dict[TargetName, Order] = field(default_factory=dict)
    errors: dict[TargetName, str] = field(default_factory=dict)

    def order_for(self, view: EngineView) -> Order:
        """Return the order to give now.

        An order without an answer may have been taken: it is given again under its
        own identifier, so that the engine does not load twice.
        """
        target, version = view.wanted.target.name, view.wanted.version
        order = self.pending.get(target)
        if order is None or order.version != version:
            order = self.numbers.next_order(version)
        self.pending[target] = order
        return order

    def note_state(self, target: TargetName, state: EngineState) -> None:
        """Take what an engine reports: an order that it names has arrived."""
        order = self.pending.get(target)
        if order is not None and state.order == order.order:
            del self.pending[target]
