"""Forecast of how long a new request waits for a target.

Addresses queues that are longer than their requests can wait, and callers that retry: a
request that can't be served is refused at once, and its caller is told when there will
be room.
"""

import math
from enum import Enum
from typing import NamedTuple

from msgspec import Struct, field

from ._fair_order import FairOrder, FlowKey, RankKey, RankState, Waiting

MEASURED_SECONDS = 2.0
"""Time constant of the measured start rate. Grants come in groups, by load reports of
40 ms, and a crash of many targets has to show within a few seconds."""
PRIOR_SECONDS = 0.5
"""Seconds of saturation for which the expected start rate counts beside the measured
one. Without measurements the forecast rests on slots and mean duration."""
MAX_GAP = 0.5
"""Seconds without a request that finds no capacity after which the service no longer
counts as full. While requests wait, they look for capacity every 0.03 s."""
GRANTED_SECONDS = 1.5
"""Time constant of the measured grants of each rank and organisation."""
IN_TIME_SHARE = 0.8
"""Part of the time to its objective within which a request must be expected to start.
In a full queue all requests wait that long, and half of them longer than forecast."""
MAX_FLOWS = 256
"""Number of flows of a rank above which those without recent grants are forgotten."""
MAX_IDLE_TIMES = 4.0
"""Time constants after which a flow has no recent grants."""
USUAL_SECONDS = 30.0
"""Time constant of the usual demand. Peaks of some seconds are to change it little."""
RECENT_SECONDS = 1.0
"""Time constant of the present demand."""
PEAK_SHARE = 0.9
"""Share of the start rate from which on the present demand leaves no room for late
requests."""
MIN_PEAK = 2.5
"""Seconds that a peak is assumed to last at least."""
MIN_LEFT_SHARE = 0.1
"""Smallest share of the start rate that more urgent ranks are assumed to leave. A
request that needs more than this is refused."""
ITERATIONS = 4
"""Maximum number of steps in which the wait is refined. What goes ahead grows with the
wait."""
CONVERGED = 0.02
"""Relative change of the wait at which it is not refined further."""
MAX_RETRY = 10.0
"""Longest time in seconds that a caller is told. There is no promise of room behind
it: nobody knows the demand at that time."""
MIN_RETRY = 0.2
"""Shortest time in seconds that a caller is told."""
STEP = 0.1
"""Seconds in which the work of returning callers is added up."""
DEMOTED_RANKS = 100
"""Ranks added to a request that is going to be late, before its objective has passed:
it waits behind all that can still be in time."""


class Outlook(Enum):
    """When a request can start, compared with its objective and its deadline."""

    IN_TIME = "in_time"
    LATE = "late"
    """After the objective, but in time to write the answer before the deadline."""
    NOT = "not"


class Limits(NamedTuple):
    """Seconds from now on within which a request has to start.

    Attributes:
        in_time: For its first event to come within the objective.
        at_all: For its answer to be written before the deadline.
        is_late: Its objective has passed, and its rank says so.
    """

    in_time: float
    at_all: float
    is_late: bool = False

    def outlook(self, wait: float) -> Outlook:
        """Return the outlook of a request that starts after ``wait`` seconds."""
        if wait > self.at_all:
            return Outlook.NOT
        is_in_time = wait <= IN_TIME_SHARE * self.in_time
        return Outlook.IN_TIME if is_in_time else Outlook.LATE


class Admission(NamedTuple):
    """What is forecast for a request that finds no free capacity.

    Attributes:
        outlook: Whether it may wait.
        wait: Forecast seconds until it starts.
        key: Urgency with which it waits.
    """

    outlook: Outlook
    wait: float
    key: RankKey


class _Decaying(Struct):
    """Sum whose summands lose their weight with time."""

    amount: float = 0.0
    updated_at: float = -math.inf

    def value(self, now: float, time_constant: float) -> float:
        age = max(0.0, now - self.updated_at)
        return self.amount * math.exp(-age / time_constant) if self.amount else 0.0

    def add(self, amount: float, now: float, time_constant: float) -> None:
        self.amount = self.value(now, time_constant) + amount
        self.updated_at = now


class _Granted(Struct):
    total: _Decaying = field(default_factory=_Decaying)
    flows: dict[FlowKey, _Decaying] = field(default_factory=dict)


class _Other(NamedTuple):
    """What another organisation may start before a request.

    Attributes:
        waiting: Its waiting work in target seconds.
        coming: Target seconds per second that come in addition.
        limit: Work that goes ahead of the request by the fair order.
    """

    waiting: float
    coming: float
    limit: float

    def work(self, wait: float) -> float:
        return min(self.waiting + self.coming * wait, self.limit)


