"""The measured host of the limits' slopes, run as a separate process.

``python -m bronzepoint_emulator.slopes._limits_host PLAN``: charges requests to the
organisations of the JSON file PLAN and prints the cost of their limits.
"""

import os
import random
import sys
import time
from collections import deque
from pathlib import Path

import curio
import msgspec
from msgspec import Struct

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Peers
from bronzepoint_emulator.slopes._membership_plan import (
    ENTRY,
    MEASURED_REGION,
    MembershipPlan,
    difference,
)
from bronzepoint_emulator.slopes._meter import resident_memory
from bronzepoint_node.policy import Limits, Refused, RegionHosts, RequestView
from bronzepoint_node.policy._limits import LimitTicket
from bronzepoint_schema.generated import catalogue
from bronzepoint_schema.generated.catalogue import ClassItem, EntryClass, OwnerItem
from bronzepoint_schema.generated.settings import PolicySection
from bronzepoint_schema.ids import EntryName, HostName, OwnerName, RegionName, RequestId

OWNERS = 3000
"""Organisations with limits in the catalogue, active or not."""
LIMIT_RATE = 10.0
"""Requests per second that a region admits for one organisation."""
LIMIT_TIME = 6
"""Limit of requests in progress, as seconds of requests at that rate."""
LIMIT_TOKENS = 2000.0
"""Token limit, as tokens per request at that rate."""
RATE = 22.0
"""Requests per second that each host charges."""
TICK = 0.05
"""Seconds between bursts of requests."""
IN_PROGRESS_TIME = 1.0
"""Seconds from the start of a request to its end."""
MAX_TOKENS = 256
"""Tokens that a request reserves."""
USED_TOKENS = 200
"""Tokens that a request uses."""
_MEGABYTE = 1_000_000
_REFUSALS = ("rate_limited", "tokens_limited", "in_progress_limited")


class LimitsPlan(MembershipPlan):
    """One measurement.

    Attributes:
        active: Number of organisations that send requests; if 0, all requests are of
            an organisation without limits.
        limit: Requests per second that an organisation may send.
    """

    warm_up: float = 5.0
    seconds: float = 10.0
    active: int = 0
    limit: float = LIMIT_RATE


class LimitsFigures(Struct):
    """Resource use of one host; rates are per second.

    Attributes:
        messages: Control messages sent and received.
        sent_bytes: Bytes of frames sent.
        received_bytes: Bytes of frames received.
        processor_ms: Processor time (ms), including the charging of requests.
        memory_mb: Resident memory at the end, in millions of bytes.
        requests: Requests charged.
        refused: Requests refused, by kind of limit.
        unanswered: Reports without an answer in time.
        kept: Limits tracked at the end for the host's own requests.
        held: Limits divided at the end as their holder.
    """

    messages: float
    sent_bytes: float
    received_bytes: float
    processor_ms: float
    memory_mb: float
    requests: float
    refused: dict[str, float]
    unanswered: float
    kept: int
    held: int


class OwnerValues:
    """A catalogue of organisations with equal limits and no other limits.

    Args:
        plan: Plan that gives the limits.
    """

    def __init__(self, plan: LimitsPlan) -> None:
        bounds = catalogue.Limits(
            plan.limit, round(plan.limit * LIMIT_TIME), plan.limit * LIMIT_TOKENS
        )
        names = [owner_name(number) for number in range(OWNERS)]
        self._owners = {name: OwnerItem(name, limits=bounds) for name in names}

    def entry(self, name: EntryName) -> None:
        """Return None: no entry has limits."""

    def owner(self, name: OwnerName) -> OwnerItem | None:
        """Return an organisation."""
        return self._owners.get(name)

    def class_item(self, cls: EntryClass) -> ClassItem | None:
        """Return None: no class has limits."""
        return None


