"""Arrival times of requests."""

import random
from collections.abc import Iterator


def arrival_times(rate: float, duration: float, seed: int) -> Iterator[float]:
    """Yield the arrival times of a Poisson process, in seconds after the start.

    Args:
        rate: Average requests a second.
        duration: Seconds after which no more requests arrive.
        seed: Seed of the random numbers; equal seeds give equal times.
    """
    rng = random.Random(seed)
    at = rng.expovariate(rate)
    while at < duration:
        yield at
        at += rng.expovariate(rate)
