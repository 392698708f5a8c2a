"""Random order of hosts, weighted by their spare capacity."""

from collections.abc import Sequence
from random import Random

from bronzepoint_node.membership import HostInfo

_MIN_WEIGHT = 0.05
"""Weight of a fully loaded host. It isn't zero, as load reports are seconds old."""


def spread(hosts: Sequence[HostInfo], rng: Random) -> list[HostInfo]:
    """Return the hosts in a random order, drawn separately for each caller.

    The probability of a host to come first is proportional to its spare capacity, and
    so on for the rest of the order. If hosts were sorted by load, all callers that
    query between two load reports would use the same host. If the order were fixed, all
    callers of a failed host would move to the same next one and overload it too.
    """
    keyed = [(rng.random() ** (1 / _weight(info)), info) for info in hosts]
    keyed.sort(key=lambda item: item[0], reverse=True)
    return [info for _, info in keyed]


def _weight(info: HostInfo) -> float:
    return max(_MIN_WEIGHT, 1.0 - info.load)
