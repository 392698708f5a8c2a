"""Decides what a region leases to others of what its own demand leaves.

Addresses the load of regions at 2.8 times their mean that all use the free capacity of
the same idle region, which needs a part of it itself.
"""

from dataclasses import dataclass

from bronzepoint_node.policy import max_min_shares
from bronzepoint_schema.generated.room_leases import RoomAsk, RoomLease
from bronzepoint_schema.ids import RegionName

from ._room_budget import LEASE_TIME, MIN_LEASE, RoomBudget
from ._room_demand import RateWindow, ServiceRoom

LEND_MARGIN = 0.05
"""Part of a region's capacity that is never lent. It serves home-bound requests that
other regions forward by its load report, and what arrives until the next renewal."""
LENDER_BURST = 1.0
"""Seconds of a lease's rate that are admitted at once. They are more than the borrower
may send at once, since requests that were sent evenly may arrive together."""


@dataclass
class _Lent:
    """A lease to another region."""

    borrower: RegionName
    service: str
    wanted: int
    ends_at: float
    turn: int
    budget: RoomBudget
    is_adopted: bool = False


class Lender:
    """Grants leases from what a region's own demand leaves."""

    def __init__(self) -> None:
        self._lent: dict[int, _Lent] = {}
        self._used: dict[str, RateWindow] = {}
        self._unleased: dict[str, RateWindow] = {}
        self._last_end: dict[str, float] = {}

    def answer(
        self, ask: RoomAsk, room: ServiceRoom, needed: float, now: float
    ) -> RoomLease | None:
        """Grant or renew a lease, as far as the region's own demand allows.

        A delayed or repeated ask gets no answer: it must not undo a later one.

        Args:
            ask: The borrower's ask.
            room: This region's capacity.
            needed: This region's own demand; infinite if it may not lend.
            now: Monotonic seconds.
        """
        self.expire(now)
        lent = self._lent.get(ask.number) or self._adopt(ask, room, now)
        if lent is not None and ask.turn < lent.turn:
            return None
        cost_us = round(room.cost * 1e6)
        lendable = room.capacity * (1 - LEND_MARGIN) - needed
        granted = self._share(ask, lendable, now)
        if lent is not None and granted < lent.budget.permille and lent.is_adopted:
            # A former scheduler has granted it. It holds to its end, and isn't renewed.
            lent.turn, permille = ask.turn, lent.budget.permille
            left_ms = round((lent.ends_at - now) * 1000)
            return RoomLease(ask.number, ask.turn, permille, left_ms, cost_us)
        if granted < MIN_LEASE:
            self.take_back(ask.number, now)
            return RoomLease(ask.number, ask.turn, 0, 0)
        if lent is None:
            budget = RoomBudget(LENDER_BURST, updated_at=now)
            lent = _Lent(ask.region, ask.service, 0, now, ask.turn, budget)
            self._lent[ask.number] = lent
        lent.wanted, lent.turn = ask.wanted_permille, ask.turn
        lent.ends_at = self._last_end[ask.service] = now + LEASE_TIME
        lent.budget.change(granted, now)
        lent.is_adopted = False
        valid_ms = round(LEASE_TIME * 1000)
        return RoomLease(ask.number, ask.turn, granted, valid_ms, cost_us)

    def take_back(self, number: int, now: float) -> None:
        """End a lease that its borrower returns."""
        lent = self._lent.pop(number, None)
        if lent is not None:
            self._last_end[lent.service] = now

    def admits(self, number: int, now: float) -> bool | None:
        """Return whether a lease has room left; None if the lease isn't known."""
        self.expire(now)
        lent = self._lent.get(number)
        return lent.budget.has_left(now) if lent is not None else None

    def charge(self, number: int, cost: float, now: float) -> None:
        """Count a request that was admitted under a lease."""
        lent = self._lent.get(number)
        if lent is not None:
            lent.budget.take(cost, now)
            self._used.setdefault(lent.service, RateWindow()).note(cost, now)

    def note_unleased(self, service: str, cost: float, now: float) -> None:
        """Count a request that another region has forwarded without a lease."""
        self._unleased.setdefault(service, RateWindow()).note(cost, now)

    def lent(self, service: str, now: float) -> dict[RegionName, int]:
        """Return the permille lent to each region."""
        self.expire(now)
        found: dict[RegionName, int] = {}
        for lent in self._lent.values():
            if lent.service == service:
                before = found.get(lent.borrower, 0)
                found[lent.borrower] = before + lent.budget.permille
        return found

    def used(self, service: str, now: float) -> float:
        """Return the target seconds per second used under leases."""
        window = self._used.get(service)
        return window.rate(now) if window is not None else 0.0

    def used_by_others(self, service: str, now: float) -> float:
        """Return the same for all requests of other regions."""
        window = self._unleased.get(service)
        unleased = window.rate(now) if window is not None else 0.0
        return self.used(service, now) + unleased

    def unused(self, service: str, now: float) -> float:
        """Return the target seconds per second that are lent and not used."""
        lent = sum(self.lent(service, now).values()) / 1000
        window = self._used.get(service, RateWindow())
        # Use fluctuates, and what is kept for a borrower stands idle.
        return max(0.0, lent - max(window.rate(now), window.former_rate(now)))

    def has_lent(self, service: str, now: float) -> bool:
        """Return whether the service was lent within the last lease time."""
        return now < self._last_end.get(service, float("-inf")) + LEASE_TIME

    def expire(self, now: float) -> None:
        """Drop leases that have ended."""
        self._lent = {n: lent for n, lent in self._lent.items() if now < lent.ends_at}

    def _share(self, ask: RoomAsk, lendable: float, now: float) -> int:
        others = {
            number: lent
            for number, lent in self._lent.items()
            if lent.service == ask.service and number != ask.number
        }
        wanted = {number: float(lent.wanted) for number, lent in others.items()}
        wanted[ask.number] = float(ask.wanted_permille)
        fair = max_min_shares(max(0.0, lendable * 1000), wanted)[ask.number]
        left = lendable * 1000 - sum(lent.budget.permille for lent in others.values())
        return int(max(0.0, min(fair, left)))

    def _adopt(self, ask: RoomAsk, room: ServiceRoom, now: float) -> _Lent | None:
        """Take over a lease that a former scheduler of this region has granted."""
        left = min(ask.held_ms / 1000, LEASE_TIME)
        if not ask.held_permille or left <= 0:
            return None
        most = int(room.capacity * (1 - LEND_MARGIN) * 1000)
        budget = RoomBudget(LENDER_BURST, updated_at=now)
        budget.change(min(ask.held_permille, most), now)
        wanted, ends_at = ask.wanted_permille, now + left
        lent = _Lent(ask.region, ask.service, wanted, ends_at, ask.turn, budget, True)
        self._lent[ask.number] = lent
        self._last_end[ask.service] = ends_at
        return lent
