"""Estimate of the load of targets now, from load information of some age.

Addresses many hosts that choose at the same moment by the same late information, so
that the target that was idle then is overrun while others are idle.
"""

import math

from msgspec import Struct

from bronzepoint_node.policy._inputs import TargetView
from bronzepoint_node.policy._load_estimate import own_load_trend, reported_others

MAX_AGE_SECONDS = 5.0
"""Largest age that is distinguished. Older information counts as missing."""
_MIN_HOLD_SECONDS = 0.001
_TREND_SMOOTHING_REQUESTS = 20.0
"""Requests added to both counts of the trend. Among many hosts each has few requests in
progress, whose number doubles or halves by chance."""


class AgedLoad(Struct):
    """The load of one target, by information of some age.

    Attributes:
        certain: requests in progress that started before the information was taken,
            without those that have ended since by their expected duration, and all
            requests of this host.
        starts: expected requests of other hosts that have started since and are still
            in progress.
        turnover: expected starts in that time for each of them that is in progress.
        hold: expected seconds for which a request occupies a slot.
        is_guess: nothing was reported, so the starts are extrapolated from this host's
            own requests.
    """

    certain: float
    starts: float
    turnover: float
    hold: float
    is_guess: bool = False

    @property
    def occupied(self) -> float:
        """Return the number of slots that count as in use.

        A guess makes no target full: one own request may stand for any number of
        others, and callers would be refused although targets are idle.
        """
        return self.certain if self.is_guess else self.load

    @property
    def load(self) -> float:
        """Return the expected number of requests in progress."""
        return self.certain + self.starts


def information_age(view: TargetView) -> float:
    """Return the age in seconds of what is known of other hosts' requests.

    Information from the future stems from another host's clock, which differs by at
    least that much, so it counts as old as it is ahead. inf: there is none.
    """
    age = abs(view.report_age)
    return age if age <= MAX_AGE_SECONDS else math.inf


def estimate_aged_loads(
    views: list[TargetView], holds: list[float], choosers: int
) -> list[AgedLoad]:
    """Estimate the requests in progress at each target, from all hosts.

    Own requests count exactly. Of those reported by others, the part that is expected
    to have ended by now is subtracted. As many as have ended have started elsewhere, in
    proportion to the change of this host's own load; they are assumed where they even
    out the load, since the other hosts choose by the same estimate.

    Args:
        views: Targets of one service.
        holds: Expected seconds for which a request occupies a slot, by target.
        choosers: Number of hosts that choose targets, this one included.
    """
    ages = [information_age(view) for view in views]
    known = [v for v, age in zip(views, ages, strict=True) if age < math.inf]
    if known:
        trend = own_load_trend(known, _TREND_SMOOTHING_REQUESTS)
        slots = sum([view.slots for view in known])
        per_slot = sum([reported_others(view) for view in known]) / max(1, slots)
    else:
        # Hosts of a region receive similar arrivals.
        trend = 1.0
        slots = sum([view.slots for view in views])
        own = sum([view.in_flight for view in views])
        per_slot = own * (choosers - 1) / max(1, slots)
    loads, total = [], 0.0
    for view, age, hold in zip(views, ages, holds, strict=True):
        if age < math.inf:
            others = reported_others(view)
            elapsed = age / max(hold, _MIN_HOLD_SECONDS)
            ended_share = -math.expm1(-elapsed)
            ended = others * ended_share
        else:
            others = ended = per_slot * view.slots
            elapsed = MAX_AGE_SECONDS / max(hold, _MIN_HOLD_SECONDS)
            ended_share = -math.expm1(-elapsed)
        total += ended * trend
        turnover = elapsed / ended_share if ended_share else 1.0
        certain = view.in_flight + others - ended
        loads.append(AgedLoad(certain, 0.0, turnover, hold, not known))
    heights = [
        load.certain / view.slots for load, view in zip(loads, views, strict=True)
    ]
    shares = fill_evenly(heights, [1 / view.slots for view in views], total)
    for load, share in zip(loads, shares, strict=True):
        load.starts = share
    return loads


def fill_evenly(
    heights: list[float],
    slopes: list[float],
    amount: float,
    bounds: list[float] | None = None,
) -> list[float]:
    """Divide an amount so that the lowest heights rise to one level.

    Args:
        heights: Height of each item before.
        slopes: By how much one unit raises each item.
        amount: Units to divide.
        bounds: Maximum units of each item; the rest is not divided.
    """
    points = [
        (height, 1 / slope) for height, slope in zip(heights, slopes, strict=True)
    ]
    if bounds is not None:
        points += [
            (height + bound * slope, -1 / slope)
            for height, slope, bound in zip(heights, slopes, bounds, strict=True)
        ]
    points.sort()
    level, width = points[0][0] if points else 0.0, 0.0
    for height, change in points:
        if width > 0 and amount < (height - level) * width:
            break
        amount -= (height - level) * width
        level, width = height, width + change
    if width > 1e-9:
        level += amount / width
    shares = [
        max(0.0, level - h) / slope for h, slope in zip(heights, slopes, strict=True)
    ]
    if bounds is None:
        return shares
    return [min(share, bound) for share, bound in zip(shares, bounds, strict=True)]


__all__ = [
    "MAX_AGE_SECONDS",
    "AgedLoad",
    "estimate_aged_loads",
    "fill_evenly",
    "information_age",
]
