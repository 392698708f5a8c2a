"""Positions in the log of the last orders to close or open data centers."""

from collections.abc import Iterable

from bronzepoint_schema.generated.agreement import DataCenterOrder
from bronzepoint_schema.ids import DataCenterName

MAX_POSITIONS = 1000
"""Number of data centers whose last order is kept, so that orders with misspelt names
don't fill the memory."""


class OrderPositions:
    """The position of the last order of each data center.

    Args:
        floor: No order of a data center that isn't listed stands behind this position.
        orders: The last orders, oldest first.

    Attributes:
        floor: As above; it rises when a position is evicted.
    """

    def __init__(self, floor: int = 0, orders: Iterable[DataCenterOrder] = ()) -> None:
        self.floor = floor
        self._positions = {order.data_center: order.index for order in orders}

    def last(self, data_center: DataCenterName) -> int:
        """Return a position at or behind that of the data center's last order."""
        return self._positions.get(data_center, self.floor)

    def record(self, data_center: DataCenterName, index: int) -> None:
        """Record the position of a newer order."""
        self._positions.pop(data_center, None)
        self._positions[data_center] = index
        if len(self._positions) > MAX_POSITIONS:
            self.floor = self._positions.pop(next(iter(self._positions)))

    def listed(self) -> list[DataCenterOrder]:
        """Return the last orders, oldest first."""
        return [DataCenterOrder(name, index) for name, index in self._positions.items()]
