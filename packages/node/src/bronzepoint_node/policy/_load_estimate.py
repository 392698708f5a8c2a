"""Estimate of the load of targets from exact local counts and late reports."""

import math

from bronzepoint_node.policy._inputs import TargetView

_TREND_SMOOTHING_REQUESTS = 2.0
"""Requests added to both counts of the trend, so that small counts don't distort it."""
_MAX_TREND = 3.0
"""Largest factor of the trend; its inverse is the smallest one."""


def reported_others(view: TargetView) -> float:
    """Return other hosts' requests in progress at the moment of the report."""
    return max(0.0, view.running + view.waiting - view.in_flight_at_report)


def own_load_trend(
    views: list[TargetView], smoothing: float = _TREND_SMOOTHING_REQUESTS
) -> float:
    """Return the factor by which this host's own load has changed since the reports.

    Hosts of a region receive similar arrivals, so the load of the others has most
    likely changed like this host's own, the only one that is known without delay.

    Args:
        views: Targets of one entry.
        smoothing: Requests added to both counts.
    """
    now = sum(view.in_flight for view in views)
    then = sum(view.in_flight_at_report for view in views)
    trend = (now + smoothing) / (then + smoothing)
    return min(_MAX_TREND, max(1 / _MAX_TREND, trend))


def estimate_loads(views: list[TargetView], report_memory: float) -> list[float]:
    """Estimate the requests in progress at each target, from all hosts.

    Own requests are counted exactly. The reported number of other hosts' requests
    loses weight with its age, in favour of the mean over all targets. Without this,
    all hosts would send to the target that a late report shows as idle, and the load
    of the targets would oscillate with the period of the reports.

    Args:
        views: Targets of one entry.
        report_memory: Seconds after which a report's weight has decayed to 1/e.
    """
    reported = [view for view in views if view.report_age < math.inf]
    slots = sum(view.slots for view in reported)
    per_slot = sum(reported_others(view) for view in reported) / slots if slots else 0.0
    per_slot *= own_load_trend(reported)
    loads = []
    for view in views:
        weight = math.exp(-view.report_age / report_memory)
        mean = per_slot * view.slots
        others = weight * reported_others(view) + (1 - weight) * mean
        loads.append(view.in_flight + others)
    return loads


__all__ = ["estimate_loads", "own_load_trend", "reported_others"]
