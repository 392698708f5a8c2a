"""Replay of the same arrivals on hosts that choose by load information of some age."""

import heapq
import itertools
import math
from collections import deque
from random import Random

from bronzepoint_node.policy._service_times import ServiceTimes
from bronzepoint_node.policy._spread_choice import EvenSequence
from tests._policy_fakes import request, target

HOLD = 2.5
"""Mean seconds for which a request occupies a slot of a target of speed 1."""
WARM_UP = 8.0
"""Seconds at the beginning that are not measured."""
RECHECK = 0.05
"""Seconds after which a request that found no target is placed again."""
SNAPSHOT_INTERVAL = 0.05
"""Seconds between two states of the region that hosts may be informed of."""

EQUAL = ((48, 1.0),) * 12
"""Slots and speed of each target."""
UNEQUAL = ((48, 1.0),) * 6 + ((48, 2.0),) * 3 + ((16, 1.0),) * 3


class KnownTimes(ServiceTimes):
    """Durations of a service whose targets' speeds are known.

    Attributes:
        known: How many times longer each target takes than the fastest one.
    """

    known: dict = {}

    def slowness(self, target, now):
        return self.known[target]


class Draws:
    """Random draws of one host."""

    def __init__(self, seed):
        self.rng = Random(seed)
        self.sequence = EvenSequence(self.rng)


class Replay:
    """One region of targets that serve the requests of several hosts.

    Attributes:
        waits: Seconds from arrival to start of each request.
        idle_wait: Seconds in which a slot was idle while a request waited.
        peak: Average over time of the largest load per slot, relative to the mean.
    """

    def __init__(self, choose, hosts, age, targets, seconds=16.0, load=0.8, seed=1):
        self.seed = seed
        self.draws = [Draws(f"{seed} {host}") for host in range(hosts)]
        self.choose, self.hosts, self.age, self.targets = choose, hosts, age, targets
        self.names = [f"t{number}" for number in range(len(targets))]
        self.slots = [slots for slots, _ in targets]
        self.own = [[0] * len(targets) for _ in range(hosts)]
        self.total = [0] * len(targets)
        self.queues = [deque() for _ in targets]
        self.snapshots = deque([(0.0, list(self.total), self._copy_own())])
        self.times = KnownTimes(hold=HOLD * sum(self.slots) / self._speed())
        fastest = max(speed for _, speed in targets)
        for name, (_, speed) in zip(self.names, targets, strict=True):
            self.times.known[name] = fastest / speed
        self.unplaced = 0
        self.waits, self.idle_wait, self.peak = [], 0.0, 0.0
        self.order = itertools.count()
        self.events = []
        self._run(seconds, load * self._speed() / HOLD)

    def _speed(self):
        return sum(slots * speed for slots, speed in self.targets)

    def _copy_own(self):
        return [list(counts) for counts in self.own]

    def _push(self, at, *event):
        heapq.heappush(self.events, (at, next(self.order), event))

    def _run(self, seconds, rate):
        arrivals, at = Random(f"arrivals {self.seed}"), 0.0
        while at < seconds:
            at += arrivals.expovariate(rate)
            host = arrivals.randrange(self.hosts)
            work = arrivals.gammavariate(2, HOLD / 2)
            self._push(at, self._place, host, work, at)
        for number in range(int(seconds / SNAPSHOT_INTERVAL)):
            self._push(number * SNAPSHOT_INTERVAL, self._snapshot)
        before = 0.0
        while self.events:
            now, _, (handle, *arguments) = heapq.heappop(self.events)
            if WARM_UP < now < seconds:
                self._measure(now - max(before, WARM_UP))
            before = now
            handle(now, *arguments)
        self.peak /= seconds - WARM_UP

    def _measure(self, elapsed):
        loads = [
            total / slots for total, slots in zip(self.total, self.slots, strict=True)
        ]
        is_waiting = self.unplaced or any(self.queues)
        if is_waiting and min(loads) < 1:
            self.idle_wait += elapsed
        mean = sum(self.total) / sum(self.slots)
        self.peak += elapsed * (max(loads) / mean if mean else 1.0)

    def _snapshot(self, now):
        self.snapshots.append((now, list(self.total), self._copy_own()))
        while len(self.snapshots) > 1 and self.snapshots[1][0] <= now - self.age:
            self.snapshots.popleft()

    def informed(self, host, now):
        """Return the views of one host."""
        _, total, own = self.snapshots[0]
        if not self.age:
            total, own = self.total, self.own
        return [
            target(
                name,
                slots=self.slots[number],
                in_flight=self.own[host][number],
                in_flight_at_report=own[host][number],
                running=total[number],
                report_age=self.age,
            )
            for number, name in enumerate(self.names)
        ]

    def _place(self, now, host, work, arrived, is_again=False):
        self.unplaced -= is_again
        views = self.informed(host, now)
        chosen = self.choose(
            REQUEST, views, self.times, self.hosts, self.draws[host], now
        )
        if chosen.target is None:
            self.unplaced += 1
            self._push(now + RECHECK, self._place, host, work, arrived, True)
            return
        number = self.names.index(chosen.target.name)
        self.own[host][number] += 1
        self.total[number] += 1
        self.queues[number].append((host, work, arrived))
        self._start(now, number)

    def _start(self, now, number):
        queue, (slots, speed) = self.queues[number], self.targets[number]
        if not queue or self.total[number] - len(queue) >= slots:
            return
        host, work, arrived = queue.popleft()
        if arrived > WARM_UP:
            self.waits.append(now - arrived)
        self._push(now + work / speed, self._end, host, number)

    def _end(self, now, host, number):
        self.own[host][number] -= 1
        self.total[number] -= 1
        self._start(now, number)

    def p99(self):
        """Return the waiting time that 99 of 100 requests stay under."""
        return sorted(self.waits)[math.ceil(0.99 * len(self.waits)) - 1]


REQUEST = request(latency_weight=1.0, cost_weight=0.0)

__all__ = ["EQUAL", "Draws", "HOLD", "UNEQUAL", "Replay"]
