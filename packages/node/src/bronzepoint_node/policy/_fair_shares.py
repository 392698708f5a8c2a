"""Max-min fair division of an amount by demand."""

from collections.abc import Mapping
from typing import TypeVar

Name = TypeVar("Name")


def max_min_shares(amount: float, demands: Mapping[Name, float]) -> dict[Name, float]:
    """Return the max-min fair shares; no share exceeds its demand.

    What small demands leave unused is divided equally between the larger ones.
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
