"""Running estimates of request durations and of the slowness of targets."""

import math

from msgspec import Struct, field

from bronzepoint_schema.ids import TargetName

_SAMPLE_DECAY = 0.98
"""Factor on the weight of older samples of the fit, for each new sample."""
_TARGET_DECAY = 0.9
"""The same factor for the samples of one target's ratio."""
_RIDGE = 1e-3
"""Added to the variance, in squared tokens, to avoid a division by zero."""
_INITIAL_BASE_SECONDS = 0.05
_INITIAL_HOLD_SECONDS = 1.0
_INITIAL_SECONDS_PER_TOKEN = 0.0005
_SLOWNESS_HALF_LIFE_SECONDS = 20.0
"""Time in which a target's slowness decays by half without new samples."""
_MAX_SLOWNESS = 50.0
"""Largest ratio of a sample, and of a target, to the expected time."""
_MIN_SLOWNESS = 2.0
"""Ratio below which a target doesn't count as slow."""


class _TargetSpeed(Struct):
    ratio: float = 1.0
    updated: float = 0.0


class ServiceTimes(Struct):
    """Running estimates for one entry, in seconds.

    The time to the first token is a linear fit over the uncached prompt tokens, with
    exponentially decaying weights. Each target has a ratio of measured to fitted time.
    Ratios are compared with the lowest one, so that load that slows all targets makes
    no single target look slow.

    Attributes:
        hold: time for which a request holds its slot.
        base: time to the first token of a fully cached prompt.
        per_token: additional time for each uncached prompt token.
        speeds: ratio of each target.
        fastest: lowest ratio of all targets.
        samples: weight of the samples in the fit; the sums belong to the same fit.
    """

    hold: float = _INITIAL_HOLD_SECONDS
    base: float = _INITIAL_BASE_SECONDS
    per_token: float = _INITIAL_SECONDS_PER_TOKEN
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

        A slow target gets little work and thus few new samples. Its ratio therefore
        decays with time; otherwise a target that has recovered would stay unused.
        """
        speed = self.speeds.get(target)
        if speed is None:
            return 1.0
        ratio = speed.ratio / self.fastest
        if ratio < _MIN_SLOWNESS:
            return 1.0
        decay = 0.5 ** ((now - speed.updated) / _SLOWNESS_HALF_LIFE_SECONDS)
        return min(_MAX_SLOWNESS, 1.0 + (ratio - 1.0) * decay)

    def add_first_token(
        self, target: TargetName, seconds: float, uncached: float, now: float
    ) -> None:
        """Record one measured time to the first token, without queueing time."""
        expected = max(1e-4, self.first_token(uncached))
        speed = self.speeds.setdefault(target, _TargetSpeed(updated=now))
        # Averages logarithms: a prompt wrongly believed to be cached takes many times
        # as long, and one such sample must not make a target look slow.
        ratio = math.log(min(_MAX_SLOWNESS, max(1 / _MAX_SLOWNESS, seconds / expected)))
        logarithm = _TARGET_DECAY * math.log(speed.ratio)
        speed.ratio = math.exp(logarithm + (1 - _TARGET_DECAY) * ratio)
        speed.updated = now
        self._update_fastest()
        if self.slowness(target, now) < 1.5:
            self._fit(uncached, seconds)

    def add_hold(self, seconds: float) -> None:
        """Record for how many seconds one request held its slot."""
        self.hold += 0.05 * (seconds - self.hold)

    def retain_targets(self, targets: set[TargetName]) -> None:
        """Drop the estimates of targets that the entry no longer has."""
        for name in [name for name in self.speeds if name not in targets]:
            del self.speeds[name]
        self._update_fastest()

    def _update_fastest(self) -> None:
        ratios = (speed.ratio for speed in self.speeds.values())
        self.fastest = min(ratios, default=1.0)

    def _fit(self, x: float, y: float) -> None:
        self.samples = _SAMPLE_DECAY * self.samples + 1
        self.sum_x = _SAMPLE_DECAY * self.sum_x + x
        self.sum_y = _SAMPLE_DECAY * self.sum_y + y
        self.sum_xx = _SAMPLE_DECAY * self.sum_xx + x * x
        self.sum_xy = _SAMPLE_DECAY * self.sum_xy + x * y
        if self.samples < 3:
            return
        covariance = self.sum_xy - self.sum_x * self.sum_y / self.samples
        variance = self.sum_xx - self.sum_x**2 / self.samples
        slope = max(0.0, covariance / (variance + _RIDGE))
        self.per_token = slope if variance > 1.0 else self.per_token
        mean_x, mean_y = self.sum_x / self.samples, self.sum_y / self.samples
        self.base = max(0.001, mean_y - self.per_token * mean_x)


__all__ = ["ServiceTimes"]
