"""Which of the live entry hosts one of them is told."""

from collections.abc import Iterable

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_schema.generated.fleet import EntryHost, EntryState
from bronzepoint_schema.ids import HostName, RegionName

MOST_ELSEWHERE = 6
"""Ready hosts told of each other region: a request is forwarded four times at most, and
one of them may be dead."""


MOST_ORDERS = 512
"""Orders kept; a host of the core answers fewer entry hosts than that."""


class HostOrders:
    """Keeps the order in which each asking host is told of others.

    Worked out anew for each answer, the orders took a host of the core the more time
    the more hosts there were, and the more of them asked.
    """

    def __init__(self) -> None:
        self._orders: dict[
            tuple[HostName, RegionName], tuple[frozenset[HostName], list[HostName]]
        ] = {}

    def order(
        self, asking: HostName, region: RegionName, names: Iterable[HostName]
    ) -> list[HostName]:
        """Return the names of a region's hosts, those told first at the front."""
        wanted = frozenset(names)
        kept = self._orders.get((asking, region))
        if kept is None or kept[0] != wanted:
            if len(self._orders) >= MOST_ORDERS:
                self._orders.clear()
            kept = (wanted, rendezvous_order(asking, wanted))
            self._orders[asking, region] = kept
        return kept[1]


def hosts_for(
    asking: EntryHost, live: list[EntryHost], orders: HostOrders | None = None
) -> list[EntryHost]:
    """Return the hosts of the asking one's region, and a few of each other region.

    Told all, a host would hear the more the larger the fleet is. The few are the same
    each time, or it would take a host for lost that was only not mentioned lately; and
    they differ between the asking hosts, so that forwarded requests spread over all.

    Args:
        asking: The host that is told.
        live: All entry hosts that live.
        orders: Orders worked out before; None: there are none.
    """
    orders = orders or HostOrders()
    told = [host for host in live if host.region == asking.region]
    elsewhere: dict[RegionName, dict[HostName, EntryHost]] = {}
    for host in live:
        if host.region != asking.region:
            elsewhere.setdefault(host.region, {})[host.name] = host
    for region, hosts in elsewhere.items():
        order = orders.order(asking.name, region, hosts)
        told += _first_ready([hosts[name] for name in order])
    return told


def _first_ready(hosts: list[EntryHost]) -> list[EntryHost]:
    """Return hosts up to the last of the wanted ready ones.

    Those that leave stay among them: no longer named, a host counts as lost, and the
    requests that it still works on would be sent elsewhere again.
    """
    ready = 0
    for count, host in enumerate(hosts, start=1):
        ready += host.state is EntryState.ready
        if ready == MOST_ELSEWHERE:
            return hosts[:count]
    return hosts
