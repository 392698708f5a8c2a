"""``python -m bronzepoint_emulator.slopes.limits``: cost of a region's limits.

The measured host runs as a separate process; the region's other hosts run in this
process and reach it over real links. Slopes: organisations (active ones, at 30 hosts,
on a holder of limits), hosts (of the region, on a holder), hosts_plain (on a host that
holds none), and limit (requests per second that an organisation may send, on a holder).
Arguments select slopes; all by default.
"""

import sys

import curio
from msgspec import Struct

from bronzepoint_common.metrics import Metrics
from bronzepoint_emulator.slopes._limits_host import (
    LIMIT_RATE,
    LimitsFigures,
    LimitsPlan,
    LoadedHost,
    OwnerValues,
)
from bronzepoint_emulator.slopes._measured_process import (
    free_addresses,
    print_rows,
    run_host,
)
from bronzepoint_emulator.slopes._membership_feeder import FeederPeers
from bronzepoint_emulator.slopes._membership_plan import MEASURED_REGION
from bronzepoint_node.policy._rendezvous import ranked
from bronzepoint_schema.ids import HostName

ORGANISATIONS = [0, 250, 500, 1000, 3000]
"""Numbers of organisations that send requests."""
HOSTS = [3, 8, 16, 30]
PLAIN_HOSTS = [30, 24, 16, 8]
"""Hosts of the region, without 3: in the smallest region every host is a holder."""
LIMIT_RATES = [60, 10, 30, 120]
"""Requests per second that an organisation may send."""
_REGION_HOSTS = 30
"""Hosts of the region where their number is not varied."""
_ACTIVE = 250
"""Active organisations where their number is not varied."""
_HOST_MODULE = "bronzepoint_emulator.slopes._limits_host"


class Row(Struct):
    """Measurement of one host."""

    slope: str
    hosts: int
    active: int
    holder: bool
    limit: float
    figures: LimitsFigures


class LimitsFeeder:
    """Runs all hosts of a plan except the measured one.

    Args:
        plan: The measurement.
    """

    def __init__(self, plan: LimitsPlan) -> None:
        self._plan = plan
        self._values = OwnerValues(plan)
        self._peers: dict[HostName, FeederPeers] = {}
        self._hosts: list[LoadedHost] = []

    async def start(self) -> None:
        """Start the hosts."""
        for name in map(HostName, self._plan.hosts):
            if name != self._plan.measured:
                await self._start_host(name)

    async def close(self) -> None:
        """Stop everything."""
        for host in self._hosts:
            await host.close()
        for peers in self._peers.values():
            await peers.close()

    async def _start_host(self, name: HostName) -> None:
        measured = HostName(self._plan.measured)
        peers = FeederPeers(self._plan, name, self._peers)
        peers.set_address(measured, self._plan.hosts[measured])
        host = LoadedHost(self._plan, name, peers, self._values, Metrics())
        await peers.start()
        await host.start()
        self._hosts.append(host)


async def measure(
    slope: str, hosts: int, active: int, holder: bool, limit: float = LIMIT_RATE
) -> Row:
    """Measure one size.

    Args:
        slope: Name of the varied size.
        hosts: Hosts of the region.
        active: Organisations that send requests.
        holder: Whether the measured host is one of the holders of limits.
        limit: Requests per second that an organisation may send.
    """
    names = [f"{MEASURED_REGION}-{number}" for number in range(hosts)]
    order = ranked("limits", [HostName(name) for name in names])
    measured = order[0] if holder else order[-1]
    plan = LimitsPlan(free_addresses(names), measured, active=active, limit=limit)
    feeder = LimitsFeeder(plan)
    await feeder.start()
    try:
        figures = await run_host(_HOST_MODULE, plan, LimitsFigures)
    finally:
        await feeder.close()
    return Row(slope, hosts, active, holder, limit, figures)


async def measure_all(slopes: list[str]) -> None:
    """Measure the given slopes (all by default) and print each row."""
    rate = LIMIT_RATE
    sizes = [("organisations", _REGION_HOSTS, n, True, rate) for n in ORGANISATIONS]
    sizes += [("hosts", hosts, _ACTIVE, True, rate) for hosts in HOSTS]
    sizes += [("hosts_plain", hosts, _ACTIVE, False, rate) for hosts in PLAIN_HOSTS]
    sizes += [("limit", _REGION_HOSTS, _ACTIVE, True, n) for n in LIMIT_RATES]
    await print_rows(sizes, slopes, measure)


def main() -> None:
    """Print one JSON line for each measurement."""
    curio.run(measure_all, sys.argv[1:])


if __name__ == "__main__":
    main()
