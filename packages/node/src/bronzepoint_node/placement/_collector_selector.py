"""Selection of the host that aggregates the target loads of a region."""

from collections.abc import Sequence

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_node.fleet import COLLECTOR_ORDER
from bronzepoint_schema.ids import HostName

MAX_DIRECT = 5
"""Number of other hosts up to which each host reports to every other host. Up to that
number a host receives about as many messages either way, and direct reports take one
hop less."""
UNRESPONSIVE_AFTER = 2.2
"""Seconds without a message after which a collector is replaced: two of its refresh
intervals."""


class CollectorSelector:
    """Selects the collector by rendezvous hash among the responsive hosts.

    Hosts that know the same hosts select the same collector without exchanging
    messages. A collector that is dead or partitioned would leave its members without
    any load reports: each would send to the target that is idle by its own data.

    Args:
        name: This host.
    """

    def __init__(self, name: HostName) -> None:
        self._name = name
        self._last_contact: dict[HostName, float] = {}
        self._ordered: tuple[tuple[HostName, ...], tuple[HostName, ...]] | None = None
        self._order: list[HostName] = []

    def record_contact(self, host: HostName, now: float) -> None:
        """Record a message from a host that acts as collector."""
        self._last_contact[host] = now

    def mark_unresponsive(self, host: HostName) -> None:
        """Skip a host that does not answer until a message from it arrives."""
        self._last_contact[host] = float("-inf")

    def choose(
        self, others: list[HostName], now: float, core: Sequence[HostName] = ()
    ) -> HostName | None:
        """Return the collector, possibly this host; None if hosts report directly.

        Args:
            others: The other entry hosts of the region.
            now: Monotonic seconds.
            core: Core hosts of the region; they are preferred.
        """
        if len(others) <= MAX_DIRECT:
            self._last_contact.clear()
            return None
        # A host that was absent and has returned has sent nothing yet, so its time
        # limit starts again.
        present = {*others, *core}
        self._last_contact = {
            h: at for h, at in self._last_contact.items() if h in present
        }
        for host in self.order(others, core):
            if host == self._name:
                break
            if now - self._last_contact.setdefault(host, now) <= UNRESPONSIVE_AFTER:
                return host
        return self._name

    def unresponsive_before(
        self,
        collector: HostName,
        others: list[HostName],
        core: Sequence[HostName] = (),
    ) -> list[HostName]:
        """Return the unresponsive hosts that precede the collector in the order.

        They get periodic reports and answer as soon as they can. Otherwise a region
        would keep two collectors after a network partition has ended, each with half of
        the hosts.
        """
        order = self.order(others, core)
        return order[: order.index(collector)]

    def order(
        self, others: list[HostName], core: Sequence[HostName] = ()
    ) -> list[HostName]:
        """Return this host and the others in order of preference as collector."""
        key = (tuple(core), tuple(others))
        if key != self._ordered:
            # Asked for with each report, while the hosts change rarely.
            first = rendezvous_order(COLLECTOR_ORDER, core)
            rest = rendezvous_order(COLLECTOR_ORDER, [self._name, *others])
            self._ordered, self._order = key, [*first, *rest]
        return self._order
