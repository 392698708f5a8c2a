"""How long requests of an entry take, and which of its targets are slow."""

import math

from msgspec import Struct, field

from bronzepoint_schema.ids import TargetName

_KEPT = 0.98
"""Weight that the older samples keep, at each new one."""
_KEPT_BY_TARGET = 0.9
_RIDGE = 1e-3
_FIRST_BASE = 0.05
_FIRST_HOLD = 1.0
_FIRST_PER_TOKEN = 0.0005
_HALF_LIFE = 20.0
"""Seconds in which half of a target's slowness is forgotten without new samples."""
_SLOWEST = 50.0
_NOISE = 2.0
"""Ratio below which a target isn't taken to be slow."""


class _TargetSpeed(Struct):
    ratio: float = 1.0
    updated: float = 0.0


class ServiceTimes(Struct):
    """Running estimates for one entry, in seconds.

    The time to the first token is fitted by a line over the uncached prompt tokens,
    with older samples fading. Each target has a ratio of what it took to what the line
    gives; the lowest ratio is the measure of the others, so that load which slows all
    of them makes none look slow.
    """

    hold: float = _FIRST_HOLD
    base: float = _FIRST_BASE
    per_token: float = _FIRST_PER_TOKEN
    speeds: dict[TargetName, _TargetSpeed] = field(default_factory=dict)
    fastest: float = 1.0
    samples: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0

    def first_token(self, uncached: float, slowness: float = 1.0) -> float:
        """Return the seconds from the start to the first token."""
        return slowness * (self.base + self.per_token * uncached)

    def slowness(self, target: TargetName, now: float) -> float:
        """Return how many times slower a target is than the fastest one.

        A slow target is given little work, so it yields few new samples: the ratio
        fades by itself, or a target that has recovered would stay unused for good.
        """
        speed = self.speeds.get(target)
        if speed is None:
            return 1.0
        ratio = speed.ratio / self.fastest
        if ratio < _NOISE:
            return 1.0
        faded = 0.5 ** ((now - speed.updated) / _HALF_LIFE)
        return min(_SLOWEST, 1.0 + (ratio - 1.0) * faded)

    def add_first_token(
        self, target: TargetName, seconds: float, uncached: float, now: float
    ) -> None:
        """Take in one measured time to the first token, without the queue's part."""
        expected = max(1e-4, self.first_token(uncached))
        speed = self.speeds.setdefault(target, _TargetSpeed(updated=now))
        # By its logarithm: a prompt that was believed to be cached and isn't takes
        # many times as long, and one such sample must not make a target look slow.
        ratio = math.log(min(_SLOWEST, max(1 / _SLOWEST, seconds / expected)))
        logarithm = _KEPT_BY_TARGET * math.log(speed.ratio)
        speed.ratio = math.exp(logarithm + (1 - _KEPT_BY_TARGET) * ratio)
        speed.updated = now
        self._find_fastest()
        if self.slowness(target, now) < 1.5:
            self._fit(uncached, seconds)

    def add_hold(self, seconds: float) -> None:
        """Take in how long one request held its slot."""
        self.hold += 0.05 * (seconds - self.hold)

    def forget_except(self, targets: set[TargetName]) -> None:
        """Drop what is known of targets that the entry no longer has."""
        for name in [name for name in self.speeds if name not in targets]:
            del self.speeds[name]
        self._find_fastest()

    def _find_fastest(self) -> None:
        ratios = (speed.ratio for speed in self.speeds.values())
        self.fastest = min(ratios, default=1.0)

    def _fit(self, x: float, y: float) -> None:
        self.samples = _KEPT * self.samples + 1
        self.sum_x = _KEPT * self.sum_x + x
        self.sum_y = _KEPT * self.sum_y + y
        self.sum_xx = _KEPT * self.sum_xx + x * x
        self.sum_xy = _KEPT * self.sum_xy + x * y
        if self.samples < 3:
            return
        covariance = self.sum_xy - self.sum_x * self.sum_y / self.samples
        variance = self.sum_xx - self.sum_x**2 / self.samples
        slope = max(0.0, covariance / (variance + _RIDGE))
        self.per_token = slope if variance > 1.0 else self.per_token
        mean_x, mean_y = self.sum_x / self.samples, self.sum_y / self.samples
        self.base = max(0.001, mean_y - self.per_token * mean_x)


__all__ = ["ServiceTimes"]
