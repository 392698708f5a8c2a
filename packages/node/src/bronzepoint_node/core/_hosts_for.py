"""Which of the live entry hosts one of them is told."""

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_schema.generated.fleet import EntryHost, EntryState
from bronzepoint_schema.ids import HostName, RegionName

MOST_ELSEWHERE = 6
"""Ready hosts told of each other region: a request is forwarded four times at most, and
one of them may be dead."""


def hosts_for(asking: EntryHost, live: list[EntryHost]) -> list[EntryHost]:
    """Return the hosts of the asking one's region, and a few of each other region.

    Told all, a host would hear the more the larger the fleet is. The few are the same
    each time, or it would take a host for lost that was only not mentioned lately; and
    they differ between the asking hosts, so that forwarded requests spread over all.

    Args:
        asking: The host that is told.
        live: All entry hosts that live.
    """
    told = [host for host in live if host.region == asking.region]
    elsewhere: dict[RegionName, dict[HostName, EntryHost]] = {}
    for host in live:
        if host.region != asking.region:
            elsewhere.setdefault(host.region, {})[host.name] = host
    for hosts in elsewhere.values():
        told += _first_ready([hosts[n] for n in rendezvous_order(asking.name, hosts)])
    return told


def _first_ready(hosts: list[EntryHost]) -> list[EntryHost]:
    """Return hosts up to the last of the wanted ready ones.

    Those that leave stay among them: no longer named, a host counts as lost, and the
    requests that it still works on would be sent elsewhere again.
    """
    ready = 0
    for count, host in enumerate(hosts, start=1):
        ready += host.state is EntryState.ready
        if ready == MOST_ELSEWHERE:
            return hosts[:count]
    return hosts
