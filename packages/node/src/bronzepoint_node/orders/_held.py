"""State that a host keeps while it holds a lease."""

from dataclasses import dataclass, field

from bronzepoint_node.orders._numbers import OrderNumbers
from bronzepoint_node.orders._plan import EngineView
from bronzepoint_schema.generated.platform import EngineState, Order
from bronzepoint_schema.ids import TargetName


@dataclass
class HeldLease:
    """A lease held by this host, until it ends.

    Attributes:
        numbers: Generates the numbers of orders.
        since: Monotonic time (s) at which this host found that it holds the lease.
        pending: Orders whose outcome is unknown.
        errors: Last error of each engine.
    """

    numbers: OrderNumbers
    since: float
    pending: dict[TargetName, Order] = field(default_factory=dict)
    errors: dict[TargetName, str] = field(default_factory=dict)

    def order_for(self, view: EngineView) -> Order:
        """Return the order to send now.

        An order without an answer may have been accepted. It is sent again with the
        same identifier, so that the engine does not load twice.
        """
        target, version = view.wanted.target.name, view.wanted.version
        order = self.pending.get(target)
        if order is None or order.version != version:
            order = self.numbers.next_order(version)
        self.pending[target] = order
        return order

    def record_state(self, target: TargetName, state: EngineState) -> None:
        """Remove an engine's pending order if its state shows that it arrived."""
        order = self.pending.get(target)
        if order is not None and state.order == order.order:
            del self.pending[target]
