"""Seeded arrivals: daily peaks, skewed prompts with shared prefixes, worths."""

import math
from collections.abc import Sequence
from random import Random

from msgspec import Struct

PREFIXES = 16
PREFIX_WORDS = 530
"""Words of a shared prefix; with its blanks about 800 tokens."""
_SKEW = 1.1
_SUFFIX_WORDS = (4, 40)
_TOKENS = (12, 36)
_WORTHS = ((1.0, 0.6), (4.0, 0.3), (16.0, 0.1))
"""Worth of an answer, and the share of requests that have it."""


class Arrival(Struct, frozen=True):
    """One request to be sent.

    Attributes:
        at: seconds after the start.
        home: region of the caller.
        owner: organisation of the caller.
        host: which of the region's hosts the caller uses, 0 to 1.
    """

    at: float
    home: str
    owner: str
    host: float
    prompt: str
    max_tokens: int
    worth: float


class Stream(Struct, frozen=True):
    """Requests of one owner in one region.

    Attributes:
        rate: requests a second on average.
        swing: part of the rate by which the day's wave moves it.
        phase: part of the day by which this region's peak comes later.
        day: seconds of one day.
        begin: seconds at which it begins.
        end: seconds at which it ends.
    """

    home: str
    owner: str
    rate: float
    swing: float = 0.0
    phase: float = 0.0
    day: float = 60.0
    begin: float = 0.0
    end: float = math.inf

    def rate_at(self, at: float) -> float:
        """Return the requests a second at a moment."""
        if not self.begin <= at < self.end:
            return 0.0
        wave = math.sin(2 * math.pi * (at / self.day - self.phase))
        return self.rate * (1 + self.swing * wave)


def draw_arrivals(
    streams: Sequence[Stream], duration: float, seed: int
) -> list[Arrival]:
    """Draw the arrivals of all streams, in the order of time.

    The same seed gives the same arrivals, whatever serves them.
    """
    arrivals: list[Arrival] = []
    prefixes = [_words(Random(f"prefix {i}"), PREFIX_WORDS) for i in range(PREFIXES)]
    for number, stream in enumerate(streams):
        rng = Random(f"{seed} {number} {stream.home} {stream.owner}")
        most = stream.rate * (1 + stream.swing)
        at = rng.expovariate(most)
        while at < duration:
            if rng.random() * most < stream.rate_at(at):
                arrivals.append(_draw(rng, stream, at, prefixes))
            at += rng.expovariate(most)
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _draw(rng: Random, stream: Stream, at: float, prefixes: list[str]) -> Arrival:
    weights = [1 / (rank + 1) ** _SKEW for rank in range(len(prefixes))]
    prefix = rng.choices(prefixes, weights)[0]
    suffix = _words(rng, rng.randint(*_SUFFIX_WORDS))
    worths, shares = zip(*_WORTHS, strict=True)
    return Arrival(
        at=at,
        home=stream.home,
        owner=stream.owner,
        host=rng.random(),
        prompt=f"{prefix} {suffix}",
        max_tokens=rng.randint(*_TOKENS),
        worth=rng.choices(worths, shares)[0],
    )


def _words(rng: Random, count: int) -> str:
    letters = "abcdefghijklmnopqrstuvwxyz"
    return " ".join("".join(rng.choices(letters, k=5)) for _ in range(count))


__all__ = ["Arrival", "Stream", "draw_arrivals"]
