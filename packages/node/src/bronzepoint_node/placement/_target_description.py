"""Bounded description of a service's targets, for the log lines of refused requests."""

from collections import Counter
from heapq import nsmallest

from ._ask import PlacementRequest
from ._tracked_target import TrackedTarget, is_ejected, is_unresponsive

MAX_NAMED = 4
"""Maximum number of targets that are named, those with the most free slots. A line for
each refused request must not grow with the number of targets."""


def describe_targets(
    targets: list[TrackedTarget], request: PlacementRequest, now: float
) -> list[str]:
    """Return the known free capacity of the targets, the freest ones by name.

    Args:
        targets: Open targets of the request's service.
        request: The request that got none of them.
        now: Monotonic seconds.
    """
    if len(targets) <= MAX_NAMED:
        return [_describe(target, request, now) for target in targets]
    used = slots = with_room = 0
    by_room = []
    states: Counter[str] = Counter()
    for number, target in enumerate(targets):
        in_flight = target.load.in_flight(now)
        used += in_flight
        slots += target.slots
        with_room += in_flight < target.slots
        by_room.append((in_flight - target.slots, number))
        found = _states(target, request, now)
        if found:
            states.update(found)
    total = f"{len(targets)} targets {used}/{slots}, {with_room} with room"
    total += "".join(f", {count} {state}" for state, count in states.items())
    freest = nsmallest(MAX_NAMED, by_room)
    named = [_describe(targets[number], request, now) for _, number in freest]
    return [total, *named]


def _states(
    target: TrackedTarget, request: PlacementRequest, now: float
) -> tuple[str, ...]:
    """Return why a target may get no or fewer requests; nothing for most targets."""
    version = request.software_version
    states: tuple[str, ...] = ()
    if version and target.info.software_version != version:
        states += (f"of {target.info.software_version}",)
    if is_unresponsive(target, now):
        states += ("silent",)
    if is_ejected(target):
        states += ("ejected",)
    if now < target.cold_until:
        states += ("cold",)
    if target.limit.rate is not None:
        states += (f"limited to {target.limit.rate:g}/s",)
    if target.is_resting(now):
        states += ("rests",)
    limit = target.concurrency.limit
    if limit is not None and target.load.in_flight(now) >= limit:
        states += ("at its best concurrency",)
    if target.speed.reading_factor > 1:
        states += ("slow",)
    return states


def _describe(target: TrackedTarget, request: PlacementRequest, now: float) -> str:
    states = " ".join(_states(target, request, now))
    rest = f" {target.rests_until - now:.1f} s" if target.is_resting(now) else ""
    load = f"{target.load.in_flight(now)}/{target.slots}"
    return f"{target.info.incarnation} {load} {states}{rest}".rstrip()
