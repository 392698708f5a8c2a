"""Combined view of the hosts for the other components of the process."""

from bronzepoint_node.membership._heartbeat import expand_revision
from bronzepoint_node.membership._host_table import HostTable
from bronzepoint_node.membership._region_table import RegionTable
from bronzepoint_node.membership._running_clock import RunningClock
from bronzepoint_node.membership._views import HostInfo, HostState
from bronzepoint_schema.generated.membership import HostRecord
from bronzepoint_schema.generated.settings import PeerSection
from bronzepoint_schema.ids import HostName, RegionName

_CACHE_LIFETIME = 0.1
"""Seconds for which the list of the own region's hosts is cached."""


class HostViews:
    """Combines data on hosts from gossip, reports of regions and the settings.

    Args:
        hosts: Hosts of this host's region.
        regions: Reports of regions.
        peers: Hosts in the settings.
        clock: Clock that excludes pauses of this process.
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

        This is called for each request, so the result is cached for
        `_CACHE_LIFETIME` seconds.

        Args:
            revision: This host's catalogue revision, used to expand the low bits of
                the other hosts' revisions.
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
        """Return the hosts that another region listed, and those of the settings."""
        summary = self._regions.summary(region)
        listed = {record.name: record for record in self._regions.hosts(region)}
        state = HostState.live if summary.reachable else HostState.suspect
        infos = [self._remote(record, state) for record in listed.values()]
        # If a region lists all its live hosts, its other hosts are dead. Before the
        # first report, or if its list is not complete, their state is unknown.
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
        """Return the address in the settings, or the gossiped one if there is none.

        A host may be reached at another address than the one it listens on, which can
        differ between hosts. So the operator's setting takes precedence.
        """
        listed = self._peers.get(name)
        return gossiped if listed is None else listed.http
