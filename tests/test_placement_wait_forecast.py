"""Forecast of waits in the queue of a service, refusals and the time until a retry."""

import heapq
import itertools
import random
import unittest
from collections import Counter

from nose2.tools import params

from bronzepoint_node.placement._fair_order import FairOrder, FlowKey
from bronzepoint_node.placement._request_queue import QueuedRequest
from bronzepoint_node.placement._scheduler import MAX_WAIT
from bronzepoint_node.placement._wait_forecast import (
    DEMOTED_RANKS,
    MAX_RETRY,
    Limits,
    Outlook,
    WaitForecast,
)

STEP = 0.02
"""Seconds between two passes over the queue."""
SLOTS = 40
HOLD = 1.0
"""Seconds for which a request holds its slot."""
CAPACITY = SLOTS / HOLD
"""Requests per second that the service starts."""
OBJECTIVE, DEADLINE = 0.8, 15.0
WORTH, LATE_WORTH = 2.7, 0.33
COST = HOLD / SLOTS
LATE_RANKS = 5


class Caller:
    """A request of the replay.

    Attributes:
        arrived: When it first came.
        told: Seconds that it was told to wait; None: it was not refused.
        queued_at: When it came last.
    """

    def __init__(self, organisation, arrived):
        self.organisation, self.arrived = organisation, arrived
        self.told = self.queued_at = None


class Replay:
    """A service with slots, whose queue goes by forecast."""

    def __init__(self, slots=SLOTS, seed=1, deadline=DEADLINE, ranks=None):
        self.slots, self.free = slots, slots
        self.seed, self.rng, self.arrivals = seed, random.Random(seed), {}
        self.order, self.forecast = FairOrder(lambda _: 1.0), WaitForecast()
        self.waiting, self.running, self.returning = {}, [], []
        self.worth = 0.0
        self.served, self.refused, self.late = Counter(), Counter(), 0
        self.returned, self.returned_served = 0, 0
        self.errors = []
        self.deadline, self.ranks = deadline, ranks or {}
        self.rate = slots / HOLD

    def run(self, rates, seconds):
        """Replay arrivals; ``rates`` returns requests per second by organisation."""
        steps = int(seconds / STEP)
        for step in range(steps):
            now = step * STEP
            while self.running and self.running[0] <= now:
                heapq.heappop(self.running)
                self.free += 1
            self.serve(now)
            self.expire(now)
            coming = []
            for name, rate in rates(now).items():
                rng = self.arrivals.setdefault(
                    name, random.Random(f"{self.seed}{name}")
                )
                expected = rate * STEP
                count = int(expected) + (rng.random() < expected % 1)
                coming += [Caller(name, now) for _ in range(count)]
            while self.returning and self.returning[0][0] <= now:
                coming.append(heapq.heappop(self.returning)[2])
            self.rng.shuffle(coming)
            for caller in coming:
                self.arrive(caller, now)
        return self

    def entry(self, caller, now):
        late = now - caller.arrived > OBJECTIVE
        caller.queued_at = caller.queued_at or now
        rank = self.ranks.get(caller.organisation, 0) + LATE_RANKS * late
        entry = QueuedRequest(
            rank, caller.queued_at, now, flow=FlowKey(caller.organisation), cost=COST
        )
        entry.caller = caller
        return entry

    def arrive(self, caller, now):
        entry = self.entry(caller, now)
        if caller.told is not None:
            self.returned += 1
        if self.free and not self.order.is_behind_others(entry):
            self.start(entry, now)
            return
        self.forecast.note_full(self.rate, now)
        self.admit(entry, now)

    def admit(self, entry, now):
        caller = entry.caller
        waited = now - caller.arrived
        limits = Limits(
            OBJECTIVE - waited, self.deadline - waited - 2, waited > OBJECTIVE
        )
        admission = self.forecast.admit(self.order, entry, limits, self.rate, now)
        if admission.outlook is Outlook.NOT:
            self.refused[caller.organisation] += 1
            told = self.forecast.retry_after(self.order, entry, self.rate, now)
            self.forecast.note_demand(entry, now)
            left = self.deadline - waited
            if caller.told is None and told < MAX_RETRY and told <= left / 3:
                caller.told, caller.queued_at = told, None
                after = now + told * (1 + self.rng.uniform(0.1, 0.5))
                heapq.heappush(self.returning, (after, id(caller), caller))
            return
        entry.rank = admission.key.rank
        in_time = admission.outlook is Outlook.IN_TIME
        latest = limits.in_time if in_time else limits.at_all
        entry.until = now + min(MAX_WAIT, latest)
        entry.forecast = now + admission.wait
        self.join(entry, now)

    def join(self, entry, now):
        self.order.add(entry, now)
        self.waiting[id(entry)] = entry

    def leave(self, entry):
        if self.waiting.pop(id(entry), None) is not None:
            self.order.remove(entry)

    def expire(self, now):
        for entry in [e for e in self.waiting.values() if e.until < now]:
            self.leave(entry)
            self.admit(self.entry(entry.caller, now), now)

    def serve(self, now):
        while self.free and self.waiting:
            self.start(next(self.order.in_order(now)), now)

    def start(self, entry, now):
        self.order.charge(entry.key, entry.flow, entry.cost, now)
        if id(entry) in self.waiting and hasattr(entry, "forecast"):
            self.errors.append(now - entry.forecast)
        self.leave(entry)
        last = not self.waiting
        self.forecast.note_started(entry, self.rate, now, is_last=last)
        self.free -= 1
        heapq.heappush(self.running, now + HOLD * self.rng.uniform(0.5, 1.5))
        is_late = now - entry.caller.arrived > OBJECTIVE
        self.worth += LATE_WORTH if is_late else WORTH
        self.late += is_late
        self.served[entry.caller.organisation] += 1
        self.returned_served += entry.caller.told is not None


