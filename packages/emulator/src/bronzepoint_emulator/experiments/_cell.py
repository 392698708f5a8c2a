"""One run of a scenario with a seed on a deployment."""

import time
from collections import Counter
from collections.abc import Sequence

import curio
from msgspec import Struct

from bronzepoint_common.http import HttpClient, HttpLimits
from bronzepoint_emulator.deployment import Deployment
from bronzepoint_emulator.experiments._arrivals import Arrival, draw_arrivals
from bronzepoint_emulator.experiments._caller import Callers
from bronzepoint_emulator.experiments._deployment import DEADLINE
from bronzepoint_emulator.experiments._outcome import Outcome
from bronzepoint_emulator.experiments._scenarios import Event, Scenario

_RETRY = "retry."
_CONNECT_TIMEOUT = 2.0
"""Seconds to connect to a host."""


class Cell(Struct):
    """Results of one run.

    Attributes:
        outcomes: Outcomes of the measured owners' requests.
        others: Outcomes of the other owners' requests.
        cost: Slot seconds of all engines, weighted by each engine's cost.
        retries: Retries of all hosts by reason.
    """

    scenario: str
    choice: str
    weights: str
    seed: int
    outcomes: list[Outcome]
    cost: float
    retries: dict[str, int]
    others: list[Outcome] = []


def run_cell(
    deployment: Deployment,
    scenario: Scenario,
    choice: str,
    weights: str,
    seed: int,
) -> Cell:
    """Run a scenario's requests and faults, and return the results."""
    arrivals = draw_arrivals(scenario.streams, scenario.duration, seed)
    cost, retries = engine_cost(deployment), retry_counts(deployment)
    outcomes = send(deployment, arrivals, scenario.events)
    return Cell(
        scenario=scenario.name,
        choice=choice,
        weights=weights,
        seed=seed,
        outcomes=[one for one in outcomes if one.owner in scenario.measured],
        cost=engine_cost(deployment) - cost,
        retries=dict(retry_counts(deployment) - retries),
        others=[one for one in outcomes if one.owner not in scenario.measured],
    )


def send(
    deployment: Deployment, arrivals: list[Arrival], events: Sequence[Event]
) -> list[Outcome]:
    """Send requests at their times while events are applied."""
    return curio.run(_send, deployment, arrivals, events)


async def _send(
    deployment: Deployment, arrivals: list[Arrival], events: Sequence[Event]
) -> list[Outcome]:
    client = HttpClient(HttpLimits(), _CONNECT_TIMEOUT)
    callers = Callers(deployment, client, DEADLINE)
    try:
        async with curio.TaskGroup() as tasks:
            sending = await tasks.spawn(callers.send_all, arrivals)
            await tasks.spawn(_apply_events, deployment, events)
        return sending.result
    finally:
        await client.close()


async def _apply_events(deployment: Deployment, events: Sequence[Event]) -> None:
    start = time.monotonic()
    for event in events:
        await curio.sleep(max(0.0, start + event.at - time.monotonic()))
        await curio.run_in_thread(event.change, deployment)


def engine_cost(deployment: Deployment) -> float:
    """Return the cost of the engines' used slot seconds so far."""
    return sum(
        deployment.targets.counts(engine.name).slot_seconds * engine.cost
        for engine in deployment.layout.engines
    )


def retry_counts(deployment: Deployment) -> Counter[str]:
    """Return the retries of all hosts by reason."""
    total: Counter[str] = Counter()
    for host in deployment.host_names():
        counters = deployment.operator(host).counters()
        for name, count in counters.items():
            if name.startswith(_RETRY):
                total[name.removeprefix(_RETRY)] += count
    return total


__all__ = ["Cell", "engine_cost", "retry_counts", "run_cell", "send"]
