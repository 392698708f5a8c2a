"""Hosts that may keep origins, also while they are not reported."""

from collections.abc import Iterable

from bronzepoint_schema.generated.fleet import EntryHost, EntryState
from bronzepoint_schema.ids import HostName

from ._origin_table import ORIGIN_RETENTION


class KnownHosts:
    """Remembers reported hosts for as long as they may keep an origin.

    A host may be missing from reports although it is running: the core reports only a
    part of a large region, and may be silent itself.
    """

    def __init__(self) -> None:
        self._hosts: dict[HostName, tuple[EntryHost, float]] = {}

    def update(self, reported: Iterable[EntryHost], now: float) -> None:
        """Record the hosts that are reported at ``now``, in monotonic seconds."""
        for host in reported:
            self._hosts[host.name] = (host, now)
        self._hosts = {
            name: (host, at)
            for name, (host, at) in self._hosts.items()
            if at == now or _may_keep(host, now - at)
        }

    def all(self) -> list[EntryHost]:
        """Return the hosts that may keep an origin."""
        return [host for host, _ in self._hosts.values()]


def _may_keep(host: EntryHost, seconds: float) -> bool:
    """Return whether a host may keep an origin, seconds after its last report.

    A host that leaves tells its keepers before it ends.
    """
    return host.state is EntryState.ready and seconds < ORIGIN_RETENTION
