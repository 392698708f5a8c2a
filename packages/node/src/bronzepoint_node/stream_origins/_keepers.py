"""Selection of the hosts that keep where streams began, and of those to ask."""

from collections import defaultdict
from collections.abc import Iterable

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_schema.generated.fleet import EntryHost
from bronzepoint_schema.ids import HostName, RegionName

LOCAL_KEEPERS = 2
"""Other hosts of the region that keep the streams of a host."""


def keepers(
    hosts: Iterable[EntryHost], region: RegionName, name: HostName
) -> list[HostName]:
    """Return the hosts that keep the streams of a host: some here, one elsewhere.

    They are the same for all streams of a host, so that one message tells of many.
    """
    by_region = _by_region(hosts)
    local = [host for host in by_region.pop(region, []) if host != name]
    chosen = rendezvous_order(name, local)[:LOCAL_KEEPERS]
    for other in rendezvous_order(name, by_region)[:1]:
        chosen += rendezvous_order(name, by_region[other])[:1]
    return chosen


def local_hosts(
    hosts: Iterable[EntryHost], region: RegionName, name: HostName
) -> list[HostName]:
    """Return the other known hosts of a region, all of which may be keepers.

    In a large region a host knows only those that all hosts of the region know.
    """
    return [h.name for h in hosts if h.region == region and h.name != name]


def remote_hosts(
    hosts: Iterable[EntryHost], region: RegionName
) -> dict[RegionName, list[HostName]]:
    """Return the known hosts of the other regions."""
    by_region = _by_region(hosts)
    by_region.pop(region, None)
    return by_region


def _by_region(hosts: Iterable[EntryHost]) -> dict[RegionName, list[HostName]]:
    found: dict[RegionName, list[HostName]] = defaultdict(list)
    for host in hosts:
        found[host.region].append(host.name)
    return found
