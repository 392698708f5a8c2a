"""Directory of hosts for callers, used instead of a load balancer."""

from random import Random

from bronzepoint_node.directory._spread import spread
from bronzepoint_node.membership import HostInfo, HostState, Membership, RegionSummary
from bronzepoint_schema.generated.admin import DirectoryAnswer, DirectoryHost
from bronzepoint_schema.ids import RegionName

MAX_HOME_HOSTS = 8
"""Maximum number of hosts of the home region in an answer."""
MAX_REMOTE_HOSTS = 2
"""Maximum number of hosts of each other region in an answer."""
_UNKNOWN_RTT = 1e6
"""Seconds assumed as the round trip to a region without a measurement."""


class Directory:
    """Returns the hosts that a caller should try, in order.

    Args:
        membership: Source of the hosts and their states.
        ttl: Seconds for which a caller may use an answer.
        rng: Source of random numbers for the order; None: a new one.
    """

    def __init__(
        self, membership: Membership, ttl: float, rng: Random | None = None
    ) -> None:
        self._membership = membership
        self._ttl = ttl
        self._rng = Random() if rng is None else rng

    def hosts_for(self, caller_home: RegionName) -> DirectoryAnswer:
        """Return the hosts for a caller: nearest region first, random order within it.

        Live hosts of the home region come first, then live hosts of other reachable
        regions, then unresponsive hosts of the home region. Draining and dead hosts are
        omitted: a host that is shutting down must get no new callers.
        """
        summaries = self._membership.regions()
        order = self._region_order(caller_home, summaries)
        chosen: list[HostInfo] = []
        for region in order:
            count = MAX_HOME_HOSTS if region == order[0] else MAX_REMOTE_HOSTS
            chosen += self._select(region, HostState.live, count)
        chosen += self._select(order[0], HostState.suspect, MAX_HOME_HOSTS)
        hosts = [DirectoryHost(i.name, i.region, i.http) for i in chosen]
        return DirectoryAnswer(hosts, self._ttl)

    def _region_order(
        self, home: RegionName, summaries: dict[RegionName, RegionSummary]
    ) -> list[RegionName]:
        """Return the reachable regions: the caller's, this host's, the others by RTT.

        Round-trip times are measured from this host's region. Unreachable regions are
        omitted, although a caller might reach them: if it can't, it would wait for
        connections that never open.
        """
        own = self._membership.region
        reachable = [s for s in summaries.values() if s.reachable or s.name == own]

        def distance(summary: RegionSummary) -> tuple[bool, bool, float]:
            return (
                summary.name != home,
                summary.name != own,
                summary.trip or _UNKNOWN_RTT,
            )

        return [summary.name for summary in sorted(reachable, key=distance)]

    def _select(
        self, region: RegionName, state: HostState, count: int
    ) -> list[HostInfo]:
        hosts = [i for i in self._membership.hosts(region) if i.state is state]
        return spread(hosts, self._rng)[:count]
