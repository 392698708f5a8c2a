"""Simulation of entry hosts and quota counters, with network partitions and crashes."""

import heapq
import itertools
import random
from collections import defaultdict, deque

from bronzepoint_node.fleet import Organisation
from bronzepoint_node.quota import Charge, HostQuotas, Ledger
from bronzepoint_node.quota._quota_counter import FULL_SUMS_INTERVAL, HEARTBEAT_INTERVAL
from bronzepoint_node.quota._quotas import AVOID_TIME, REPLY_TIMEOUT, REPORT_INTERVAL

STEP = 0.02
"""Seconds of simulated time per step."""
LOCAL_DELAY, REMOTE_DELAY = 0.001, 0.08
"""Seconds that a message takes inside a region, and to another one."""


class Counter:
    """A core host with a quota counter."""

    def __init__(self, net, name, region):
        self.net, self.name, self.region = net, name, region
        self.start()

    def start(self):
        self.alive = True
        self.ledger = Ledger(self.net.tolerance, self.net.names, self.net.now)
        self.ledger.set_quotas(self.net.quotas(), self.net.now)
        self.number = next(self.net.numbers)
        self.sent_at = self.sent_all_at = -1.0

    def send_sums(self, now):
        self.ledger.update_reachability(now)
        whole = (
            self.ledger.full_sums_due or now - self.sent_all_at >= FULL_SUMS_INTERVAL
        )
        sums = self.ledger.sums(self.number, whole, now)
        if not sums.uses and now - self.sent_at < HEARTBEAT_INTERVAL:
            return
        self.sent_at = now
        self.sent_all_at = now if whole else self.sent_all_at
        for other in self.net.counters:
            if other is not self:
                self.net.post(
                    self, other, lambda o=other: o.merge_sums(self.name, sums)
                )

    def merge_sums(self, name, sums):
        self.ledger.merge_sums(name, sums, self.net.now)

    def answer(self, host, report):
        reply = self.ledger.answer(host.name, report, self.net.now)
        self.net.post(self, host, lambda: host.receive_reply(reply, report))


class Host:
    """An entry host."""

    def __init__(self, net, name, region):
        self.net, self.name, self.region = net, name, region
        self.avoided_until = {}
        self.next_report = net.rng.random() * REPORT_INTERVAL
        self.start()

    def start(self):
        self.alive = True
        self.quotas = HostQuotas(self.region, self.net.rng, self.net.now)
        self.pending_report = None

    def step(self, now):
        if self.pending_report is not None:
            counter, at, _ = self.pending_report
            if now - at > REPLY_TIMEOUT:
                self.avoided_until[counter.name] = now + AVOID_TIME
                self.pending_report = None
        if self.pending_report is not None or now < self.next_report:
            return
        self.next_report = now + REPORT_INTERVAL
        report = self.quotas.report(now)
        if report is None:
            return
        counter = self._choose_counter(now)
        self.pending_report = (counter, now, report.number)
        self.net.post(self, counter, lambda: counter.answer(self, report))

    def _choose_counter(self, now):
        candidates = [
            c for c in self.net.counters if now >= self.avoided_until.get(c.name, 0.0)
        ]
        near = [c for c in candidates if c.region == self.region]
        return (near or candidates or self.net.counters)[0]

    def receive_reply(self, reply, report):
        if self.pending_report is not None and self.pending_report[2] == report.number:
            self.quotas.apply_reply(reply, self.pending_report[1])
            self.pending_report = None


class QuotaNet:
    """Regions of entry hosts and counters; requests may go to any entry host.

    Attributes:
        ran: Time and units of the admitted requests, by organisation.
        refused: Units refused, by organisation.
    """

    def __init__(self, organisations, tolerance, regions=3, hosts=6, seed=1):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.tolerance = tolerance
        self.organisations = {o.name: o for o in organisations}
        self.numbers = itertools.count(1)
        self.in_flight = []
        self.isolated = set()
        self.ran = defaultdict(list)
        self.refused = defaultdict(int)
        self.names = [f"r{n}" for n in range(regions)]
        self.counters = [
            Counter(self, f"{region}-c{n}", region)
            for region in self.names
            for n in range(2)
        ]
        self.hosts = [
            Host(self, f"{region}-{n}", region)
            for region in self.names
            for n in range(hosts)
        ]

    def quotas(self):
        return {name: o.quota for name, o in self.organisations.items()}

    def set_quota(self, name, quota):
        self.organisations[name] = Organisation(name, quota=quota)
        for counter in self.counters:
            counter.ledger.set_quotas(self.quotas(), self.now)

    def cut(self, *regions):
        """Isolate regions from all others and from each other; none given: heal all."""
        self.isolated = set(regions)

    def _reaches(self, one, other):
        if one.region == other.region:
            return True
        return not {one.region, other.region} & self.isolated

    def post(self, sender, receiver, deliver):
        delay = LOCAL_DELAY if sender.region == receiver.region else REMOTE_DELAY
        item = (self.now + delay, next(self.numbers), sender, receiver, deliver)
        heapq.heappush(self.in_flight, item)

    def send_request(self, host, name, tokens):
        """Send a request to a host; True: admitted, None: the host is not running."""
        if not host.alive:
            return None
        organisation = self.organisations[name]
        live_hosts = sum(host.alive for host in self.hosts)
        result = host.quotas.take(organisation, tokens, live_hosts, self.now)
        if isinstance(result, Charge):
            self.ran[name].append((self.now, result.cost))
            return True
        self.refused[name] += tokens
        return False

    def run(self, seconds, load=lambda now: ()):
        """Advance the time by ``seconds``.

        Args:
            seconds: Simulated seconds.
            load: Called with the time; returns the host, organisation and tokens of
                each request to send.
        """
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            while self.in_flight and self.in_flight[0][0] <= self.now:
                _, _, sender, receiver, deliver = heapq.heappop(self.in_flight)
                if receiver.alive and sender.alive and self._reaches(sender, receiver):
                    deliver()
            for host, name, tokens in load(self.now):
                self.send_request(host, name, tokens)
            for host in self.hosts:
                if host.alive:
                    host.step(self.now)
            for counter in self.counters:
                if counter.alive and self.rng.random() < STEP / REPORT_INTERVAL:
                    counter.send_sums(self.now)

    def most_in_window(self, name):
        """Return the maximum units admitted in any window of the tolerance."""
        window, total, maximum = deque(), 0, 0
        for at, cost in self.ran[name]:
            window.append((at, cost))
            total += cost
            while at - window[0][0] > self.tolerance.window:
                total -= window.popleft()[1]
            maximum = max(maximum, total)
        return maximum

    def bound(self, quota):
        """Return the maximum units that quota and tolerance allow in one window."""
        within = quota.rate * self.tolerance.window + quota.burst
        return within + self.tolerance.units(quota)
