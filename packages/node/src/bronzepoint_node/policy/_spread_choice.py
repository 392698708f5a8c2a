"""Random choice whose evenness grows with the age of the load information.

Addresses many hosts that choose at the same moment by the same late information: each
target gets the share of the requests that evens out the expected load.
"""

from random import Random

from bronzepoint_node.policy._aged_load import AgedLoad, fill_evenly

_SPREAD_FACTOR = 1.5
"""Multiple of the expected starts over which the draw evens out the load. With 1, hosts
would correct a difference completely within the age of the information, and the load
would oscillate."""
_MAX_FILLED = 0.8
"""Maximum share of all room over which the draw evens out the load. Beyond it, only the
room would count, and not where a prompt is cached."""
_MIN_BOUND = 0.5
"""Requests that a target with free capacity may always get."""


def spread_weights(
    scores: list[float],
    slopes: list[float],
    loads: list[AgedLoad],
    room: list[float],
) -> list[float]:
    """Return the weight of each target in the draw.

    Without starts of other hosts, only targets within one request of the best have a
    weight. With many, the weights approach the rates at which the targets can start
    requests.

    Args:
        scores: Score of each target in seconds, at its expected load; lower is better.
        slopes: Seconds by which one request raises each score.
        loads: Estimated loads.
        room: Requests that each target may still start, without the expected starts.
    """
    heights = [
        score - load.starts * slope
        for score, load, slope in zip(scores, loads, slopes, strict=True)
    ]
    bounds = [max(_MIN_BOUND, free) for free in room]
    amount = 1 + _SPREAD_FACTOR * sum(load.starts for load in loads)
    amount = min(amount, _MAX_FILLED * sum(bounds))
    shares = fill_evenly(heights, slopes, amount, bounds)
    return [share * load.turnover for share, load in zip(shares, loads, strict=True)]


def draw_index(weights: list[float], rng: Random) -> int:
    """Draw the index of one item."""
    return rng.choices(range(len(weights)), weights=weights)[0]


__all__ = ["draw_index", "spread_weights"]
