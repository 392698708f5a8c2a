"""Selection of the live entry hosts that are reported to an entry host."""

from collections.abc import Iterable

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_node.fleet import COLLECTOR_ORDER
from bronzepoint_schema.generated.fleet import EntryHost, EntryState
from bronzepoint_schema.ids import HostName, RegionName

MAX_READY_PER_REGION = 6
"""Number of ready hosts reported for each other region. A request is forwarded at most
four times, and one of the hosts may be dead."""

MAX_LOCAL_HOSTS = 16
"""Number of entry hosts in a region up to which each gets the full list of them."""
LARGE_REGION_HOSTS = 8
"""Number of hosts reported within a larger region, the same ones to all its hosts."""
MAX_CACHED_ORDERS = 512
"""Maximum number of cached orders; a core host answers fewer entry hosts than that."""


class HostOrderCache:
    """Caches the order in which hosts are reported to each requesting host.

    Without the cache, every answer would sort all hosts again. The time spent on that
    grows with the number of hosts and with the number of hosts that query this one.
    """

    def __init__(self) -> None:
        self._orders: dict[
            tuple[str, RegionName], tuple[frozenset[HostName], list[HostName]]
        ] = {}

    def order(
        self, key: str, region: RegionName, names: Iterable[HostName]
    ) -> list[HostName]:
        """Return the names of a region's hosts in the order of ``key``."""
        wanted = frozenset(names)
        cached = self._orders.get((key, region))
        if cached is None or cached[0] != wanted:
            if len(self._orders) >= MAX_CACHED_ORDERS:
                self._orders.clear()
            cached = (wanted, rendezvous_order(key, wanted))
            self._orders[key, region] = cached
        return cached[1]


def visible_hosts(
    requester: EntryHost, live: list[EntryHost], orders: HostOrderCache | None = None
) -> list[EntryHost]:
    """Return the hosts of the requester's region and a few of each other region.

    In a large region, only those are returned that would collect its loads and choose
    its targets if no core host did.

    The limits keep answers from growing with the fleet. The selection for a requester
    is stable, since a host that is missing from the answers would count as lost. It
    differs between requesters, so that forwarded requests spread over all hosts.

    Args:
        requester: The requesting host.
        live: All live entry hosts.
        orders: Cached orders; None to compute them.
    """
    orders = orders or HostOrderCache()
    local = [host for host in live if host.region == requester.region]
    visible = (
        local if len(local) <= MAX_LOCAL_HOSTS else _first_collectors(local, orders)
    )
    remote: dict[RegionName, dict[HostName, EntryHost]] = {}
    for host in live:
        if host.region != requester.region:
            remote.setdefault(host.region, {})[host.name] = host
    for region, hosts in remote.items():
        order = orders.order(requester.name, region, hosts)
        visible += _first_ready([hosts[name] for name in order], MAX_READY_PER_REGION)
    return visible


def _first_collectors(
    local: list[EntryHost], orders: HostOrderCache
) -> list[EntryHost]:
    """Return the first candidates of a region for the collector of its loads."""
    hosts = {host.name: host for host in local}
    order = orders.order(COLLECTOR_ORDER, local[0].region, hosts)
    return _first_ready([hosts[name] for name in order], LARGE_REGION_HOSTS)


def _first_ready(hosts: list[EntryHost], wanted: int) -> list[EntryHost]:
    """Return the first hosts that include the wanted number of ready ones.

    Leaving hosts stay in the result: a host that is missing counts as lost, and the
    requests that it still works on would be sent elsewhere again.
    """
    ready = 0
    for count, host in enumerate(hosts, start=1):
        ready += host.state is EntryState.ready
        if ready == wanted:
            return hosts[:count]
    return hosts


def count_ready_hosts(region: RegionName, live: list[EntryHost]) -> int:
    """Return how many entry hosts of a region accept requests."""
    return sum(h.region == region and h.state is EntryState.ready for h in live)
