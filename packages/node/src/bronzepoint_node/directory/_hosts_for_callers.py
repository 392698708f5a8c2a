"""Which entry hosts the callers of a region are named."""

import math
from collections.abc import Callable, Mapping

from bronzepoint_schema.generated.fleet import EntryHost, EntryState
from bronzepoint_schema.ids import RegionName

REMEMBERED = 6.0
"""Seconds for which a silent host is still named where no other one may be: longer
than a core host takes to hear of all after a cut or a start of its own, and shorter
than the time after which the platform counts a named host as dead."""

LEAST_NAMED = 1 / 3
"""Part of a region's hosts that is named at least. Were all that lag left out, the few
others would get so many callers that they lag next."""

KnownHosts = Callable[[float], list[EntryHost]]
"""Returns the entry hosts heard of within so many seconds."""


def hosts_for_callers(
    region: RegionName,
    known: KnownHosts,
    fresh: float,
    homes: Mapping[RegionName, int],
) -> list[EntryHost]:
    """Return the hosts that callers of a region may use; empty: none is known.

    The region's own hosts go first, but for those that lag: callers leave a host that
    isn't named any more, so that it gets less to do.

    Without any, callers are sent to a region that may serve what is home-bound. A
    region that is neither must not see those requests: one would notice callers that
    are refused there and come back in a crowd. So it is never named for a host name
    with home-bound routes, not even when nothing else is known; callers then keep what
    they were named before, or ask another directory.

    Args:
        region: Region of the callers.
        known: The entry hosts.
        fresh: Seconds for which word of a host is trusted.
        homes: How many home-bound routes each region may serve; empty: none is bound.
    """
    ready = _ready(known(fresh))
    near = [host for host in ready if host.region == region]
    if near:
        return _without_lagging(near)
    if not homes:
        return ready
    return _best_homes(ready, homes) or [
        host for host in _ready(known(REMEMBERED)) if host.region == region
    ]


def _without_lagging(hosts: list[EntryHost]) -> list[EntryHost]:
    """Return those that keep up, and as many others as must be named."""
    by_lag = sorted(hosts, key=lambda host: (host.lagging, host.name))
    keeping_up = sum(not host.lagging for host in hosts)
    return by_lag[: max(keeping_up, math.ceil(LEAST_NAMED * len(hosts)))]


def _best_homes(
    ready: list[EntryHost], homes: Mapping[RegionName, int]
) -> list[EntryHost]:
    """Return the hosts of those regions that may serve most home-bound routes."""
    served = {host.region: homes.get(host.region, 0) for host in ready}
    most = max(served.values(), default=0)
    if most == 0:
        return []
    return [host for host in ready if served[host.region] == most]


def _ready(hosts: list[EntryHost]) -> list[EntryHost]:
    return [host for host in hosts if host.state is EntryState.ready]
