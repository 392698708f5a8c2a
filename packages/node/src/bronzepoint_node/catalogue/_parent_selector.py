"""Selection of the hosts to poll for changes and of hosts in the same region."""

from collections.abc import Callable, Sequence
from typing import Protocol

from bronzepoint_common.clock import monotonic
from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_schema.generated.settings import Settings
from bronzepoint_schema.ids import HostName

from ._tree import LiveHost, parents

SKIP_FOR = 5.0
"""Seconds for which a parent that was unresponsive or stale isn't selected again."""
_LIVE = "live"
_SECOND_COPIES = 2
"""Number of hosts that get a second copy, in case one of them fails."""


class AgreementSource(Protocol):
    """Interface of the agreement to the catalogue."""

    def leader(self) -> HostName:
        """Return the leader known to this host; empty if there is none."""

    def leader_age(self) -> float | None:
        """Return the seconds since the leadership was confirmed.

        Returns None if this host isn't the leader.
        """

    def voters(self) -> list[HostName]:
        """Return the hosts that may vote."""


class ParentSelector:
    """Selects the hosts to poll for changes.

    Args:
        settings: This host's settings.
        live_hosts: Returns the hosts that membership knows.

    Attributes:
        parent: Parent selected last; empty if there is none or this host leads.
    """

    def __init__(
        self, settings: Settings, live_hosts: Callable[[], Sequence[LiveHost]]
    ) -> None:
        self.parent = HostName("")
        self._name = settings.host.name
        self._region = settings.host.region
        self._live_hosts = live_hosts
        self._configured = [
            HostName(name)
            for name, peer in settings.peers.items()
            if peer.region == self._region
        ]
        self._skipped: dict[HostName, float] = {}
        self._round = 0

    def of_region(self) -> list[HostName]:
        """Return the other hosts of the region, from the settings and membership."""
        return sorted({*self._configured, *self._live_of_region()} - {self._name})

    def second_copy_hosts(self) -> list[HostName]:
        """Return the live hosts of the region that should hold a second copy."""
        others = [h for h in self._live_of_region() if h != self._name]
        return rendezvous_order(self._name, others)[:_SECOND_COPIES]

    def skip(self, host: HostName) -> None:
        """Exclude a host for ``SKIP_FOR`` seconds, as it was unresponsive or stale."""
        self._skipped[host] = monotonic() + SKIP_FOR

    def hosts_to_poll(self, source: AgreementSource, confirmed: bool) -> list[HostName]:
        """Return the hosts to poll next.

        Args:
            source: The agreement.
            confirmed: Whether the leader has recently confirmed this host's view. If
                not, the possible parents are polled round robin, along with a host of
                the region, which may have received changes just before a network
                partition.
        """
        candidates = self._candidates(source)
        if not candidates:
            self.parent = HostName("")
            return []
        now = monotonic()
        available = [c for c in candidates if self._skipped.get(c, 0.0) <= now]
        self.parent = available[0] if available else candidates[0]
        if confirmed:
            return [self.parent]
        self._round += 1
        chosen = [candidates[self._round % len(candidates)]]
        region = self.of_region()
        if region:
            chosen.append(region[self._round % len(region)])
        return chosen

    def _candidates(self, source: AgreementSource) -> list[HostName]:
        if source.leader_age() is not None:
            return []
        region = self._live_of_region()
        voters, leader = source.voters(), source.leader()
        return parents(self._name, self._region, region, voters, leader)

    def _live_of_region(self) -> list[HostName]:
        live = {
            host.name
            for host in self._live_hosts()
            if host.region == self._region and host.state == _LIVE
        }
        return sorted(live | {self._name})