class TestOverload(unittest.TestCase):
    @params(2, 4, 8)
    def test_worth_under_overload(self, times):
        """Guards against a queue that serves requests only after their objective, since
        it holds more of them than it can start in time."""
        seconds = 20.0
        replay = Replay().run(lambda now: {"a": times * CAPACITY}, seconds)
        # All slots are free at the beginning.
        best = WORTH * (SLOTS + CAPACITY * seconds)
        self.assertGreaterEqual(replay.worth, 0.9 * best)

    def test_refused_at_once_and_not_after_a_wait(self):
        replay = Replay().run(lambda now: {"a": 4 * CAPACITY}, 10.0)
        # Only requests that can be served wait: about what starts within the objective.
        self.assertLessEqual(len(replay.waiting), 1.3 * CAPACITY * OBJECTIVE)

    def test_forecast_is_close_to_the_wait(self):
        replay = Replay().run(lambda now: {"a": 1.5 * CAPACITY}, 20.0)
        errors = sorted(abs(error) for error in replay.errors)
        self.assertLess(errors[int(0.9 * len(errors))], 0.3)


class TestRanks(unittest.TestCase):
    @params((0.5, 1.0), (0.7, 1.0), (0.92, 0.5), (1.5, 1.0))
    def test_less_urgent_requests_use_what_urgent_ones_leave(self, urgent, long):
        """Guards against capacity that stands idle because forecasts refuse all less
        urgent requests, and against urgent ones that wait behind them."""
        seconds = 20.0
        rates = {"urgent": urgent * CAPACITY, "long": long * CAPACITY}
        replay = Replay(ranks={"long": 2}).run(lambda now: rates, seconds)
        offered = min(1.0, urgent) * CAPACITY * seconds
        self.assertGreaterEqual(replay.served["urgent"], 0.95 * offered)
        started = replay.served.total()
        self.assertGreaterEqual(started, 0.95 * CAPACITY * seconds)


class TestFlood(unittest.TestCase):
    @params(1, 2, 3)
    def test_others_keep_what_they_have_without_the_flood(self, seed):
        """Guards against forecasts that refuse the requests of organisations within
        their share because of another one's flood."""
        usual = dict.fromkeys("abcd", 0.2 * CAPACITY)
        alone = Replay(seed=seed).run(lambda now: usual, 20.0)
        flood = {**usual, "a": 7 * usual["a"]}
        during = Replay(seed=seed).run(lambda now: flood, 20.0)
        for name in "bcd":
            self.assertGreaterEqual(
                during.served[name], 0.97 * alone.served[name], during.served
            )


class TestRetry(unittest.TestCase):
    @params(*itertools.product((2.0, 4.0, 8.0), (1, 2, 3)))
    def test_callers_that_return_as_told_are_served(self, times, seed):
        """Guards against callers that are told a time at which there is no room, and
        come back again and again."""

        def rates(now):
            return {"a": CAPACITY * (times if now < 3.0 else 0.6)}

        # Callers wait for a third of the time that they have left at most.
        replay = Replay(seed=seed, deadline=2 * DEADLINE).run(rates, 30.0)
        self.assertGreater(replay.returned, 20)
        self.assertGreaterEqual(replay.returned_served, 0.9 * replay.returned)

    def test_later_callers_are_told_later_times(self):
        """Guards against callers that all return at the same time."""
        forecast, order = WaitForecast(), FairOrder(lambda _: 1.0)
        entry = QueuedRequest(0, 0.0, 9.0, cost=0.5)
        limits = Limits(0.1, 0.2)
        told = []
        for _ in range(5):
            admission = forecast.admit(order, entry, limits, 2.0, 0.0)
            self.assertIs(admission.outlook, Outlook.NOT)
            told.append(forecast.retry_after(order, entry, 2.0, 0.0))
        self.assertEqual(told, sorted(set(told)))

    def test_nothing_is_promised_while_nothing_starts(self):
        forecast, order = WaitForecast(), FairOrder(lambda _: 1.0)
        entry = QueuedRequest(0, 0.0, 9.0, cost=0.5)
        admission = forecast.admit(order, entry, Limits(1.0, 9.0), 0.0, 0.0)
        self.assertIs(admission.outlook, Outlook.NOT)
        self.assertEqual(forecast.retry_after(order, entry, 0.0, 0.0), MAX_RETRY)


