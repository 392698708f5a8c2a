"""Decides on free capacity that regions lease to each other, without any I/O.

Addresses the load of a region at 2.8 times its mean beside regions at 0.17 of theirs:
if each host forwards by a summary of the other regions, hosts use the same free slots,
and most forwarded requests are refused. A lease is a rate in target seconds per second
that one region's scheduler keeps free for another one's requests.
"""

import itertools
import random
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from msgspec import structs

from bronzepoint_node.policy import max_min_shares
from bronzepoint_schema.generated.fleet import RegionLoad
from bronzepoint_schema.generated.room_leases import RoomAsk, RoomLease, RoomReturn
from bronzepoint_schema.ids import RegionName

from ._room_demand import RateWindow, ServiceRoom, demand

LEASE_TIME = 2.0
"""Seconds for which a lease is valid."""
RENEW_INTERVAL = 0.5
"""Seconds between two asks for a lease."""
LEND_MARGIN = 0.05
"""Part of a region's capacity that is never lent. It serves home-bound requests that
other regions forward by its load report, and what arrives until the next renewal."""
OWN_RESERVE = 0.01
"""Part of its capacity that a region that lends doesn't report as free."""
BORROW_LOAD = 0.95
"""Part of its capacity that a region's demand must exceed for it to borrow."""
RETURN_LOAD = 0.8
"""Part of its capacity below which a region's demand must fall for it to return
leases."""
MIN_LEASE = 100
"""Smallest lease in permille; less isn't worth its messages."""
BORROWER_BURST = 0.5
"""Seconds of a lease's rate that may be used at once."""
LENDER_BURST = 1.0
"""The same for the admission by the lender. It is longer, since requests that were sent
evenly may arrive together."""
MAX_ADMITTED_UNKNOWN = LEASE_TIME
"""Seconds after its start in which a scheduler admits leases that it doesn't know: its
predecessor may have granted them."""
SCORES_KEPT = 64
"""Number of recent requests that a request's suitability to cross is compared with."""
CROSSING_SECONDS_PER_TOKEN = 6.4e-6
"""Seconds that four bytes, a token of the prompt, take over two links of 10 Mbit/s."""


UNLEASED = -1
"""Number in the ask for a request that another region has forwarded without a lease."""


class LeaseGrant(NamedTuple):
    """A lease under which one request may be forwarded."""

    region: RegionName
    number: int


@dataclass
class _Budget:
    """Target seconds that may be used under a lease; they accrue at its rate."""

    burst: float
    permille: int = 0
    level: float = 0.0
    updated_at: float = 0.0

    def change(self, permille: int, now: float) -> None:
        self._accrue(now)
        if permille and not self.permille:
            self.level = permille / 1000 * self.burst
        self.permille = permille

    def has_left(self, now: float) -> bool:
        """Return whether anything is left; the last request may exceed it."""
        self._accrue(now)
        return self.level > 0

    def take(self, cost: float, now: float) -> None:
        self._accrue(now)
        self.level -= cost

    def _accrue(self, now: float) -> None:
        rate = self.permille / 1000
        self.level = min(rate * self.burst, self.level + rate * (now - self.updated_at))
        self.updated_at = now


@dataclass
class _Lent:
    """A lease to another region."""

    borrower: RegionName
    service: str
    wanted: int
    ends_at: float
    turn: int
    budget: _Budget
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
            budget = _Budget(LENDER_BURST, updated_at=now)
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
        budget = _Budget(LENDER_BURST, updated_at=now)
        budget.change(min(ask.held_permille, most), now)
        wanted, ends_at = ask.wanted_permille, now + left
        lent = _Lent(ask.region, ask.service, wanted, ends_at, ask.turn, budget, True)
        self._lent[ask.number] = lent
        self._last_end[ask.service] = ends_at
        return lent


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
    budget: _Budget = field(default_factory=lambda: _Budget(BORROWER_BURST))

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


class RegionLeases:
    """The leases of one region, in the roles of lender and borrower.

    A region that lends a service doesn't borrow it, and vice versa, until a lease time
    after the end of the last lease. Otherwise two regions would exchange requests.

    Args:
        region: This region.
        first_number: Number of the first lease that this scheduler asks for.
    """

    def __init__(self, region: RegionName, first_number: int | None = None) -> None:
        number = random.getrandbits(40) if first_number is None else first_number
        self.lender = Lender()
        self.borrower = Borrower(region, number)
        self._region = region
        self._arrivals: dict[str, RateWindow] = {}
        self._started_at: float | None = None

    def note_arrival(self, service: str, now: float) -> None:
        """Count a request of this region."""
        if self._started_at is None:
            self._started_at = now
        self._arrivals.setdefault(service, RateWindow()).note(1.0, now)

    def plan(
        self,
        service: str,
        room: ServiceRoom,
        loads: Iterable[RegionLoad],
        silent: Iterable[RegionName],
        now: float,
    ) -> list[tuple[RegionName, RoomAsk | RoomReturn]]:
        """Return the messages to other regions that are due.

        Args:
            service: The service.
            room: This region's capacity.
            loads: Load reports of all regions.
            silent: Regions that can't be reached.
            now: Monotonic seconds.
        """
        if self.lender.has_lent(service, now):
            return []
        excluded = {self._region, *silent}
        free = {
            load.region: (load.slots - load.in_progress) / room.slots
            for load in loads
            if load.service == service and load.region not in excluded
        }
        needed = self._needed(service, room, now)
        return self.borrower.plan(service, room, needed, free, now)

    def answer(self, ask: RoomAsk, room: ServiceRoom, now: float) -> RoomLease | None:
        """Answer another region's ask."""
        if self.borrower.has_borrowed(ask.service, now):
            return self.lender.answer(ask, room, float("inf"), now)
        needed = self._needed(ask.service, room, now)
        return self.lender.answer(ask, room, needed, now)

    def reported_load(
        self, load: RegionLoad, room: ServiceRoom, now: float
    ) -> RegionLoad:
        """Return a load report that shows only what may be used without a lease.

        A region whose own requests wait or cross has no room for others, whichever
        slots are free at the moment. A region that lends keeps some for its own
        requests, which may not cross.
        """
        service = load.service
        kept = 0.0
        if room.waiting or self.borrower.held(service, now):
            kept = room.capacity
        elif self.lender.has_lent(service, now):
            unused = self.lender.unused(service, now)
            kept = unused + OWN_RESERVE * room.capacity
        in_progress = load.in_progress + round(kept * room.slots)
        return structs.replace(load, in_progress=in_progress)

    def admits(self, number: int, now: float) -> bool:
        """Return whether a request forwarded under a lease is admitted by it."""
        if number == UNLEASED:
            return False
        known = self.lender.admits(number, now)
        if known is not None:
            return known
        if self._started_at is None:
            return True
        return now - self._started_at < MAX_ADMITTED_UNKNOWN

    def _needed(self, service: str, room: ServiceRoom, now: float) -> float:
        """Return what this region's own requests need, or use at the moment."""
        arrivals = self._arrivals.get(service, RateWindow())
        own_use = room.used - self.lender.used_by_others(service, now)
        return max(demand(room, arrivals, now), own_use)
