"""Requests that a limit admits in a region, with and without faults."""

from collections.abc import Callable

from msgspec import Struct, structs

from bronzepoint_emulator.deployment import Deployment
from bronzepoint_emulator.deployment._layout import Addresses, Layout
from bronzepoint_emulator.experiments._arrivals import Arrival, Stream, draw_arrivals
from bronzepoint_emulator.experiments._cell import send
from bronzepoint_emulator.experiments._deployment import (
    OTHER_OWNER,
    REGIONS,
    SAPHAN_WEIGHTS,
    experiment_layout,
)
from bronzepoint_emulator.experiments._scenarios import Event
from bronzepoint_schema.generated.catalogue import CatalogueItem, Limits, OwnerItem
from bronzepoint_schema.generated.settings import PolicyChoice

RATE = 10.0
"""Limit in requests per second."""
_OFFERED_RATE = 60.0
"""Requests sent per second."""
_SETTLE = 4.0
"""Seconds before counting starts, in which the hosts get their first grants."""
_SECONDS = 12.0
"""Seconds in which requests are counted."""
_REGION = REGIONS[0]
_BOUND_FACTOR = 1.1
"""Stated bound on the admitted rate, relative to the limit."""
_REFUSED = "rate_limited"


class LimitRun(Struct):
    """Result of one run.

    Attributes:
        bound: Upper bound of admitted requests, stated in docs/design/policy.md.
    """

    name: str
    seconds: float
    offered: int
    admitted: int
    bound: float


class _LimitedCatalogue:
    """Builds the experiments' catalogue, with a limit on one owner."""

    def __init__(self, layout: Layout) -> None:
        self._build = layout.catalogue

    def __call__(self, layout: Layout, addresses: Addresses) -> list[CatalogueItem]:
        items = self._build(layout, addresses)
        limited = OwnerItem(name=OTHER_OWNER, version=1, limits=Limits(rate=RATE))
        return [limited if _is_other_owner(item) else item for item in items]


def _is_other_owner(item: CatalogueItem) -> bool:
    return isinstance(item, OwnerItem) and item.name == OTHER_OWNER


def measure_limits() -> list[LimitRun]:
    """Run each fault on a separate deployment."""
    first = f"{_REGION}-1"
    return [
        _run("undisturbed", lambda deployment: None, faults=0),
        _run("one host killed", lambda deployment: deployment.kill(first), faults=1),
        _run(
            "one host cut off, callers still reach it",
            lambda deployment: deployment.isolate_host(first),
            faults=1,
        ),
        _run(
            "all hosts cut off from each other",
            _isolate_all,
            faults=1,
        ),
    ]


def _isolate_all(deployment: Deployment) -> None:
    for number in (1, 2):
        deployment.isolate_host(f"{_REGION}-{number}")


def _run(name: str, change: Callable[[Deployment], None], faults: int) -> LimitRun:
    layout = experiment_layout(PolicyChoice.policy, SAPHAN_WEIGHTS)
    layout = structs.replace(layout, catalogue=_LimitedCatalogue(layout))
    stream = Stream(_REGION, OTHER_OWNER, _OFFERED_RATE)
    drawn = draw_arrivals([stream], _SETTLE + _SECONDS, 1)
    arrivals = [_shorten(arrival) for arrival in drawn]
    with Deployment(layout, proxied=True) as deployment:
        outcomes = send(deployment, arrivals, [Event(_SETTLE, change)])
    counted = [one for one in outcomes if one.at >= _SETTLE]
    admitted = [one for one in counted if one.answered or one.first_token is not None]
    hosts = len(layout.region_hosts(_REGION))
    bound = _BOUND_FACTOR * RATE * (_SECONDS + 1) + hosts
    # After each fault, up to one more full limit may be admitted until the old grants
    # have expired.
    bound += faults * RATE * 2.5
    return LimitRun(name, _SECONDS, len(counted), len(admitted), bound)


def _shorten(arrival: Arrival) -> Arrival:
    """Return a copy that is short enough to never exhaust the engines' slots."""
    return structs.replace(arrival, prompt=arrival.prompt[-40:], max_tokens=2)


def limits_table(runs: list[LimitRun]) -> str:
    """Return the runs as a Markdown table."""
    lines = [
        "| run | offered | limit x time | let through | stated bound | within |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for run in runs:
        within = "yes" if run.admitted <= run.bound else "no"
        lines.append(
            f"| {run.name} | {run.offered} | {RATE * run.seconds:.0f} "
            f"| {run.admitted} | {run.bound:.0f} | {within} |"
        )
    return "\n".join(lines) + "\n"


__all__ = ["LimitRun", "limits_table", "measure_limits"]
