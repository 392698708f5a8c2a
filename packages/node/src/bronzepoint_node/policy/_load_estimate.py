"""What is in progress at a target now, from exact own counts and late reports."""

import math

from bronzepoint_node.policy._inputs import TargetView

_SMOOTHING = 2.0
"""Requests added to both counts of the trend, so that a few don't swing it."""
_TREND_BOUND = 3.0


def reported_others(view: TargetView) -> float:
    """Return other hosts' requests in progress at the moment of the report."""
    return max(0.0, view.running + view.waiting - view.in_flight_at_report)


def own_trend(views: list[TargetView]) -> float:
    """Return how this host's own load has changed since the reports.

    Hosts of a region get alike arrivals, so the others' load has most likely moved
    like this host's own: it is the only news that is not late.
    """
    now = sum(view.in_flight for view in views)
    then = sum(view.in_flight_at_report for view in views)
    trend = (now + _SMOOTHING) / (then + _SMOOTHING)
    return min(_TREND_BOUND, max(1 / _TREND_BOUND, trend))


def estimate_loads(views: list[TargetView], memory: float) -> list[float]:
    """Return the requests in progress at each target, from all hosts.

    Own requests are counted exactly. What a report says of the others loses weight
    with its age and gives way to the mean over all targets. Taken at its word, a late
    report makes every host send to the target that was idle a while ago: all hosts
    move together, and the targets fill and empty in turns. One would notice it as load
    that swings with the period of the reports.

    Args:
        views: Targets of one entry.
        memory: Seconds after which a report weighs a third of what it did.
    """
    reported = [view for view in views if view.report_age < math.inf]
    slots = sum(view.slots for view in reported)
    per_slot = sum(reported_others(view) for view in reported) / slots if slots else 0.0
    per_slot *= own_trend(reported)
    loads = []
    for view in views:
        weight = math.exp(-view.report_age / memory)
        mean = per_slot * view.slots
        others = weight * reported_others(view) + (1 - weight) * mean
        loads.append(view.in_flight + others)
    return loads


__all__ = ["estimate_loads", "own_trend", "reported_others"]
