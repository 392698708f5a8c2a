"""Seeded arrivals with daily peaks, skewed shared prefixes and varied worth."""

import math
from collections.abc import Sequence
from random import Random

from msgspec import Struct

PREFIXES = 16
"""Number of shared prompt prefixes."""
PREFIX_WORDS = 530
"""Words per shared prefix; about 800 tokens, including the blanks."""
_SKEW = 1.1
"""Exponent of the Zipf distribution of prefixes."""
_SUFFIX_WORDS = (4, 40)
"""Range of the number of words after the prefix."""
_TOKENS = (12, 36)
"""Range of the number of generated tokens."""
_WORTHS = ((1.0, 0.6), (4.0, 0.3), (16.0, 0.1))
"""Pairs of an answer's worth and the share of requests with it."""


class Arrival(Struct, frozen=True):
    """One request to send.

    Attributes:
        at: Seconds after the start.
        home: Region of the caller.
        owner: Organisation of the caller.
        host: Position of the called host among the region's, from 0 to 1.
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
        rate: Mean requests per second.
        swing: Relative amplitude of the daily variation.
        phase: Delay of this region's peak as a share of a day.
        day: Length of a simulated day in seconds.
        begin: Start in seconds.
        end: End in seconds.
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
        """Return the requests per second at a time (s)."""
        if not self.begin <= at < self.end:
            return 0.0
        wave = math.sin(2 * math.pi * (at / self.day - self.phase))
        return self.rate * (1 + self.swing * wave)


def draw_arrivals(
    streams: Sequence[Stream], duration: float, seed: int
) -> list[Arrival]:
    """Draw the arrivals of all streams, ordered by time.

    Arrivals depend only on the streams, the duration (s) and the seed.
    """
    arrivals: list[Arrival] = []
    prefixes = [_words(Random(f"prefix {i}"), PREFIX_WORDS) for i in range(PREFIXES)]
    for number, stream in enumerate(streams):
        rng = Random(f"{seed} {number} {stream.home} {stream.owner}")
        max_rate = stream.rate * (1 + stream.swing)
        at = rng.expovariate(max_rate)
        while at < duration:
            if rng.random() * max_rate < stream.rate_at(at):
                arrivals.append(_draw(rng, stream, at, prefixes))
            at += rng.expovariate(max_rate)
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
