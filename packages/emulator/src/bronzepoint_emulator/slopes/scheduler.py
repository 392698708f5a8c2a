"""``python -m bronzepoint_emulator.slopes.scheduler``: cost of a region's scheduler.

Entry hosts are simulated: they query a scheduler, run what it grants for a given time,
and report their loads. Time is simulated, too, so each run makes the same decisions;
their digest shows whether a change of the code has changed one. With ``--profile`` the
costs are printed by function.
"""

import argparse
import cProfile
import hashlib
import heapq
import itertools
import pstats
import random
import selectors
import time
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import curio
import msgspec
from msgspec import Struct

from bronzepoint_common import clock
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area
from bronzepoint_node.core import RegionScheduler
from bronzepoint_node.core._target_reader import Reading
from bronzepoint_node.fleet import (
    CallerLimits,
    EngineProperties,
    Registry,
    ServedCatalogue,
    ServedService,
)
from bronzepoint_node.placement._engine_load import EngineLoad, OwnRun
from bronzepoint_node.placement._tracked_target import EngineReport
from bronzepoint_schema.generated.fleet import TargetInfo
from bronzepoint_schema.generated.scheduling import NoTarget, TargetAsk, TargetGrant
from bronzepoint_schema.generated.target_loads import (
    FirstToken,
    Hold,
    LoadNotice,
    NoticeKind,
    PartUse,
    TargetLoad,
)

HOSTS = 28
TARGETS = 20
SLOTS = 48
MEMORY_TOKENS = 273_515
QUERIES = 400
"""Requests per second."""
OCCUPANCIES = (0.7, 1.3)
"""Slots that the requests would occupy, as a fraction of all slots."""
SECONDS = 10.0
"""Simulated seconds."""
REPORT_INTERVAL = 0.04
FULL_REPORT_INTERVAL = 1.0
QUEUE_TIME_MS = 400
"""Milliseconds for which a request may wait in the queue."""
READING_RATE = 40_800
"""Prompt tokens that a target reads per second."""


class Kind(Struct, frozen=True):
    """A kind of request; sizes in tokens, time in seconds."""

    shared: int
    own: int
    output: int
    seconds: float
    rank: int
    events: int


KINDS = (
    Kind(6300, 2890, 54, 0.5, 2, 9),
    *3 * (Kind(198, 628, 294, 2.5, 0, 49),),
)


class Row(Struct):
    """Processor time of the scheduler at one occupancy.

    Attributes:
        occupancy: Offered load as a fraction of all slots.
        processor_s: Processor seconds, without those of the simulated hosts.
        query_us: The same in microseconds per request.
        granted: Requests that got a target.
        refused: Requests that got none.
        decisions: Digest of all answers and their times.
    """

    occupancy: float
    processor_s: float
    query_us: float
    granted: int
    refused: int
    decisions: str


class SimulatedClock(selectors.DefaultSelector):
    """A clock that moves to the next timer whenever all tasks wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def monotonic(self) -> float:
        """Return the simulated time in seconds."""
        return self.now

    def select(self, timeout: float | None = None) -> list:
        """Advance the time instead of waiting."""
        self.now += max(0.0, timeout or 0.0)
        return []

    def install(self) -> None:
        """Use this clock for all timers of this process."""
        clock.time = SimpleNamespace(clock_gettime=lambda _: self.now)
        curio.kernel.time = SimpleNamespace(monotonic=self.monotonic)


class SimulatedHost:
    """An entry host, reduced to its queries and its load reports."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.loads: dict[str, EngineLoad] = {}
        self.parts: dict[str, dict[str, int]] = {}
        self.events: dict[str, list[float]] = {}
        self.settled: list[int] = []
        self.first_tokens: list[FirstToken] = []
        self.holds: list[Hold] = []
        self.full_at = 0.0

    def notice(self, now: float) -> LoadNotice:
        """Return the report that is due."""
        is_full = now - self.full_at >= FULL_REPORT_INTERVAL
        if is_full:
            self.full_at = now
        loads = [
            self._load(name, load, now)
            for name, load in self.loads.items()
            if load.changed or is_full
        ]
        notice = LoadNotice(
            NoticeKind.to_collect,
            loads,
            self.settled,
            self.first_tokens,
            self.holds,
            span_ms=40,
        )
        self.settled, self.first_tokens, self.holds = [], [], []
        return notice

    def _load(self, name: str, load: EngineLoad, now: float) -> TargetLoad:
        reported = load.notice(name, now)
        reported.parts = [PartUse(*p) for p in self.parts.pop(name, {}).items()]
        count, seconds = self.events.pop(name, (0, 0.0))
        reported.events, reported.event_ms = int(count), round(seconds * 1000)
        load.changed = False
        return reported


