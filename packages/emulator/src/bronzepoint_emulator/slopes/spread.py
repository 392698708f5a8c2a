"""``python -m bronzepoint_emulator.slopes.spread``: propagation of a change.

All hosts run in this process over real links, with delayed messages between regions.
Each row has, for one number of hosts, the time until a change is accepted and until it
is in effect on the last host.
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
"""Pairs of numbers of hosts and regions. With 180 hosts, the process that runs them all
cannot keep up with their connections, so the results would be distorted."""
REGION_DELAY = 0.03
"""One-way delay between regions in seconds."""
_CHANGES = 40
"""Number of measured changes."""
_TIMEOUT = 60.0
"""Seconds for all hosts to become ready, and for a change to be accepted."""


class SpreadRow(Struct):
    """Measurement of one size; times in milliseconds.

    Attributes:
        hosts: Number of hosts.
        regions: Number of regions.
        trip: One-way delay between regions.
        accepted_p50: Median time until a change by the first host was accepted.
        accepted_max: Longest time until acceptance.
        in_force_p50: Median time from acceptance until in effect on the last host.
        in_force_max: Longest time from acceptance until in effect on the last host.
        oldest_confirmation: Longest time since the leader's last confirmation on any
            host, while idle.
        most_children: Maximum number of hosts that poll the same host.
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


async def measure(hosts: int, regions: int, trip: float = REGION_DELAY) -> SpreadRow:
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
    """Return the seconds until acceptance, and from then until in effect."""
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
    """Print one JSON line per size; arguments select numbers of hosts."""
    wanted = [int(argument) for argument in sys.argv[1:]]
    for hosts, regions in SIZES:
        if not wanted or hosts in wanted:
            row = curio.run(measure, hosts, regions)
            print(msgspec.json.encode(row).decode(), flush=True)


if __name__ == "__main__":
    main()
