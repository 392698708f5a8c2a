"""Random choice whose evenness grows with the age of the load information.

Addresses many hosts that choose at the same moment by the same late information: each
target gets the share of the requests that evens out the expected load.
"""

import bisect
import itertools
from random import Random

from bronzepoint_node.policy._aged_load import AgedLoad, fill_evenly

_SPREAD_FACTOR = 1.5
"""Multiple of the expected starts over which the draw evens out the load. With 1, hosts
would correct a difference completely within the age of the information, and the load
would oscillate."""
_GOLDEN_RATIO = (5**0.5 - 1) / 2
"""Step of the sequence; multiples of it are spread most evenly over the interval."""
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


class EvenSequence:
    """Numbers in [0, 1) that fill the interval more evenly than random ones.

    With random numbers, the requests that one host sends to a target within the age of
    the information vary by the root of their number. With this sequence they vary by
    about one, so that the sum over all hosts varies less, too.

    Args:
        rng: Source of the random start, which differs between hosts.
    """

    def __init__(self, rng: Random) -> None:
        self._last = rng.random()

    def draw(self, weights: list[float]) -> int:
        """Draw the index of one item."""
        self._last = (self._last + _GOLDEN_RATIO) % 1.0
        sums = list(itertools.accumulate(weights))
        return min(bisect.bisect(sums, self._last * sums[-1]), len(sums) - 1)


__all__ = ["EvenSequence", "spread_weights"]
