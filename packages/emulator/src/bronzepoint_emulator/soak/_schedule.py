"""Faults drawn from a seed: the same seed gives the same schedule."""

import random
from enum import StrEnum

from msgspec import Struct

from bronzepoint_emulator.deployment import Layout

MEAN_GAP = 1.2
"""Seconds between the beginnings of two faults, on average."""
SHORTEST, LONGEST = 1.0, 6.0
"""Seconds that a fault lasts; the longest is several leases."""
WIPE_EVERY = 45.0
"""Seconds between two wiped disks: the first must have been repaired."""


class FaultKind(StrEnum):
    """What is broken."""

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
    """One fault, from a moment until another, in seconds after the start."""

    at: float
    until: float
    kind: FaultKind
    subject: str
    other: str = ""

    def __str__(self) -> str:
        named = f"{self.kind} {self.subject}"
        return f"{named} {self.other}" if self.other else named


def draw_schedule(layout: Layout, seconds: float, seed: int) -> list[Fault]:
    """Draw the faults of a run.

    They overlap as they come, but for two rules: a process that is down or frozen is
    not hit again before it is back, and a second disk is wiped only after the first
    could have been repaired. Two lost disks of three that hold a change is more than
    any agreement stands.
    """
    rng = random.Random(seed)
    faults: list[Fault] = []
    busy: dict[str, float] = {}
    next_wipe = 0.0
    at = rng.expovariate(1 / MEAN_GAP)
    while at < seconds:
        until = at + rng.uniform(SHORTEST, LONGEST)
        kind = rng.choice(list(FaultKind))
        fault = _draw(rng, layout, kind, at, until)
        at += rng.expovariate(1 / MEAN_GAP)
        if kind in PROCESS_FAULTS and busy.get(fault.subject, 0.0) > fault.at:
            continue
        if kind is FaultKind.wipe and fault.at < next_wipe:
            continue
        if kind in PROCESS_FAULTS:
            busy[fault.subject] = until
        if kind is FaultKind.wipe:
            next_wipe = until + WIPE_EVERY
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
