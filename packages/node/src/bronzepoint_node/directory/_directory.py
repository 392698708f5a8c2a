"""The directory that callers ask, in place of a balancer before the hosts."""

from random import Random

from bronzepoint_node.directory._spread import spread
from bronzepoint_node.membership import HostInfo, HostState, Membership, RegionSummary
from bronzepoint_schema.generated.admin import DirectoryAnswer, DirectoryHost
from bronzepoint_schema.ids import RegionName

HOME_HOSTS = 8
AWAY_HOSTS = 2
"""Most hosts that an answer names of the home region, and of each other one."""
_UNKNOWN_TRIP = 1e6


class Directory:
    """Names the hosts that a caller should try, in order.

    Args:
        membership: Which hosts are there, and how they are.
        ttl: Seconds after which a caller should ask again.
        rng: Source of the order; by default a new one for each process.
    """

    def __init__(
        self, membership: Membership, ttl: float, rng: Random | None = None
    ) -> None:
        self._membership = membership
        self._ttl = ttl
        self._rng = Random() if rng is None else rng

    def hosts_for(self, caller_home: RegionName) -> DirectoryAnswer:
        """Return the hosts for a caller, nearest first, spread within each region.

        Live hosts of the home region come first, then those of other regions that are
        reachable, then hosts of the home region that are silent. Draining and dead
        hosts are left out: a host that is about to close must get no new callers.
        """
        summaries = self._membership.regions()
        order = self._region_order(caller_home, summaries)
        chosen: list[HostInfo] = []
        for region in order:
            count = HOME_HOSTS if region == order[0] else AWAY_HOSTS
            chosen += self._pick(region, HostState.live, count)
        chosen += self._pick(order[0], HostState.suspect, HOME_HOSTS)
        hosts = [DirectoryHost(i.name, i.region, i.http) for i in chosen]
        return DirectoryAnswer(hosts, self._ttl)

    def _region_order(
        self, home: RegionName, summaries: dict[RegionName, RegionSummary]
    ) -> list[RegionName]:
        """Return the reachable regions: the caller's, this host's, the others by trip.

        Distances are measured from this host's region. Of a region that isn't
        reachable, the hosts are not named, though a caller might reach them: who
        trusts this answer would wait for connections that never open.
        """
        own = self._membership.region
        reachable = [s for s in summaries.values() if s.reachable or s.name == own]

        def distance(summary: RegionSummary) -> tuple[bool, bool, float]:
            return (
                summary.name != home,
                summary.name != own,
                summary.trip or _UNKNOWN_TRIP,
            )

        return [summary.name for summary in sorted(reachable, key=distance)]

    def _pick(self, region: RegionName, state: HostState, count: int) -> list[HostInfo]:
        hosts = [i for i in self._membership.hosts(region) if i.state is state]
        return spread(hosts, self._rng)[:count]
