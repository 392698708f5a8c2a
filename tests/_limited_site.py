"""A platform deployment whose targets name request limits, and its callers."""

import itertools
import math

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import HttpError
from tests._platform_site import PlatformSite
from tests._stand_in_target import StandInTarget

SETTLE_TIME = 6.0
"""Seconds after a limit was first named from which it must be kept."""
WINDOW = 4.0
"""Seconds over which requests are counted."""
EXCESS = 1.5
"""Multiple of the limit that is tolerated in a window."""
SLACK = 5
"""Requests that are tolerated in addition."""


class LimitedTarget(StandInTarget):
    """Stub target that can name a request limit in its answers.

    Attributes:
        limit: Requests per second; None: none is named.
        named_at: Monotonic time at which a limit was first named; infinite: never.
        arrivals: Monotonic times of all requests.
    """

    def __init__(self, name, ip, port):
        super().__init__(name, ip, port)
        self.limit = None
        self.named_at = math.inf
        self.arrivals = []

    async def _answer(self, exchange):
        if "x-bronzepoint-request-id" in exchange.request.headers:
            self.arrivals.append(monotonic())
        if self.limit is None:
            await super()._answer(exchange)
            return
        self.named_at = min(self.named_at, monotonic())
        await super()._answer(_LimitNaming(exchange, self.limit))

    def most_in_window(self):
        """Return the most requests in a window after the limit had to be kept."""
        times = [at for at in self.arrivals if at >= self.named_at + SETTLE_TIME]
        return max(
            (sum(start <= at < start + WINDOW for at in times) for start in times),
            default=0,
        )


class _LimitNaming:
    """An exchange that adds a request limit to the answer's headers."""

    def __init__(self, exchange, limit):
        self._exchange = exchange
        self._limit = {"Server-Limit": str(limit)}

    def __getattr__(self, name):
        return getattr(self._exchange, name)

    async def respond(self, status, headers, body=b""):
        await self._exchange.respond(status, {**headers, **self._limit}, body)

    async def start_stream(self, status, headers):
        await self._exchange.start_stream(status, {**headers, **self._limit})


class LimitedSite(PlatformSite):
    """Entry hosts of one region before three targets, and their callers.

    Args:
        entries: Number of entry hosts.

    Attributes:
        statuses: Status of each answer with the monotonic time of its request.
    """

    def __init__(self, entries):
        self.entries = {
            f"entry-{n}": ("entry", f"127.0.0.{20 + n}") for n in range(entries)
        }
        super().__init__(
            hosts={"core": ("core", "127.0.0.2"), **self.entries}, targets=3
        )
        self.statuses = []

    def make_target(self, name, ip, port):
        return LimitedTarget(name, ip, port)

    async def call_constantly(self, path, rate):
        """Send requests to all hosts in turn until cancelled.

        Args:
            path: Path of all requests.
            rate: Requests per second.
        """
        for number, name in zip(itertools.count(), itertools.cycle(self.entries)):
            await curio.spawn(self._call, name, path, number, daemon=True)
            await curio.sleep(1 / rate)

    async def _call(self, name, path, number):
        headers = {
            "X-Bronzepoint-Request-Id": f"id-{number}",
            "X-Bronzepoint-Deadline-Ms": "4000",
        }
        address = f"{self.entries[name][1]}:{self.front}"
        sent_at = monotonic()
        try:
            answer = await self.call("POST", path, b"", address, headers)
        except HttpError:
            return
        self.statuses.append((sent_at, answer.status))


def allowed(limit):
    """Return the most requests that a limited target may get in a window."""
    return EXCESS * limit * WINDOW + SLACK


__all__ = ["SETTLE_TIME", "WINDOW", "LimitedSite", "LimitedTarget", "allowed"]
