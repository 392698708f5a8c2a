"""A platform deployment whose targets ask hosts for rest, or say that they leave."""

import itertools
from dataclasses import dataclass, field

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.http import HttpError
from tests._crashing_site import CORES
from tests._platform_site import PlatformSite
from tests._stand_in_target import StandInTarget

REST_SLACK = 0.5
"""Seconds after an answer that asks for rest in which requests may still arrive."""
MAX_ARRIVALS_IN_REST = 2
"""Maximum number of requests from one host in one rest, after ``REST_SLACK``."""
DRAIN = 5.0
"""Seconds after a host has passed on that a target leaves until it sends none there."""
REQUEST_INTERVAL = 0.025
"""Seconds between two requests."""


class RestingTarget(StandInTarget):
    """Stub target that may turn hosts away for a while, or say that it leaves.

    Attributes:
        rest: Value of ``Retry-After`` with which it turns all requests away; empty: it
            serves them.
        leaving: Whether all its answers say that it leaves.
        arrivals: Time and host of each request.
        turned_away: Time and host of each answer that asks for rest.
    """

    def __init__(self, name, ip, port):
        super().__init__(name, ip, port)
        self.rest = ""
        self.leaving = False
        self.arrivals = []
        self.turned_away = []

    async def _answer(self, exchange):
        request_id = exchange.request.headers.get("x-bronzepoint-request-id", "")
        host = request_id.partition("/")[0]
        self.arrivals.append((monotonic(), host))
        headers = {
            "X-Bronzepoint-Request-Id": request_id,
            "X-Bronzepoint-Response-Seal": self.name,
        }
        await exchange.body()
        if self.rest:
            headers |= {"X-Bronzepoint-Not-Executed": "1", "Retry-After": self.rest}
            await exchange.respond(503, headers)
            self.turned_away.append((monotonic(), host))
            return
        if self.leaving:
            headers["Server-Leaving"] = "1"
        if exchange.request.path.startswith("/stream/"):
            await self._stream(exchange, headers, 5)
        else:
            await exchange.respond(200, headers, b"ok")

    def most_arrivals_in_rest(self, seconds):
        """Return the most requests of one host within one rest of these seconds."""
        return max(
            (
                sum(
                    host == asked and at + REST_SLACK < arrived <= at + seconds
                    for arrived, host in self.arrivals
                )
                for at, asked in self.turned_away
            ),
            default=0,
        )


class RestingSite(PlatformSite):
    """Host processes with targets that may ask for rest.

    Args:
        entry_count: Number of entry hosts.
        targets: Number of targets.
    """

    def __init__(self, entry_count=3, targets=3):
        entries = {
            f"entry-{n}": ("entry", f"127.0.0.{20 + n}")
            for n in range(1, entry_count + 1)
        }
        super().__init__(targets=targets, hosts={**CORES, **entries})

    def make_target(self, name, ip, port):
        return RestingTarget(name, ip, port)

    def entries(self):
        """Return the address at which each entry host accepts requests, by name."""
        return {
            name: f"{ip}:{self.front}"
            for name, (role, ip) in self.hosts.items()
            if role == "entry"
        }


@dataclass
class RestingCallers:
    """Callers of all hosts in turn.

    Attributes:
        site: The deployment.
        path: Path of all requests.
        answers: Time at which each request was sent, and its answer or error.
    """

    site: RestingSite
    path: str
    answers: list = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)

    async def run(self, seconds):
        """Send requests to all hosts in turn."""
        end = monotonic() + seconds
        for name, address in itertools.cycle(self.site.entries().items()):
            if monotonic() > end:
                break
            await curio.spawn(self.ask, name, address, daemon=True)
            await curio.sleep(REQUEST_INTERVAL)
        await curio.sleep(0.5)

    async def ask(self, name, address):
        """Send a request whose id names its host; return the answer."""
        began = monotonic()
        headers = {
            "X-Bronzepoint-Request-Id": f"{name}/{next(self._numbers)}",
            "X-Bronzepoint-Deadline-Ms": "4000",
        }
        try:
            answer = await self.site.call(
                "POST", self.path, b"body", address, headers, wait=4.0
            )
        except HttpError as exc:
            answer = type(exc).__name__
        self.answers.append((began, answer))
        return answer

    def success_rate(self, since=0.0):
        """Return the share of requests sent after ``since`` that were answered."""
        found = [
            getattr(answer, "status", 0) == 200
            for began, answer in self.answers
            if began > since
        ]
        return sum(found) / max(1, len(found))
