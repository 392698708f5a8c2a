"""Division of an amount by demand, so that the least served is served best."""

from collections.abc import Mapping
from typing import TypeVar

Name = TypeVar("Name")


def max_min_shares(amount: float, demands: Mapping[Name, float]) -> dict[Name, float]:
    """Return the max-min fair shares: nobody gets more than asked for.

    What the modest leave is divided between the others in equal parts.
    """
    shares: dict[Name, float] = {}
    left = amount
    waiting = sorted(demands, key=lambda name: demands[name])
    while waiting:
        name = waiting.pop(0)
        share = min(demands[name], left / (len(waiting) + 1))
        shares[name] = share
        left -= share
    return shares


__all__ = ["max_min_shares"]
