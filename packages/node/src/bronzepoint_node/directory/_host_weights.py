"""Selection of entry hosts for one caller, in proportion to their capacity.

Addresses the load of hosts that differ in size: a caller picks one of the returned
addresses at random, so a small host would get as many requests as a large one.
"""

from bronzepoint_common.rendezvous import rendezvous_weight
from bronzepoint_schema.generated.fleet import EntryHost

ROTATION_TIME = 60.0
"""Seconds after which another selection of hosts is returned to the same caller. Until
then it keeps its connections, which it closes when a host is no longer returned."""
MIN_HOSTS = 3
"""Minimum number of hosts that a caller gets, if there are as many: one of them may be
dead, another one cut off."""

_RANGE = 2.0**64


def hosts_by_capacity(
    hosts: list[EntryHost], caller: str, now: float
) -> list[EntryHost]:
    """Return the hosts that one caller gets.

    A host is returned to a share of the callers, namely its capacity relative to the
    largest one. Which ones follows from a hash of caller and host, so that the answers
    to one caller are stable, and equal at all directories. Hosts of unknown capacity
    are always returned.

    Args:
        hosts: Hosts that may be returned.
        caller: Address of the caller, without its port.
        now: Seconds of a clock that all hosts share approximately.
    """
    largest = max((host.capacity for host in hosts), default=0)
    if all(host.capacity in (0, largest) for host in hosts):
        return hosts
    key = f"{caller} {int(now // ROTATION_TIME)}"
    points = {host.name: _point(host, key, largest) for host in hosts}
    by_point = sorted(hosts, key=lambda host: points[host.name])
    selected = [host for host in by_point if points[host.name] < 1]
    return selected if len(selected) >= MIN_HOSTS else by_point[:MIN_HOSTS]


def _point(host: EntryHost, key: str, largest: int) -> float:
    """Return a number below 1 if the host is returned; lower ones take precedence."""
    if not host.capacity:
        return 0.0
    return rendezvous_weight(key, host.name) / _RANGE * largest / host.capacity
