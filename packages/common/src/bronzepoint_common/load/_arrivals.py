"""Moments at which requests are sent."""

import random
from collections.abc import Iterator


def arrival_times(rate: float, duration: float, seed: int) -> Iterator[float]:
    """Yield the moments of a Poisson process, in seconds after the start.

    Args:
        rate: Requests a second on average.
        duration: Seconds after which there are no more.
        seed: The same seed gives the same moments.
    """
    rng = random.Random(seed)
    at = rng.expovariate(rate)
    while at < duration:
        yield at
        at += rng.expovariate(rate)