class SimulatedRegion:
    """The hosts of a region and its scheduler; serves as the scheduler's peers."""

    def __init__(self, occupancy: float, simulated: SimulatedClock) -> None:
        mean = sum(kind.seconds for kind in KINDS) / len(KINDS)
        self._stretch = occupancy * TARGETS * SLOTS / (QUERIES * mean)
        self._clock = simulated
        self._rng = random.Random(1)
        self._due: list[tuple[float, int, Callable[..., Any], tuple]] = []
        self._order = itertools.count()
        self._handlers: dict[Area, Any] = {}
        self._encoder = msgspec.msgpack.Encoder()
        self._hosts = {f"h{n}": SimulatedHost(f"h{n}") for n in range(HOSTS)}
        self._asked: dict[int, tuple[SimulatedHost, Kind, TargetAsk]] = {}
        self._running = dict.fromkeys([f"t{n}" for n in range(TARGETS)], 0)
        self._digest = hashlib.sha256()
        self.granted = self.refused = 0
        registry = Registry()
        engine = EngineProperties(SLOTS, MEMORY_TOKENS, event_tokens=6)
        service = ServedService("s", "/h", 100, engine=engine)
        catalogue = ServedCatalogue(1, (), {"s": service}, CallerLimits())
        listed = [
            TargetInfo(name, "s", "10.9.0.1:1", "z", SLOTS, False, 0)
            for name in self._running
        ]
        self.scheduler = RegionScheduler(
            "core",
            "r",
            {"z": "r"},
            self,
            registry,
            registry.merge_loads,
            lambda: Reading(listed, 0.0),
            lambda: (catalogue, frozenset()),
            self._read_report,
            Metrics(),
        )

    def register(self, area: Area, union: Any, handler: Any) -> None:
        """Record the scheduler's handler of an area."""
        self._handlers[area] = handler

    def post(self, peer: str, area: Area, message: Any) -> None:
        """Receive a message of the scheduler."""
        self._encoder.encode(message)
        host = self._hosts[peer]
        match message:
            case TargetGrant():
                self._log(message.number, message.incarnation, message.reason)
                self._at(0.001, self._begin, host, message)
            case NoTarget():
                self._log(message.number, "", str(message.late))
                self._at(0.001, self._turn_away, host, message)

    def _log(self, number: int, target: str, reason: str) -> None:
        line = f"{self._clock.now:.4f} {number} {target} {reason}\n"
        self._digest.update(line.encode())

    @property
    def decisions(self) -> str:
        """Digest of the answers so far."""
        return self._digest.hexdigest()[:12]

    def _at(self, delay: float, function: Callable[..., Any], *args: Any) -> None:
        due = (self._clock.now + delay, next(self._order), function, args)
        heapq.heappush(self._due, due)

    async def run(self) -> float:
        """Run the simulation; return the processor seconds of the hosts."""
        await self.scheduler.start()
        for number, host in enumerate(self._hosts.values()):
            self._at(REPORT_INTERVAL * number / HOSTS, self._report, host)
        self._at(0.2, self._arrive)
        end = self._clock.now + SECONDS
        spent = 0.0
        while self._clock.now < end:
            due, _, function, args = heapq.heappop(self._due)
            await curio.sleep(max(0.0, due - self._clock.now))
            began = time.process_time()
            message = function(*args)
            spent += time.process_time() - began
            if message is not None:
                peer, area, sent = message
                await self._handlers[area](peer, sent)
        await self.scheduler.close()
        return spent

    async def _read_report(self, address: str, name: str) -> EngineReport:
        return EngineReport(self._running[name], 0, 0, MEMORY_TOKENS)

    def _report(self, host: SimulatedHost) -> tuple[str, Area, LoadNotice]:
        self._at(REPORT_INTERVAL, self._report, host)
        return host.name, Area.TARGET_LOADS, host.notice(self._clock.now)

    def _arrive(self) -> tuple[str, Area, TargetAsk]:
        self._at(self._rng.expovariate(QUERIES), self._arrive)
        host = self._rng.choice(list(self._hosts.values()))
        kind = self._rng.choice(KINDS)
        number = next(self._order)
        group = self._rng.randrange(12)
        sizes = (kind.shared - 98, 98, kind.own)
        names = (f"system{kind.shared}", f"group{kind.shared}-{group}", f"own{number}")
        parts = [PartUse(*part) for part in zip(names, sizes, strict=True)]
        ask = TargetAsk(
            number=number,
            service="s",
            request_id=f"q{number}",
            parts=parts,
            tokens=sum(sizes),
            max_output=2 * kind.output,
            expected_output=kind.output,
            rank=kind.rank,
            left_ms=15_000,
            waited_ms=2,
            wait_ms=0,
            avoided=[],
        )
        self._asked[number] = (host, kind, ask)
        return host.name, Area.SCHEDULING, ask

    def _turn_away(
        self, host: SimulatedHost, answer: NoTarget
    ) -> tuple[str, Area, TargetAsk] | None:
        _, kind, ask = self._asked.pop(answer.number)
        if ask.wait_ms or answer.crowded or answer.late:
            self.refused += 1
            return None
        changes = {"number": next(self._order), "wait_ms": QUEUE_TIME_MS}
        again = msgspec.structs.replace(ask, **changes)
        self._asked[again.number] = (host, kind, again)
        return host.name, Area.SCHEDULING, again

    def _begin(self, host: SimulatedHost, grant: TargetGrant) -> None:
        _, kind, ask = self._asked.pop(grant.number)
        name = grant.incarnation
        self.granted += 1
        host.settled.append(grant.number)
        uncached = ask.tokens - grant.cached_tokens
        run = OwnRun(kind.own + kind.output, uncached, kind.rank, self._clock.now)
        load = host.loads.setdefault(name, EngineLoad())
        load.begin(ask.request_id, run)
        shared = {part.name: part.tokens for part in ask.parts[:-1]}
        host.parts.setdefault(name, {}).update(shared)
        self._running[name] += 1
        reading = 0.02 + (uncached + grant.tokens_before) / READING_RATE
        self._at(reading, self._read, host, name, ask.request_id, grant, reading)
        held = reading + kind.seconds * self._stretch
        self._at(held, self._end, host, name, ask.request_id, kind, held)

    def _read(
        self,
        host: SimulatedHost,
        name: str,
        request: str,
        grant: TargetGrant,
        reading: float,
    ) -> None:
        load = host.loads[name]
        load.note_started(request, self._clock.now)
        uncached = load.runs[request].uncached if request in load.runs else 0
        measured = FirstToken(name, uncached, int(reading * 1000), grant.tokens_before)
        host.first_tokens.append(measured)

    def _end(
        self, host: SimulatedHost, name: str, request: str, kind: Kind, held: float
    ) -> None:
        host.loads[name].end(request)
        self._running[name] -= 1
        events = host.events.setdefault(name, [0.0, 0.0])
        events[0] += kind.events
        events[1] += kind.seconds * self._stretch
        host.holds.append(Hold("s", int(held * 1000)))


def measure(occupancy: float, profile: cProfile.Profile | None = None) -> Row:
    """Measure the scheduler at one occupancy."""
    simulated = SimulatedClock()
    simulated.install()
    region = SimulatedRegion(occupancy, simulated)
    kernel = curio.Kernel(selector=simulated)
    kernel._max_select_timeout = None
    if profile is not None:
        profile.enable()
    began = time.process_time()
    hosts = kernel.run(region.run)
    spent = time.process_time() - began - hosts
    if profile is not None:
        profile.disable()
    kernel.run(shutdown=True)
    return Row(
        occupancy,
        round(spent, 2),
        round(spent / (QUERIES * SECONDS) * 1e6),
        region.granted,
        region.refused,
        region.decisions,
    )


def main() -> None:
    """Print one JSON line for each occupancy, or the profile."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--profile", action="store_true", help="print the costs")
    options = parser.parse_args()
    for occupancy in OCCUPANCIES:
        profile = cProfile.Profile() if options.profile else None
        print(msgspec.json.encode(measure(occupancy, profile)).decode(), flush=True)
        if profile is not None:
            pstats.Stats(profile).sort_stats("tottime").print_stats(45)


if __name__ == "__main__":
    main()