class TestAdmission(unittest.TestCase):
    @params(
        # requests waiting, seconds for in time and at all, outlook, extra rank
        (0, (1.0, 9.0), Outlook.IN_TIME, 0),
        (4, (1.0, 9.0), Outlook.LATE, DEMOTED_RANKS),
        (5, (1.0, 2.0), Outlook.NOT, DEMOTED_RANKS),
        (5, (-1.0, 9.0, True), Outlook.LATE, 0),
    )
    def test_outlook(self, waiting, limits, outlook, extra_rank):
        forecast, order = WaitForecast(), FairOrder(lambda _: 1.0)
        for number in range(waiting):
            order.add(QueuedRequest(0, float(number), 9.0, cost=0.5), 0.0)
        entry = QueuedRequest(0, 10.0, 19.0, cost=0.5)
        found = forecast.admit(order, entry, Limits(*limits), 2.0, 0.0)
        self.assertEqual((found.outlook, found.key.rank), (outlook, extra_rank))

    def test_silent_reports_fall_back_to_slots_and_duration(self):
        """Guards against a scheduler that refuses everything once load reports stop,
        since it sees no capacity become free."""
        forecast, order = WaitForecast(), FairOrder(lambda _: 1.0)
        entry = QueuedRequest(0, 0.0, 9.0, cost=0.5)
        forecast.note_started(entry, 2.0, 0.0, is_last=False)
        for step in range(100):
            forecast.note_full(2.0, step * 0.1)
        measured = forecast.start_rate(2.0, 10.0)
        forecast.forget_measurements()
        self.assertLess(measured, 0.3)
        self.assertAlmostEqual(forecast.start_rate(2.0, 10.0), 1.0)
        admission = forecast.admit(order, entry, Limits(1.0, 9.0), 2.0, 10.0)
        self.assertIs(admission.outlook, Outlook.IN_TIME)

    def test_idle_time_does_not_count_as_full(self):
        """Guards against refusals at the beginning of a peak, because the service seems
        to have started nothing since the last one."""
        forecast = WaitForecast()
        entry = QueuedRequest(0, 0.0, 9.0, cost=0.5)
        forecast.note_started(entry, 2.0, 0.0, is_last=False)
        forecast.note_full(2.0, 0.1)
        forecast.note_started(entry, 2.0, 60.0, is_last=True)
        self.assertGreaterEqual(forecast.start_rate(2.0, 60.0), 1.0)

    def test_less_urgent_request_is_refused_while_urgent_ones_take_all(self):
        """Guards against long requests that wait in vain behind a stream of urgent
        ones, although none of those is waiting."""
        forecast, order = WaitForecast(), FairOrder(lambda _: 1.0)
        urgent = QueuedRequest(0, 0.0, 9.0, cost=0.05)
        for step in range(200):
            forecast.note_started(urgent, 20.0, step * 0.05, is_last=False)
        found = [
            forecast.admit(
                order,
                QueuedRequest(rank, 10.0, 19.0, cost=0.05),
                Limits(1.0, 9.0),
                20.0,
                10.0,
            ).outlook
            for rank in (0, 2)
        ]
        self.assertEqual(found, [Outlook.IN_TIME, Outlook.NOT])

    def test_lost_targets_count_at_once(self):
        """Guards against requests that wait for targets which have just crashed."""
        forecast = WaitForecast()
        entry = QueuedRequest(0, 0.0, 9.0, cost=0.5)
        forecast.note_full(2.0, 0.0)
        for step in range(1, 40):
            forecast.note_started(entry, 2.0, step * 0.5, is_last=False)
        before = forecast.start_rate(2.0, 20.0)
        after = forecast.start_rate(1.5, 20.0)
        self.assertAlmostEqual(after, 0.75 * before, delta=0.08)


if __name__ == "__main__":
    unittest.main()
