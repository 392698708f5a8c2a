"""Decides what a region borrows from others, and which requests cross to them.

Addresses the load of a region at 2.8 times its mean beside regions at 0.17 of theirs.
"""

import itertools
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from bronzepoint_schema.generated.room_leases import RoomAsk, RoomLease, RoomReturn
from bronzepoint_schema.ids import RegionName

from ._room_budget import LEASE_TIME, MIN_LEASE, RoomBudget
from ._room_demand import RateWindow, ServiceRoom

RENEW_INTERVAL = 0.5
"""Seconds between two asks for a lease."""
BORROW_LOAD = 0.95
"""Part of its capacity that a region's demand must exceed for it to borrow."""
RETURN_LOAD = 0.8
"""Part of its capacity below which a region's demand must fall for it to return
leases."""
BORROWER_BURST = 0.5
"""Seconds of a lease's rate that may be used at once."""
SCORES_KEPT = 64
"""Number of recent requests that a request's suitability to cross is compared with."""
CROSSING_SECONDS_PER_TOKEN = 6.4e-6
"""Seconds that four bytes, a token of the prompt, take over two links of 10 Mbit/s."""


class LeaseGrant(NamedTuple):
    """A lease under which one request may be forwarded."""

    region: RegionName
    number: int


@dataclass
class _Held:
    """A lease from another region.

    Attributes:
        asked_at: When each recent ask was sent, by its turn.
        cost: Target seconds of the mean request in the lender's region; 0: unknown.
            There a request takes less than here, where the targets are full.
    """

    region: RegionName
    service: str
    number: int
    turn: int = 0
    asked_at: dict[int, float] = field(default_factory=dict)
    answered_turn: int = 0
    valid_until: float = float("-inf")
    cost: float = 0.0
    budget: RoomBudget = field(default_factory=lambda: RoomBudget(BORROWER_BURST))

    def permille(self, now: float) -> int:
        return self.budget.permille if now < self.valid_until else 0


