"""Random order of hosts, weighted by their spare load."""

from collections.abc import Sequence
from random import Random

from bronzepoint_node.membership import HostInfo

_LEAST_SPARE = 0.05
"""Weight of a full host: what is known of its load is seconds old."""


def spread(hosts: Sequence[HostInfo], rng: Random) -> list[HostInfo]:
    """Return the hosts in an order that is drawn anew for each caller.

    A host comes first with a chance in proportion to its spare load, and so on for
    the rest of the order. Were they sorted by load, all callers that ask within the
    time of one load report would go to the same host; were the order fixed, all
    callers of a host that fails would move to the same next one and overload it too.
    """
    keyed = [(rng.random() ** (1 / _spare(info)), info) for info in hosts]
    keyed.sort(key=lambda item: item[0], reverse=True)
    return [info for _, info in keyed]


def _spare(info: HostInfo) -> float:
    return max(_LEAST_SPARE, 1.0 - info.load)
