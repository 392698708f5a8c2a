"""Target seconds that may be used under a lease between two regions.

Addresses bursts of crossing requests: a lease is a rate, and lender and borrower both
bound the requests under it.
"""

from dataclasses import dataclass

LEASE_TIME = 2.0
"""Seconds for which a lease is valid."""
MIN_LEASE = 100
"""Smallest lease in permille; less isn't worth its messages."""


@dataclass
class RoomBudget:
    """Target seconds that may be used under a lease; they accrue at its rate."""

    burst: float
    permille: int = 0
    level: float = 0.0
    updated_at: float = 0.0

    def change(self, permille: int, now: float) -> None:
        """Change the rate; a new lease begins with a full budget."""
        self._accrue(now)
        if permille and not self.permille:
            self.level = permille / 1000 * self.burst
        self.permille = permille

    def has_left(self, now: float) -> bool:
        """Return whether anything is left; the last request may exceed it."""
        self._accrue(now)
        return self.level > 0

    def take(self, cost: float, now: float) -> None:
        """Use target seconds."""
        self._accrue(now)
        self.level -= cost

    def _accrue(self, now: float) -> None:
        rate = self.permille / 1000
        self.level = min(rate * self.burst, self.level + rate * (now - self.updated_at))
        self.updated_at = now
