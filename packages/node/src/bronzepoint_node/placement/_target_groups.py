"""Groups of a service's targets, which bound the cost of one choice."""

import random

from xxhash import xxh64_intdigest

from bronzepoint_common.rendezvous import rendezvous_order

from ._tracked_target import TrackedTarget

MAX_UNGROUPED = 64
"""Number of targets of a service up to which each choice considers all of them."""
MAX_GROUP_SIZE = 32
"""Approximate maximum number of targets in a group."""
MAX_GROUPS = 3
"""Number of groups that a choice considers before it reports that there is no free
capacity."""

Group = list[TrackedTarget]


def group_targets(targets: list[TrackedTarget]) -> list[Group]:
    """Return the targets in groups, assigned by a hash of their names.

    The number of groups is a power of two. It changes rarely, and then splits or merges
    groups, so that most shared parts of prompts stay cached in the groups that their
    requests are placed in.
    """
    if len(targets) <= MAX_UNGROUPED:
        return [targets]
    count = 1
    while len(targets) > MAX_GROUP_SIZE * count:
        count *= 2
    groups: list[Group] = [[] for _ in range(count)]
    for target in targets:
        digest = xxh64_intdigest(target.info.incarnation.encode())
        groups[digest % count].append(target)
    return groups


def order_groups(groups: list[Group], key: str, rng: random.Random) -> list[Group]:
    """Return the groups for one request, in order of preference.

    Args:
        groups: All groups of a service.
        key: Name of the part that the request shares; empty if none.
        rng: Random number generator for requests without a shared part.
    """
    if len(groups) == 1:
        return groups
    if not key:
        return rng.sample(groups, min(MAX_GROUPS, len(groups)))
    # A popular part that fills its first group overflows to the same few others.
    order = rendezvous_order(key, map(str, range(len(groups))))
    return [groups[int(name)] for name in order[:MAX_GROUPS]]
