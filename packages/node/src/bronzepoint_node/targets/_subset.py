"""Selection of the targets of an entry that a host watches and uses."""

from collections.abc import Sequence
from math import ceil

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_schema.ids import HostName, TargetName

SUBSET_SIZE = 24
"""Average number of targets of one entry that a host uses, where there are more."""
MIN_WATCHERS = 2
"""Number of hosts that watch each target at least."""
_MAX_SIZE_FACTOR = 1.5
"""Largest subset as a multiple of the average; rendezvous subsets are uneven."""


def choose_subset(
    own: HostName, hosts: Sequence[HostName], targets: Sequence[TargetName]
) -> list[TargetName]:
    """Return the targets that one host uses, in a stable order.

    Each target is assigned to the hosts that rank first for it by rendezvous hashing.
    Several hosts thus watch each target, and the loss of a host changes only the
    subsets of the hosts that take over its targets. What a host keeps and polls is
    bounded, whatever the number of targets.
    """
    if len(targets) <= SUBSET_SIZE or len(hosts) <= 1:
        return list(targets)
    watchers = count_watchers(len(hosts), len(targets))
    max_size = ceil(
        _MAX_SIZE_FACTOR * max(SUBSET_SIZE, watchers * len(targets) / len(hosts))
    )
    ranked: list[tuple[int, TargetName]] = []
    for target in targets:
        order = rendezvous_order(target, hosts)[:watchers]
        if own in order:
            ranked.append((order.index(own), target))
    # The bound drops the targets for which other hosts rank higher.
    ranked.sort()
    chosen = {target for _, target in ranked[:max_size]}
    return [target for target in targets if target in chosen]


def count_watchers(hosts: int, targets: int) -> int:
    """Return the number of hosts that each target is assigned to."""
    wanted = ceil(SUBSET_SIZE * hosts / targets)
    return min(hosts, max(MIN_WATCHERS, wanted))
