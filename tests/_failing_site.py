"""A platform deployment whose targets fail most requests, and its callers."""

import itertools
import random
import signal
from bisect import bisect_left, bisect_right
from collections import Counter
from dataclasses import dataclass

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import HttpError
from tests._platform_site import PlatformSite
from tests._stand_in_target import StandInTarget

WINDOW = 10.0
"""Seconds over which retries are counted."""
RATIO = 0.2
"""Retries allowed per request."""
SLACK = 50.0
"""Additional retries allowed, for all hosts together."""
REGIONS = ("x", "y")
"""Regions of the entry hosts; all targets are in the first one."""


class FailingTarget(StandInTarget):
    """Stub target that fails a share of the requests and records all of them.

    Attributes:
        site: The deployment, which decides on the failures.
        arrivals: Monotonic time and id of each request that arrived.
    """

    def __init__(self, name, ip, port, site):
        super().__init__(name, ip, port)
        self.site = site
        self.arrivals = []

    async def _answer(self, exchange):
        request_id = exchange.request.headers.get("x-bronzepoint-request-id")
        if request_id is None:
            await super()._answer(exchange)
            return
        # A suspended process reads what lies in its sockets once it goes on.
        while self in self.site.suspended_targets:
            await curio.sleep(0.02)
        self.arrivals.append((monotonic(), request_id))
        self.script = [self.site.next_action(exchange.request.path)]
        await super()._answer(exchange)


class FailingSite(PlatformSite):
    """Three core hosts, entry hosts of two regions, and targets that fail.

    Args:
        sizes: Number of entry hosts of each region.
        cores: Number of core hosts.
        seed: Seed of the targets' failures.
        targets: Number of targets.

    Attributes:
        actions: What a target does with a request that it fails, one drawn for each.
        failing: Share of the requests that fail.
        suspended_targets: Targets that don't read their requests now.
        sent: Monotonic times at which callers sent requests.
        statuses: Number of answers by status.
    """

    def __init__(self, sizes=(3, 3), cores=3, seed=1, targets=4):
        self.cores = {f"core-{n}": ("core", f"127.0.0.{10 + n}") for n in range(cores)}
        self.entries = {
            f"entry-{region}-{n}": ("entry", f"127.0.0.{50 + 50 * number + n}")
            for number, region in enumerate(REGIONS[: len(sizes)])
            for n in range(sizes[number])
        }
        super().__init__(hosts={**self.cores, **self.entries}, targets=targets)
        self.bounds = f"retry_ratio = {RATIO}\nretry_slack = {SLACK}"
        self.regions = {name: name.split("-")[1] for name in self.entries}
        self.actions = ("full",)
        self.failing = 0.0
        self.suspended_targets = set()
        self.sent = []
        self.statuses = Counter()
        self._rng = random.Random(seed)
        self._numbers = itertools.count()

    def make_target(self, name, ip, port):
        return FailingTarget(name, ip, port, self)

    def next_action(self, path):
        """Return what a target does with the next request."""
        if self._rng.random() >= self.failing:
            return "serve"
        action = self._rng.choice(self.actions)
        return "reset" if action == "break" and "/stream/" not in path else action

    async def call_constantly(self, name, rate, paths=("/safe/a", "/stream/a")):
        """Send requests to a host until cancelled.

        Args:
            name: Name of the entry host.
            rate: Requests per second.
            paths: Paths of the requests, in turn.
        """
        due = monotonic()
        for path in itertools.cycle(paths):
            await curio.spawn(self._call, name, path, daemon=True)
            due += 1 / rate
            await curio.sleep(max(0.0, due - monotonic()))

    async def _call(self, name, path):
        number = next(self._numbers)
        self.sent.append(monotonic())
        headers = {
            "host": "h.example",
            "X-Bronzepoint-Request-Id": f"{name}-{number}",
            "X-Bronzepoint-Deadline-Ms": "4000",
        }
        address = f"{self.hosts[name][1]}:{self.front}"
        try:
            answer = await self.client.fetch(
                address, "POST", path, headers, b"%d" % number, 5.0
            )
        except HttpError as exc:
            self.statuses[type(exc).__name__] += 1
            return
        self.statuses[answer.status] += 1

    def kill(self, names):
        """Kill hosts at once, and wait until their processes have ended."""
        for name in names:
            self.signal(name, signal.SIGKILL)
        for name in names:
            self.processes[name].wait()

    def restart(self, names, first=False):
        """Kill hosts and start them again at once."""
        self.kill(names)
        for name in names:
            self.start(name, first=first)

    def budget_use(self):
        """Return how far the retries of all hosts come to their limit."""
        arrivals = sorted(a for t in self.targets for a in t.arrivals)
        seen = Counter()
        retries = []
        for at, request_id in arrivals:
            seen[request_id] += 1
            if seen[request_id] > 1:
                retries.append(at)
        return worst_use(retries, sorted(self.sent))


@dataclass(frozen=True)
class BudgetUse:
    """Retries in the window in which they come closest to their limit, or exceed it.

    Attributes:
        retries: Arrivals beyond the first of their request.
        allowed: The limit of the same window.
        ends_at: Monotonic time of the last retry in it.
    """

    retries: int
    allowed: float
    ends_at: float

    @property
    def share(self):
        """Share of the limit that is used; above 1: it is exceeded."""
        return self.retries / self.allowed


def worst_use(retries, sent):
    """Return the use of the budget in the worst window that ends at a retry.

    Args:
        retries: Sorted times of the arrivals beyond the first of their request.
        sent: Sorted times of the callers' requests.
    """
    found = BudgetUse(0, SLACK, 0.0)
    for end in retries:
        made = _count(retries, end - WINDOW, end)
        requests = max(
            _count(sent, end - WINDOW - shift, end - shift)
            for shift in (0, WINDOW / 2, WINDOW)
        )
        use = BudgetUse(made, RATIO * requests + SLACK, end)
        found = max(found, use, key=lambda each: each.share)
    return found


def _count(times, start, end):
    return bisect_right(times, end) - bisect_left(times, start)


__all__ = ["RATIO", "SLACK", "WINDOW", "BudgetUse", "FailingSite", "worst_use"]
