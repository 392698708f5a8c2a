"""Whom this host learns from, and which hosts share its region."""

from collections.abc import Callable, Sequence
from typing import Protocol

from bronzepoint_common.clock import monotonic
from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_schema.generated.settings import Settings
from bronzepoint_schema.ids import HostName

from ._tree import LiveHost, parents

SKIP_FOR = 5.0
"""Seconds for which a parent that was silent or stale is not chosen again."""
_LIVE = "live"
_SECONDS = 2
"""Hosts asked for a second copy, in case one of them is about to fail."""


class Source(Protocol):
    """What the catalogue asks of the agreement."""

    def leader(self) -> HostName:
        """Return the leader known here; empty: none."""

    def leader_age(self) -> float | None:
        """Return the age of the leader's knowledge where this host leads."""

    def voters(self) -> list[HostName]:
        """Return the hosts that may vote."""


class Neighbours:
    """Chooses the hosts to ask for news.

    Args:
        settings: This host's settings.
        live_hosts: Returns the hosts that membership knows.

    Attributes:
        parent: Host asked last; empty: none, or this host leads.
    """

    def __init__(
        self, settings: Settings, live_hosts: Callable[[], Sequence[LiveHost]]
    ) -> None:
        self.parent = HostName("")
        self._name = settings.host.name
        self._region = settings.host.region
        self._live_hosts = live_hosts
        self._known = [
            HostName(name)
            for name, peer in settings.peers.items()
            if peer.region == self._region
        ]
        self._skipped: dict[HostName, float] = {}
        self._turn = 0

    def of_region(self) -> list[HostName]:
        """Return the other hosts of the region, from the settings and membership."""
        return sorted({*self._known, *self._live_of_region()} - {self._name})

    def seconds(self) -> list[HostName]:
        """Return the live hosts of the region to hold a second copy."""
        others = [h for h in self._live_of_region() if h != self._name]
        return rendezvous_order(self._name, others)[:_SECONDS]

    def skip(self, host: HostName) -> None:
        """Leave a host out for a while: it was silent, or its knowledge too old."""
        self._skipped[host] = monotonic() + SKIP_FOR

    def to_ask(self, source: Source, confirmed: bool) -> list[HostName]:
        """Return the hosts to ask now.

        Args:
            source: The agreement.
            confirmed: Whether the leader has confirmed the own view lately. While it
                hasn't, each possible parent is asked in turn, and one host of the
                region too, which may have learned something just before a cut.
        """
        candidates = self._candidates(source)
        if not candidates:
            self.parent = HostName("")
            return []
        now = monotonic()
        fresh = [c for c in candidates if self._skipped.get(c, 0.0) <= now]
        self.parent = fresh[0] if fresh else candidates[0]
        if confirmed:
            return [self.parent]
        self._turn += 1
        chosen = [candidates[self._turn % len(candidates)]]
        region = self.of_region()
        if region:
            chosen.append(region[self._turn % len(region)])
        return chosen

    def _candidates(self, source: Source) -> list[HostName]:
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
