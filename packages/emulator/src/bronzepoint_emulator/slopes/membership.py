"""``python -m bronzepoint_emulator.slopes.membership``: cost of membership.

The measured host runs as a separate process; all others run in this process and reach
it over real links. Slopes: hosts (of the region), regions, relay (regions, measured on
a relay host), targets. Arguments select slopes; all by default.
"""

import sys

import curio
from msgspec import Struct

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_emulator.slopes._measured_process import (
    free_addresses,
    print_rows,
    run_host,
)
from bronzepoint_emulator.slopes._membership_feeder import Feeder
from bronzepoint_emulator.slopes._membership_plan import (
    MEASURED_REGION,
    Figures,
    MembershipPlan,
)

HOSTS = [3, 8, 16, 30, 64, 100]
REGIONS = [1, 3, 6, 12]
TARGETS = [0, 2, 8, 24, 96]
_REGION_HOSTS = 30
"""Hosts of the measured region where their number is not varied."""
_REMOTE_HOSTS = 6
"""Hosts of each other region."""
_HOST_MODULE = "bronzepoint_emulator.slopes._membership_host"


class Row(Struct):
    """Measurement of one host."""

    slope: str
    hosts: int
    regions: int
    targets: int
    figures: Figures


async def measure(
    slope: str, hosts: int, regions: int, targets: int, relay: bool
) -> Row:
    """Measure one size.

    Args:
        slope: Name of the varied size.
        hosts: Hosts of the measured region.
        regions: Regions, including the measured one.
        targets: Targets of the measured region.
        relay: Whether the measured host is one of its region's relays.
    """
    names = [f"{MEASURED_REGION}-{number}" for number in range(hosts)]
    order = rendezvous_order(f"relay {MEASURED_REGION}", names)
    measured = order[0] if relay else order[-1]
    for region in range(1, regions):
        names += [f"r{region}-{number}" for number in range(_REMOTE_HOSTS)]
    plan = MembershipPlan(free_addresses(names), measured)
    feeder = Feeder(plan, targets)
    await feeder.start()
    try:
        figures = await run_host(_HOST_MODULE, plan, Figures)
    finally:
        await feeder.close()
    return Row(slope, hosts, regions, targets, figures)


async def measure_all(slopes: list[str]) -> None:
    """Measure the given slopes (all by default) and print each row."""
    sizes = [("hosts", hosts, 1, 0, False) for hosts in HOSTS]
    sizes += [("regions", _REGION_HOSTS, n, 0, False) for n in REGIONS]
    sizes += [("relay", _REGION_HOSTS, n, 0, True) for n in REGIONS]
    sizes += [("targets", 3, 1, n, False) for n in TARGETS]
    await print_rows(sizes, slopes, measure)


def main() -> None:
    """Print one JSON line for each measurement."""
    curio.run(measure_all, sys.argv[1:])


if __name__ == "__main__":
    main()
