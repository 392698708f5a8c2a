"""Fencing numbers and identifiers of orders."""

from bronzepoint_schema.generated.platform import Order
from bronzepoint_schema.ids import FencingNumber

SEQUENCE_BITS = 24
"""Bits for the sequence of orders in one lease; 16 million are never reached."""


class OrderNumbers:
    """Generates the fencing numbers of the orders of one lease.

    The upper bits are the lease's number, so every order of a newer lease has a
    higher number than all orders of an older one. The lower bits count the orders, so
    that a delayed order can't undo a later one of the same lease.

    Args:
        lease: Number of the lease.
    """

    def __init__(self, lease: FencingNumber) -> None:
        self.lease = lease
        self._sequence = 0

    def next_order(self, version: str) -> Order:
        """Return a new order to load a version of an engine's model."""
        self._sequence += 1
        number = (self.lease << SEQUENCE_BITS) + self._sequence
        return Order(order=f"order-{number}", fencing_number=number, version=version)
