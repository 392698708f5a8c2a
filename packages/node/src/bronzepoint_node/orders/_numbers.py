"""Fencing numbers and identifiers of single orders."""

from bronzepoint_schema.generated.platform import Order
from bronzepoint_schema.ids import FencingNumber

SEQUENCE_BITS = 24
"""Orders of one lease: 16 million, far more than a term ever sees."""


class OrderNumbers:
    """Numbers the orders of one lease.

    The lease's number stands in the upper bits, so every order of a newer lease is
    above all orders of an older one. The lower bits count: an order that was delayed
    on the way can't undo a later one of the same lease.

    Args:
        lease: Number of the lease.
    """

    def __init__(self, lease: FencingNumber) -> None:
        self.lease = lease
        self._sequence = 0

    def next_order(self, version: str) -> Order:
        """Return a new order to load a version of the model that an engine has."""
        self._sequence += 1
        number = (self.lease << SEQUENCE_BITS) + self._sequence
        return Order(order=f"order-{number}", fencing_number=number, version=version)
