"""Who learns of changes from whom: voters, a few relays a region, the rest.

With 360 hosts no host may serve more than a dozen others, and a change must pass
few hops. Every host computes the same relays from the live hosts that it knows;
where two hosts know different ones for a while, they still find a parent that works.
"""

from collections.abc import Iterable, Sequence
from typing import Protocol

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_schema.ids import HostName, RegionName

_FEW = 8
"""Hosts of a region up to which its voters serve them without relays between."""
_CHILDREN = 12
"""Hosts that one relay is meant to serve."""
_MIN_RELAYS = 2


class LiveHost(Protocol):
    """What is needed of a host in the membership list."""

    name: HostName
    region: RegionName
    state: str


def relays(
    region: RegionName, hosts: Sequence[HostName], voters: Iterable[HostName]
) -> list[HostName]:
    """Return the hosts of a region that the others of it learn from."""
    voting = [host for host in hosts if host in set(voters)]
    others = [host for host in hosts if host not in voting]
    if voting and len(others) <= _FEW:
        return voting
    count = max(_MIN_RELAYS, -(-len(others) // _CHILDREN))
    return rendezvous_order(region, others)[:count]


def parents(
    host: HostName,
    region: RegionName,
    region_hosts: Sequence[HostName],
    voters: Sequence[HostName],
    leader: HostName,
) -> list[HostName]:
    """Return the hosts to learn from, best first.

    Args:
        host: The host that asks.
        region: Its region.
        region_hosts: Live hosts of its region, itself included.
        voters: All voters.
        leader: The leader, if known; voters ask it first.
    """
    others = [voter for voter in rendezvous_order(host, voters) if voter != host]
    if host in voters:
        return sorted(others, key=lambda voter: voter != leader)
    region_relays = relays(region, region_hosts, voters)
    if host in region_relays:
        return others
    first = rendezvous_order(host, region_relays)
    return first + [voter for voter in others if voter not in first]
