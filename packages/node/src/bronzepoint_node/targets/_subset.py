"""Which targets of an entry this host watches and uses."""

from collections.abc import Sequence
from math import ceil

from bronzepoint_common.rendezvous import rendezvous_order
from bronzepoint_schema.ids import HostName, TargetName

SUBSET_SIZE = 24
"""Targets of one entry that a host sees on the average, where there are more."""
LEAST_WATCHERS = 2
_SPREAD = 1.5
"""A host sees at most this multiple of the average; rendezvous parts are uneven."""


def choose_subset(
    own: HostName, hosts: Sequence[HostName], targets: Sequence[TargetName]
) -> list[TargetName]:
    """Return the targets that one host uses, in a stable order.

    Each target is given to the hosts that come first for it by rendezvous, so each is
    seen by several hosts, and a host that dies changes only the sets of those that
    take its targets over. What a host keeps and polls thus has a bound that does not
    grow with the number of targets.
    """
    if len(targets) <= SUBSET_SIZE or len(hosts) <= 1:
        return list(targets)
    watchers = count_watchers(len(hosts), len(targets))
    most = ceil(_SPREAD * max(SUBSET_SIZE, watchers * len(targets) / len(hosts)))
    ranked: list[tuple[int, TargetName]] = []
    for target in targets:
        order = rendezvous_order(target, hosts)[:watchers]
        if own in order:
            ranked.append((order.index(own), target))
    # Where the bound cuts, it cuts targets that other hosts come before for.
    ranked.sort()
    chosen = {target for _, target in ranked[:most]}
    return [target for target in targets if target in chosen]


def count_watchers(hosts: int, targets: int) -> int:
    """Return the number of hosts that each target is given to."""
    wanted = ceil(SUBSET_SIZE * hosts / targets)
    return min(hosts, max(LEAST_WATCHERS, wanted))
