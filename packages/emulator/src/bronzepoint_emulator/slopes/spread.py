"""``python -m bronzepoint_emulator.slopes.spread``: time until a change is in force.

All hosts run in this process over the real links; messages between regions take their
trip. One row for each number of hosts: how long until a change is accepted, and until
the last host serves on it.
"""

import sys
import tempfile
import time
from pathlib import Path

import curio
import msgspec
import uuid_utils
from msgspec import Struct

from bronzepoint_emulator.slopes._spread_hosts import SpreadSite
from bronzepoint_schema.generated.agreement import Change, Put
from bronzepoint_schema.generated.catalogue import Limits, OwnerItem
from bronzepoint_schema.ids import ChangeId, OperatorName, OwnerName

SIZES = [(9, 3), (36, 12), (60, 12), (90, 12)]
"""Hosts and regions. With 180 hosts the one process that runs them all can no longer
keep up with their connections, so it would measure itself."""
TRIP = 0.03
_CHANGES = 40
_TIMEOUT = 60.0


class SpreadRow(Struct):
    """One measurement; times in milliseconds.

    Attributes:
        hosts: How many.
        regions: Over how many regions.
        trip: One-way trip between regions.
        accepted_p50: Until a change was accepted, from the first host.
        accepted_max: The longest.
        in_force_p50: From acceptance until the last host served on it.
        in_force_max: The longest.
        oldest_confirmation: Longest time since the leader's confirmation on any host,
            while idle.
        most_children: Hosts that learn from one.
    """

    hosts: int
    regions: int
    trip: float
    accepted_p50: float
    accepted_max: float
    in_force_p50: float
    in_force_max: float
    oldest_confirmation: float
    most_children: int


async def measure(hosts: int, regions: int, trip: float = TRIP) -> SpreadRow:
    """Measure one size."""
    with tempfile.TemporaryDirectory() as folder:
        site = SpreadSite(hosts, regions, trip, Path(folder))
        try:
            await site.start()
            async with curio.timeout_after(_TIMEOUT):
                while not all(h.catalogue.view.ready for h in site.hosts):
                    await curio.sleep(0.1)
            await curio.sleep(2 * site.hosts[0].catalogue.view.confirmed_age() + 5)
            times = [await _change(site, number) for number in range(_CHANGES)]
            oldest = await _oldest_confirmation(site)
            children = max(h.catalogue.status().children for h in site.hosts)
        finally:
            await site.close()
    accepted = sorted(1000 * t[0] for t in times)
    in_force = sorted(1000 * t[1] for t in times)
    figures = [accepted[_CHANGES // 2], accepted[-1]]
    figures += [in_force[_CHANGES // 2], in_force[-1], 1000 * oldest]
    rounded = [round(figure, 1) for figure in figures]
    return SpreadRow(hosts, regions, 1000 * trip, *rounded, children)


async def _change(site: SpreadSite, number: int) -> tuple[float, float]:
    """Return the seconds until accepted, and from there until in force everywhere."""
    item = OwnerItem(OwnerName(f"owner-{number}"), limits=Limits(rate=1.0))
    change_id = ChangeId(str(uuid_utils.uuid7()))
    change = Change(change_id, OperatorName("slopes"), 1, Put(item))
    started = time.monotonic()
    result = await site.hosts[0].agreement.propose(change, _TIMEOUT)
    accepted = time.monotonic()
    views = [host.catalogue.view for host in site.hosts]
    while any(view.revision < result.revision for view in views):
        await curio.sleep(0.001)
    return accepted - started, time.monotonic() - accepted


async def _oldest_confirmation(site: SpreadSite) -> float:
    oldest = 0.0
    for _ in range(100):
        ages = [host.catalogue.view.confirmed_age() for host in site.hosts]
        oldest = max(oldest, *ages)
        await curio.sleep(0.1)
    return oldest


def main() -> None:
    """Print one JSON line for each size, or for the sizes given as arguments."""
    wanted = [int(argument) for argument in sys.argv[1:]]
    for hosts, regions in SIZES:
        if not wanted or hosts in wanted:
            row = curio.run(measure, hosts, regions)
            print(msgspec.json.encode(row).decode(), flush=True)


if __name__ == "__main__":
    main()
