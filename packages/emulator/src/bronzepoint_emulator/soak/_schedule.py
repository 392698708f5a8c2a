"""Random schedules of faults, reproducible from a seed."""

import random
from enum import StrEnum

from msgspec import Struct

from bronzepoint_emulator.deployment import Layout

MEAN_INTERVAL = 1.2
"""Mean time between the starts of faults in seconds."""
MIN_DURATION, MAX_DURATION = 1.0, 6.0
"""Range of a fault's duration in seconds; the upper bound spans several leases."""
MIN_WIPE_INTERVAL = 45.0
"""Minimum seconds between two wiped disks, so that the first is repaired by then."""


class FaultKind(StrEnum):
    """Kind of a fault."""

    kill = "kill"
    freeze = "freeze"
    terminate = "terminate"
    wipe = "wipe"
    cut_pair = "cut_pair"
    cut_one_way = "cut_one_way"
    isolate_host = "isolate_host"
    isolate_region = "isolate_region"
    target_slow = "target_slow"
    target_refuses = "target_refuses"
    target_cuts = "target_cuts"
    target_crosses = "target_crosses"


PROCESS_FAULTS = (
    FaultKind.kill,
    FaultKind.freeze,
    FaultKind.terminate,
    FaultKind.wipe,
)
TARGET_FAULTS = (
    FaultKind.target_slow,
    FaultKind.target_refuses,
    FaultKind.target_cuts,
    FaultKind.target_crosses,
)


class Fault(Struct, frozen=True):
    """One fault, with its start and end in seconds after the start of the run."""

    at: float
    until: float
    kind: FaultKind
    subject: str
    other: str = ""

    def __str__(self) -> str:
        named = f"{self.kind} {self.subject}"
        return f"{named} {self.other}" if self.other else named


def draw_schedule(layout: Layout, seconds: float, seed: int) -> list[Fault]:
    """Draw a random schedule of faults.

    Faults may overlap, with two exceptions. A process that is down or suspended gets no
    other process fault until it is back. A disk is wiped only after the last wiped one
    could be repaired: losing two of the three disks that hold a change exceeds what a
    majority protocol tolerates.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    busy_until: dict[str, float] = {}
    next_wipe = 0.0
    at = rng.expovariate(1 / MEAN_INTERVAL)
    while at < seconds:
        until = at + rng.uniform(MIN_DURATION, MAX_DURATION)
        kind = rng.choice(list(FaultKind))
        fault = _draw(rng, layout, kind, at, until)
        at += rng.expovariate(1 / MEAN_INTERVAL)
        if kind in PROCESS_FAULTS and busy_until.get(fault.subject, 0.0) > fault.at:
            continue
        if kind is FaultKind.wipe and fault.at < next_wipe:
            continue
        if kind in PROCESS_FAULTS:
            busy_until[fault.subject] = until
        if kind is FaultKind.wipe:
            next_wipe = until + MIN_WIPE_INTERVAL
        faults.append(fault)
    return faults


def _draw(
    rng: random.Random, layout: Layout, kind: FaultKind, at: float, until: float
) -> Fault:
    hosts = [host.name for host in layout.hosts]
    match kind:
        case FaultKind.wipe:
            subject, other = rng.choice([h.name for h in layout.voters()]), ""
        case FaultKind.cut_pair | FaultKind.cut_one_way:
            subject, other = rng.sample(hosts, 2)
        case FaultKind.isolate_region:
            subject, other = rng.choice(layout.regions), ""
        case _ if kind in TARGET_FAULTS:
            targets = [*layout.engines, *layout.services]
            subject, other = rng.choice(targets).name, ""
        case _:
            subject, other = rng.choice(hosts), ""
    return Fault(at, until, kind, subject, other)
