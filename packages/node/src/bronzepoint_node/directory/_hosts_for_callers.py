"""Selection of entry hosts for the callers of a region."""

import math
from collections.abc import Callable, Mapping

from bronzepoint_schema.generated.fleet import EntryHost, EntryState
from bronzepoint_schema.ids import RegionName

FALLBACK_MAX_AGE = 6.0
"""Maximum seconds since the last report of a host, to return it when no other host may
be returned. It is longer than a core host takes to receive reports of all hosts after a
network partition or its own start, and shorter than the time after which the platform
considers a returned host dead."""

MIN_SHARE = 1 / 3
"""Minimum share of a region's hosts that is returned. If all lagging hosts were
omitted, the few others would get so many callers that they would lag next."""

RecentHosts = Callable[[float], list[EntryHost]]
"""Returns the entry hosts that reported within the given number of seconds."""


def hosts_for_callers(
    region: RegionName,
    recent_hosts: RecentHosts,
    max_age: float,
    homes: Mapping[RegionName, int],
) -> list[EntryHost]:
    """Return the hosts that callers of a region may use; empty: no host is available.

    Hosts of the region itself are preferred, without the lagging ones: callers leave a
    host that is no longer returned, which reduces its load.

    If the region has no hosts, callers are sent to a region that may serve home-bound
    routes. Other regions must not receive these requests: they would refuse them, and
    the refused callers would retry together. Such a region is therefore never returned
    for a host name with home-bound routes, even if no other host is known; callers then
    keep their previous list, or query another directory.

    Args:
        region: Region of the callers.
        recent_hosts: Source of the entry hosts.
        max_age: Maximum seconds since the last report of a host to be used.
        homes: Number of home-bound routes that each region may serve; empty: no route
            is home-bound.
    """
    ready = _ready_hosts(recent_hosts(max_age))
    local_hosts = [host for host in ready if host.region == region]
    if local_hosts:
        return _without_lagging(local_hosts)
    if not homes:
        return ready
    return _hosts_of_best_homes(ready, homes) or [
        host
        for host in _ready_hosts(recent_hosts(FALLBACK_MAX_AGE))
        if host.region == region
    ]


def _without_lagging(hosts: list[EntryHost]) -> list[EntryHost]:
    """Return the hosts that don't lag, and as many others as `MIN_SHARE` requires."""
    sorted_hosts = sorted(hosts, key=lambda host: (host.lagging, host.name))
    not_lagging = sum(not host.lagging for host in hosts)
    return sorted_hosts[: max(not_lagging, math.ceil(MIN_SHARE * len(hosts)))]


def _hosts_of_best_homes(
    ready: list[EntryHost], homes: Mapping[RegionName, int]
) -> list[EntryHost]:
    """Return the hosts of the regions that may serve the most home-bound routes."""
    served = {host.region: homes.get(host.region, 0) for host in ready}
    max_served = max(served.values(), default=0)
    if max_served == 0:
        return []
    return [host for host in ready if served[host.region] == max_served]


def _ready_hosts(hosts: list[EntryHost]) -> list[EntryHost]:
    return [host for host in hosts if host.state is EntryState.ready]