class Borrower:
    """Asks other regions for the capacity that this region lacks.

    Args:
        region: This region.
        first_number: Number of the first lease. It is random, so that a restarted
            scheduler doesn't reuse the numbers of its former process.
    """

    def __init__(self, region: RegionName, first_number: int) -> None:
        self._region = region
        self._numbers = itertools.count(first_number)
        self._held: dict[tuple[str, RegionName], _Held] = {}
        self._asked_at: dict[str, float] = {}
        self._wanted_at: dict[str, float] = {}
        self._returned_at: dict[str, float] = {}
        self._scores: dict[str, deque[float]] = {}
        self._eligible: dict[str, RateWindow] = {}

    def plan(
        self,
        service: str,
        room: ServiceRoom,
        needed: float,
        free: dict[RegionName, float],
        now: float,
    ) -> list[tuple[RegionName, RoomAsk | RoomReturn]]:
        """Return the messages that are due, each with the region to send it to.

        Args:
            service: The service.
            room: This region's capacity.
            needed: This region's own demand.
            free: Targets' worth of free capacity that each other region reports.
            now: Monotonic seconds.
        """
        lacking = needed - BORROW_LOAD * room.capacity
        if lacking > 0:
            self._wanted_at[service] = now
        elif needed < RETURN_LOAD * room.capacity and not self.wants(service, now):
            return self._return_all(service, now)
        if not self.wants(service, now):
            return []
        if now - self._asked_at.get(service, float("-inf")) < RENEW_INTERVAL:
            return []
        self._asked_at[service] = now
        wanted = max(lacking, 0.0) or sum(self.held(service, now).values()) / 1000
        # What a region has leased to this one isn't part of the room that it reports.
        weights = {
            region: max(0.0, reported) + self._permille(service, region, now) / 1000
            for region, reported in free.items()
        }
        total = sum(weights.values())
        asks = []
        for region, weight in weights.items():
            if not weight:
                continue
            there = wanted * self._cost_ratio(service, region, room.cost)
            part = int(1000 * min(weight, there * weight / total))
            if part >= MIN_LEASE:
                asks.append((region, self._ask(service, region, part, now)))
        return asks

    def wants(self, service: str, now: float) -> bool:
        """Return whether the region lacked capacity within the last lease time."""
        return now - self._wanted_at.get(service, float("-inf")) < LEASE_TIME

    def has_borrowed(self, service: str, now: float) -> bool:
        """Return whether the region wanted or held a lease within a lease time."""
        ends = [h.valid_until for (s, _), h in self._held.items() if s == service]
        ends.append(self._returned_at.get(service, float("-inf")))
        return self.wants(service, now) or now < max(ends) + LEASE_TIME

    def apply(self, lease: RoomLease, now: float) -> None:
        """Apply a lender's answer; an old or unexpected one is ignored."""
        for held in self._held.values():
            if held.number != lease.number:
                continue
            asked_at = held.asked_at.get(lease.turn)
            if asked_at is None or lease.turn < held.answered_turn:
                return
            valid_until = asked_at + min(lease.valid_ms / 1000, LEASE_TIME)
            if lease.granted_permille and valid_until <= now:
                return
            if lease.turn == held.answered_turn and not lease.granted_permille:
                # A second scheduler that has no members must not end the lease.
                return
            held.answered_turn = lease.turn
            held.valid_until = valid_until
            held.cost = lease.cost_us / 1e6 or held.cost
            held.budget.change(lease.granted_permille, now)

    def held(self, service: str, now: float) -> dict[RegionName, int]:
        """Return the permille leased from each region."""
        return {
            held.region: held.permille(now)
            for (name, _), held in self._held.items()
            if name == service and held.permille(now)
        }

    def assign(
        self,
        service: str,
        regions: Iterable[RegionName],
        time_left: float,
        tokens: int,
        cost: float,
        now: float,
    ) -> LeaseGrant | None:
        """Return a lease for a request that finds no room here, and charge it.

        Args:
            service: Service of the request.
            regions: Regions that may serve it.
            time_left: Seconds until its deadline.
            tokens: Tokens of its prompt.
            cost: Its target seconds.
            now: Monotonic seconds.
        """
        found = [
            held
            for region in regions
            if (held := self._held.get((service, region))) is not None
            and held.permille(now)
            and held.budget.has_left(now)
        ]
        score = time_left - tokens * CROSSING_SECONDS_PER_TOKEN
        if not self._is_suited(service, score, cost, now) or not found:
            return None
        best = max(found, key=lambda held: held.budget.level)
        best.budget.take(best.cost or cost, now)
        return LeaseGrant(best.region, best.number)

    def _is_suited(self, service: str, score: float, cost: float, now: float) -> bool:
        """Return whether a request is among those that should cross.

        The leases may carry a part of the requests that could cross. That part is taken
        from those with the most time left and the shortest prompts.
        """
        scores = self._scores.setdefault(service, deque(maxlen=SCORES_KEPT))
        eligible = self._eligible.setdefault(service, RateWindow())
        scores.append(score)
        eligible.note(cost, now)
        leased = sum(self.held(service, now).values()) / 1000
        offered = eligible.rate(now)
        if offered <= leased:
            return True
        rank = int(len(scores) * (1 - leased / offered))
        return score >= sorted(scores)[min(rank, len(scores) - 1)]

    def _ask(
        self, service: str, region: RegionName, wanted: int, now: float
    ) -> RoomAsk:
        held = self._held.get((service, region))
        if held is None:
            held = _Held(region, service, next(self._numbers))
            self._held[service, region] = held
        held.turn += 1
        held.asked_at = {
            turn: at for turn, at in held.asked_at.items() if now - at < LEASE_TIME
        }
        held.asked_at[held.turn] = now
        permille = held.permille(now)
        left_ms = round((held.valid_until - now) * 1000) if permille else 0
        return RoomAsk(
            self._region, service, held.number, held.turn, wanted, permille, left_ms
        )

    def _permille(self, service: str, region: RegionName, now: float) -> int:
        held = self._held.get((service, region))
        return held.permille(now) if held is not None else 0

    def _cost_ratio(self, service: str, region: RegionName, cost: float) -> float:
        """Return a request's cost in another region as a multiple of that here."""
        held = self._held.get((service, region))
        return held.cost / cost if held is not None and held.cost else 1.0

    def _return_all(
        self, service: str, now: float
    ) -> list[tuple[RegionName, RoomReturn]]:
        keys = [key for key in self._held if key[0] == service]
        ended = [self._held.pop(key) for key in keys]
        if ended:
            self._returned_at[service] = now
        return [(held.region, RoomReturn(held.number)) for held in ended]
