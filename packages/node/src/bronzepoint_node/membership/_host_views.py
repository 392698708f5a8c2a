"""Hosts as the rest of the process sees them."""

from bronzepoint_node.membership._host_table import HostTable
from bronzepoint_node.membership._pulse import expand_revision
from bronzepoint_node.membership._region_table import RegionTable
from bronzepoint_node.membership._running_clock import RunningClock
from bronzepoint_node.membership._views import HostInfo, HostState
from bronzepoint_schema.generated.membership import HostRecord
from bronzepoint_schema.generated.settings import PeerSection
from bronzepoint_schema.ids import HostName, RegionName

_CACHE_LIFETIME = 0.1


class HostViews:
    """Puts together what gossip, reports and settings say of hosts.

    Args:
        hosts: Hosts of this host's region.
        regions: Reports of regions.
        peers: Hosts that the settings name.
        clock: Time in which this process ran.
    """

    def __init__(
        self,
        hosts: HostTable,
        regions: RegionTable,
        peers: dict[str, PeerSection],
        clock: RunningClock,
    ) -> None:
        self._hosts = hosts
        self._regions = regions
        self._peers = peers
        self._clock = clock
        self._cached: list[HostInfo] = []
        self._cached_version = -1
        self._cached_until = 0.0

    def own_region(self, revision: int) -> list[HostInfo]:
        """Return all known hosts of this host's region.

        Each request asks; what it gets may be `_CACHE_LIFETIME` seconds old.

        Args:
            revision: This host's catalogue revision, near which the others' are.
        """
        now = self._clock.now()
        if self._cached_version != self._hosts.version or now >= self._cached_until:
            infos = self._hosts.infos()
            self._cached = [self._complete(info, revision) for info in infos]
            self._cached_version = self._hosts.version
            self._cached_until = now + _CACHE_LIFETIME
        return list(self._cached)

    def other_region(
        self, region: RegionName, seeds: list[HostRecord]
    ) -> list[HostInfo]:
        """Return the hosts that another region named, and those of the settings."""
        summary = self._regions.summary(region)
        listed = {record.name: record for record in self._regions.hosts(region)}
        state = HostState.live if summary.reachable else HostState.suspect
        infos = [self._remote(record, state) for record in listed.values()]
        # A region that lists all its live hosts has lost the others; before the first
        # report, or behind a short list, nothing is known of them.
        all_listed = summary.reachable and summary.live <= len(listed)
        rest = HostState.dead if all_listed else HostState.suspect
        for record in seeds:
            if record.name not in listed:
                infos.append(self._remote(record, rest))
        return infos

    def _complete(self, info: HostInfo, revision: int) -> HostInfo:
        info.revision = expand_revision(info.revision, revision)
        info.http = self._http_address(info.name, info.http)
        return info

    def _remote(self, record: HostRecord, state: HostState) -> HostInfo:
        return HostInfo(
            name=record.name,
            region=record.region,
            data_center=record.data_center,
            http=self._http_address(record.name, record.http),
            state=state,
            incarnation=record.incarnation,
        )

    def _http_address(self, name: HostName, gossiped: str) -> str:
        """Return the address of the settings, where they name the host.

        How a host is reached can differ from where it listens, and from one host to
        the next; what the operator wrote goes before what the host says.
        """
        listed = self._peers.get(name)
        return gossiped if listed is None else listed.http
