"""The scenarios: request streams and faults over time."""

from collections.abc import Callable, Sequence

from msgspec import Struct

from bronzepoint_emulator.deployment import Deployment
from bronzepoint_emulator.experiments._arrivals import Stream
from bronzepoint_emulator.experiments._deployment import (
    OTHER_OWNER,
    OWNER,
    REGIONS,
    SLOTS,
    region_engines,
)

_FAULTY_REGION = REGIONS[0]
_REDUCED_SLOTS = SLOTS // 3
"""Slots of each engine during a loss of capacity."""
_LOAD_LAG = 5.0
"""Seconds by which load reports lag."""
_SLOWDOWN = 6.0
"""Factor by which an engine is slowed down."""

Change = Callable[[Deployment], None]


class Event(Struct, frozen=True):
    """A change of a deployment at a time (s after the start)."""

    at: float
    change: Change


class Scenario(Struct, frozen=True):
    """One scenario.

    Attributes:
        duration: Seconds in which requests arrive.
        streams: Streams of requests.
        events: Changes of the deployment.
        faulty: False for the scenario without faults, in which the policy must only
            not be worse than the others.
        measured: Owners whose requests are measured; others only add load.
    """

    name: str
    duration: float
    streams: Sequence[Stream]
    events: Sequence[Event] = ()
    faulty: bool = True
    measured: Sequence[str] = (OWNER,)


def _steady(rates: Sequence[float]) -> list[Stream]:
    return [
        Stream(region, OWNER, rate) for region, rate in zip(REGIONS, rates, strict=True)
    ]


def _lose_capacity(deployment: Deployment) -> None:
    for engine in region_engines(_FAULTY_REGION):
        deployment.set_faults(engine, slots=_REDUCED_SLOTS)


def _restore_without_cache(deployment: Deployment) -> None:
    for engine in region_engines(_FAULTY_REGION):
        deployment.set_faults(engine, slots=0, forget_cache=True)


def _delay_reports(deployment: Deployment) -> None:
    for region in REGIONS:
        for engine in region_engines(region):
            deployment.set_faults(engine, load_lag=_LOAD_LAG)


def _slow_down(deployment: Deployment) -> None:
    deployment.set_faults(region_engines(_FAULTY_REGION)[0], slow=_SLOWDOWN)


def _isolate(deployment: Deployment) -> None:
    deployment.isolate_region(_FAULTY_REGION)


def _heal(deployment: Deployment) -> None:
    deployment.heal()


def restore(deployment: Deployment) -> None:
    """Undo all changes that a scenario makes to a deployment."""
    deployment.heal()
    for region in REGIONS:
        for engine in region_engines(region):
            deployment.set_faults(engine, slots=0, slow=1.0, load_lag=-1.0)


SCENARIOS = (
    Scenario("calm", 12.0, _steady((5.0, 5.0, 5.0)), faulty=False),
    Scenario(
        "offset_peaks",
        60.0,
        [
            Stream(region, OWNER, 7.0, swing=0.8, phase=number / len(REGIONS))
            for number, region in enumerate(REGIONS)
        ],
    ),
    Scenario(
        "capacity_loss",
        16.0,
        _steady((8.0, 6.0, 5.0)),
        [Event(3.0, _lose_capacity), Event(10.0, _restore_without_cache)],
    ),
    Scenario(
        "late_reports", 14.0, _steady((11.0, 7.0, 5.0)), [Event(0.0, _delay_reports)]
    ),
    Scenario("slow_target", 14.0, _steady((6.0, 6.0, 6.0)), [Event(3.0, _slow_down)]),
    Scenario(
        "flood",
        14.0,
        [
            *_steady((5.0, 5.0, 5.0)),
            Stream(_FAULTY_REGION, OTHER_OWNER, 40.0, begin=3.0, end=10.0),
        ],
    ),
    Scenario(
        "partition",
        14.0,
        _steady((10.0, 6.0, 5.0)),
        [Event(3.0, _isolate), Event(10.0, _heal)],
    ),
)

__all__ = ["SCENARIOS", "Event", "Scenario", "restore"]
