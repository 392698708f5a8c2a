"""The distribution tree of changes: voters, a few relays per region, all other hosts.

With 360 hosts, no host may serve more than a dozen others, and a change must pass few
hops. Every host computes the same relays from the live hosts that it knows. If the sets
of known hosts differ for a while, each host still finds a working parent.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_schema.ids import HostName, RegionName

_MAX_DIRECT_HOSTS = 8
"""Number of other hosts in a region up to which its voters serve them directly."""
_HOSTS_PER_RELAY = 12
"""Intended number of hosts per relay."""
_MIN_RELAYS = 2
"""Minimum number of relays in a region that needs any."""


class LiveHost(Protocol):
    """The fields of a host in the membership list that are used here."""

    name: HostName
    region: RegionName
    state: str


def relays(
    region: RegionName, hosts: Sequence[HostName], voters: Iterable[HostName]
) -> list[HostName]:
    """Return the hosts of a region that distribute changes to its other hosts."""
    voting = [host for host in hosts if host in set(voters)]
    others = [host for host in hosts if host not in voting]
    if voting and len(others) <= _MAX_DIRECT_HOSTS:
        return voting
    count = max(_MIN_RELAYS, -(-len(others) // _HOSTS_PER_RELAY))
    return rendezvous_order(region, others)[:count]


def parents(
    host: HostName,
    region: RegionName,
    region_hosts: Sequence[HostName],
    voters: Sequence[HostName],
    leader: HostName,
) -> list[HostName]:
    """Return the possible parents of a host, best first.

    Args:
        host: The host that polls.
        region: Its region.
        region_hosts: Live hosts of its region, itself included.
        voters: All voters.
        leader: The leader, if known; voters poll it first.
    """
    others = [voter for voter in rendezvous_order(host, voters) if voter != host]
    if host in voters:
        return sorted(others, key=lambda voter: voter != leader)
    region_relays = relays(region, region_hosts, voters)
    if host in region_relays:
        return others
    first = rendezvous_order(host, region_relays)
    return first + [voter for voter in others if voter not in first]
