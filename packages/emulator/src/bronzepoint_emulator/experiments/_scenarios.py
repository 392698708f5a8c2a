"""What happens in each experiment."""

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

_FAULTY = REGIONS[0]
_SLOTS_LEFT = SLOTS // 3
_LATE = 5.0
_SLOW = 6.0

Change = Callable[[Deployment], None]


class Event(Struct, frozen=True):
    """Something that is done to a deployment at a moment."""

    at: float
    change: Change


class Scenario(Struct, frozen=True):
    """One experiment.

    Attributes:
        duration: seconds in which requests arrive.
        streams: who sends how much.
        events: what is done to the deployment.
        faulty: False for the calm one, in which the policy must only not be worse.
        measured: owners whose requests are measured; the others are the disturbance.
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
    for engine in region_engines(_FAULTY):
        deployment.set_faults(engine, slots=_SLOTS_LEFT)


def _return_cold(deployment: Deployment) -> None:
    for engine in region_engines(_FAULTY):
        deployment.set_faults(engine, slots=0, forget_cache=True)


def _report_late(deployment: Deployment) -> None:
    for region in REGIONS:
        for engine in region_engines(region):
            deployment.set_faults(engine, load_lag=_LATE)


def _slow_down(deployment: Deployment) -> None:
    deployment.set_faults(region_engines(_FAULTY)[0], slow=_SLOW)


def _isolate(deployment: Deployment) -> None:
    deployment.isolate_region(_FAULTY)


def _heal(deployment: Deployment) -> None:
    deployment.heal()


def restore(deployment: Deployment) -> None:
    """Undo everything that an experiment has done to a deployment."""
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
        [Event(3.0, _lose_capacity), Event(10.0, _return_cold)],
    ),
    Scenario(
        "late_reports", 14.0, _steady((11.0, 7.0, 5.0)), [Event(0.0, _report_late)]
    ),
    Scenario("slow_target", 14.0, _steady((6.0, 6.0, 6.0)), [Event(3.0, _slow_down)]),
    Scenario(
        "flood",
        14.0,
        [
            *_steady((5.0, 5.0, 5.0)),
            Stream(_FAULTY, OTHER_OWNER, 40.0, begin=3.0, end=10.0),
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