class LoadedHost:
    """The limits of one host and a generator of requests charged to them.

    Args:
        plan: The measurement.
        name: Name of the host.
        peers: Links of the host.
        values: The catalogue.
        metrics: Counters of its limits.
    """

    def __init__(
        self,
        plan: LimitsPlan,
        name: HostName,
        peers: Peers,
        values: OwnerValues,
        metrics: Metrics,
    ) -> None:
        policy = PolicySection()
        names = [HostName(host) for host in plan.hosts]
        hosts = RegionHosts(names, names)
        self.requests = 0
        self.limits = Limits(
            name,
            peers,
            values,
            lambda: hosts,
            policy.limits_period,
            policy.limit_holders,
            metrics,
        )
        self._active = plan.active
        self._rng = random.Random(name)
        self._open: deque[tuple[float, LimitTicket]] = deque()
        self._task: curio.Task | None = None

    async def start(self) -> None:
        """Start reporting and charging, after a random delay."""
        self._task = await curio.spawn(self._charge_periodically)

    async def close(self) -> None:
        """Stop charging and reporting."""
        if self._task is not None:
            await self._task.cancel()
        await self.limits.close()

    async def _charge_periodically(self) -> None:
        await curio.sleep(self._rng.random())
        await self.limits.start()
        began = time.monotonic()
        while True:
            await curio.sleep(TICK)
            self._end_due()
            while self.requests < RATE * (time.monotonic() - began):
                await self._charge()

    async def _charge(self) -> None:
        self.requests += 1
        number = self._rng.randrange(self._active) if self._active else OWNERS
        request = RequestView(
            RequestId(str(self.requests)),
            ENTRY,
            owner_name(number),
            RegionName(MEASURED_REGION),
            max_tokens=MAX_TOKENS,
        )
        answer = await self.limits.acquire(request)
        if not isinstance(answer, Refused):
            self._open.append((time.monotonic() + IN_PROGRESS_TIME, answer))

    def _end_due(self) -> None:
        now = time.monotonic()
        while self._open and self._open[0][0] <= now:
            self.limits.release(self._open.popleft()[1], USED_TOKENS)


def owner_name(number: int) -> OwnerName:
    """Return the name of one organisation."""
    return OwnerName(f"owner-{number}")


async def measure(plan: LimitsPlan) -> LimitsFigures:
    """Run the measured host and return its resource use."""
    name, metrics = HostName(plan.measured), Metrics()
    peers = Peers(name, plan.hosts[name], plan.key(), metrics)
    for other, address in plan.hosts.items():
        peers.set_address(HostName(other), address)
    host = LoadedHost(plan, name, peers, OwnerValues(plan), metrics)
    await peers.start()
    await host.start()
    await curio.sleep(plan.warm_up)
    figures = await count(plan, host, metrics)
    await host.close()
    await peers.close()
    return figures


async def count(plan: LimitsPlan, host: LoadedHost, metrics: Metrics) -> LimitsFigures:
    """Measure for the duration of the plan."""
    before, requests = metrics.counters(), host.requests
    started, processor = time.monotonic(), time.process_time()
    await curio.sleep(plan.seconds)
    seconds = time.monotonic() - started
    processor = time.process_time() - processor
    after = metrics.counters()

    def rate(*counters: str) -> float:
        grown = sum(difference(after, before, counter) for counter in counters)
        return round(grown / seconds, 2)

    return LimitsFigures(
        messages=rate("peers.sent", "peers.received"),
        sent_bytes=rate("peers.sent_bytes"),
        received_bytes=rate("peers.received_bytes"),
        processor_ms=round(1000 * processor / seconds, 3),
        memory_mb=round(resident_memory(os.getpid()) / _MEGABYTE, 2),
        requests=round((host.requests - requests) / seconds, 2),
        refused={kind: rate(f"limits.{kind}.owner") for kind in _REFUSALS},
        unanswered=rate("limits.holder_unreachable"),
        kept=host.limits.size(),
        held=len(host.limits._held),
    )


def main() -> None:
    """Print the figures as one JSON line."""
    plan = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=LimitsPlan)
    print(msgspec.json.encode(curio.run(measure, plan)).decode())


if __name__ == "__main__":
    main()