class WaitForecast:
    """Forecasts waits for one service.

    The start rate is measured in target seconds per second, while requests find no free
    capacity; otherwise it would be the demand. It is kept as a ratio to the rate that
    follows from slots and mean duration, so that lost targets count at once.

    What a request waits for is the work ahead of it: that of more urgent ranks, waiting
    and expected, that of its organisation, and what other organisations may start
    before it by the fair order.
    """

    def __init__(self) -> None:
        self._started = _Decaying()
        self._expected = _Decaying()
        self._saturated_since: float | None = None
        self._mean_cost = 0.0
        self._granted: dict[RankKey, _Granted] = {}
        self._usual_demand = _Decaying()
        self._recent_demand = _Decaying()
        self._peak_since: float | None = None
        self._promises: dict[int, float] = {}

    def note_full(self, expected_rate: float, now: float) -> None:
        """Record that a request has found no free capacity.

        Args:
            expected_rate: Requests per second by slots and mean duration.
            now: Monotonic seconds.
        """
        if self._saturated_since is not None:
            elapsed = now - self._saturated_since
            if elapsed <= MAX_GAP:
                work = expected_rate * self._mean_cost * elapsed
                self._expected.add(work, now, MEASURED_SECONDS)
        self._saturated_since = now

    def note_started(
        self, entry: Waiting, expected_rate: float, now: float, *, is_last: bool
    ) -> None:
        """Record a granted request.

        Args:
            entry: The request.
            expected_rate: Requests per second by slots and mean duration.
            now: Monotonic seconds.
            is_last: No request is left waiting.
        """
        if not self._mean_cost:
            self._mean_cost = entry.cost
        self._mean_cost += 0.02 * (entry.cost - self._mean_cost)
        if self._saturated_since is not None:
            self.note_full(expected_rate, now)
            self._started.add(entry.cost, now, MEASURED_SECONDS)
            if is_last:
                self._saturated_since = None
        self.note_demand(entry, now)
        granted = self._granted.setdefault(entry.key, _Granted())
        granted.total.add(entry.cost, now, GRANTED_SECONDS)
        if len(granted.flows) > MAX_FLOWS:
            granted.flows = {
                name: each
                for name, each in granted.flows.items()
                if now - each.updated_at < MAX_IDLE_TIMES * GRANTED_SECONDS
            }
        flow = granted.flows.setdefault(entry.flow, _Decaying())
        flow.add(entry.cost, now, GRANTED_SECONDS)

    def share(self, flow: FlowKey, now: float) -> float:
        """Return the share of a flow in what was granted recently, by cost."""
        total = own = 0.0
        for granted in self._granted.values():
            total += _rate(granted.total, now)
            recent = granted.flows.get(flow)
            own += _rate(recent, now) if recent is not None else 0.0
        return own / total if total else 0.0

    def start_rate(self, expected_rate: float, now: float) -> float:
        """Return the target seconds per second that the service starts.

        Args:
            expected_rate: Requests per second by slots and mean duration.
            now: Monotonic seconds.
        """
        by_slots = expected_rate * self._mean_cost
        prior = PRIOR_SECONDS * by_slots
        expected = self._expected.value(now, MEASURED_SECONDS) + prior
        if expected <= 0:
            return 0.0
        started = self._started.value(now, MEASURED_SECONDS) + prior
        return by_slots * started / expected

    def forget_measurements(self) -> None:
        """Fall back to slots and mean duration, because load reports have stopped."""
        self._started, self._expected = _Decaying(), _Decaying()
        self._saturated_since = None

    def admit(
        self,
        order: FairOrder,
        entry: Waiting,
        limits: Limits,
        expected_rate: float,
        now: float,
    ) -> Admission:
        """Return whether a request that finds no free capacity may wait, and where.

        A request that would be late waits behind all that can be in time. Otherwise the
        requests behind it would be late, too.
        """
        if not self._mean_cost:
            self._mean_cost = entry.cost
        rate = self.start_rate(expected_rate, now)
        wait = self._wait(order, entry, entry.key, rate, now, limits.is_late)
        outlook = limits.outlook(wait)
        if outlook is Outlook.IN_TIME or limits.is_late:
            return Admission(outlook, wait, entry.key)
        key = RankKey(entry.key.rank + DEMOTED_RANKS, entry.key.route_priority)
        wait = max(wait, self._wait(order, entry, key, rate, now, True))
        return Admission(limits.outlook(wait), wait, key)

    def retry_after(
        self, order: FairOrder, entry: Waiting, expected_rate: float, now: float
    ) -> float:
        """Return the seconds after which a refused caller finds room.

        By then all that waits now has to be started, and the callers that were told a
        time before, so each of them is told another time. While the demand exceeds the
        capacity, late requests find no room. Such a peak is assumed to last as long
        again as it has lasted, and to be followed by the mean of the last half minute.

        Args:
            order: Order of the waiting requests.
            entry: The refused request.
            expected_rate: Requests per second by slots and mean duration.
            now: Monotonic seconds.
        """
        rate = self.start_rate(expected_rate, now)
        usual = self._usual_demand.value(now, USUAL_SECONDS) / USUAL_SECONDS
        left = rate - usual
        if left <= MIN_LEFT_SHARE * rate:
            return MAX_RETRY
        waiting = sum(rank.waiting_cost for rank in order.ranks.values())
        work = waiting + entry.cost + sum(self._promises.values())
        seconds = max(MIN_RETRY, work / left + self._rest_of_peak(rate, now))
        if seconds >= MAX_RETRY:
            return MAX_RETRY
        step = math.floor((now + seconds) / STEP)
        self._promises[step] = self._promises.get(step, 0.0) + entry.cost
        return seconds

    def note_demand(self, entry: Waiting, now: float) -> None:
        """Record a request that is granted or refused."""
        self._usual_demand.add(entry.cost, now, USUAL_SECONDS)
        self._recent_demand.add(entry.cost, now, RECENT_SECONDS)

    def _rest_of_peak(self, rate: float, now: float) -> float:
        recent = self._recent_demand.value(now, RECENT_SECONDS) / RECENT_SECONDS
        if recent < PEAK_SHARE * rate:
            self._peak_since = None
            return 0.0
        if self._peak_since is None:
            self._peak_since = now
        return max(MIN_PEAK, now - self._peak_since)

    def _wait(
        self,
        order: FairOrder,
        entry: Waiting,
        key: RankKey,
        rate: float,
        now: float,
        behind_promises: bool,
    ) -> float:
        """Return the seconds until a request of a rank starts; infinite: never."""
        left = rate - self._urgent_rate(key, now)
        if rate <= 0 or left < MIN_LEFT_SHARE * rate:
            return math.inf
        ranks = order.ranks
        ahead = entry.cost
        ahead += sum(rank.waiting_cost for k, rank in ranks.items() if k < key)
        own = ranks.get(key, RankState())
        flow = own.flows.get(entry.flow)
        own_cost = flow.waiting_cost if flow is not None else 0.0
        ahead += own_cost
        start = order.next_start(key, entry.flow) + own_cost / order.weight(entry.flow)
        others = self._others(order, own, key, entry.flow, start, now)
        wait = ahead / left
        for _ in range(ITERATIONS):
            work = ahead + sum(other.work(wait) for other in others)
            if behind_promises:
                work += self._promised(now, wait)
            former, wait = wait, work / left
            if wait - former <= CONVERGED * wait:
                break
        return wait

    def _others(
        self,
        order: FairOrder,
        rank: RankState,
        key: RankKey,
        own: FlowKey,
        start: float,
        now: float,
    ) -> list[_Other]:
        """Return what other organisations may start before a request.

        Args:
            order: Order of the waiting requests.
            rank: State of the request's rank.
            key: That rank.
            own: Flow of the request.
            start: Virtual time at which the request starts.
            now: Monotonic seconds.
        """
        granted = self._granted.get(key)
        others = []
        for name, flow in rank.flows.items():
            lead = start - order.next_start(key, name)
            if name == own or lead <= 0:
                continue
            recent = granted.flows.get(name) if granted is not None else None
            coming = _rate(recent, now) if recent is not None else 0.0
            if flow.waiting_cost or coming:
                limit = lead * order.weight(name)
                others.append(_Other(flow.waiting_cost, coming, limit))
        return others

    def _urgent_rate(self, key: RankKey, now: float) -> float:
        """Return the target seconds per second that more urgent ranks are granted."""
        return sum(
            _rate(granted.total, now)
            for other, granted in self._granted.items()
            if other < key
        )

    def _promised(self, now: float, wait: float) -> float:
        """Return the work of refused callers that return within ``wait`` seconds."""
        first, last = math.floor(now / STEP), math.floor((now + wait) / STEP)
        for step in [step for step in self._promises if step < first]:
            del self._promises[step]
        return sum(cost for step, cost in self._promises.items() if step <= last)


def _rate(recent: _Decaying, now: float) -> float:
    return recent.value(now, GRANTED_SECONDS) / GRANTED_SECONDS
