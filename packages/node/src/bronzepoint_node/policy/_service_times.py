"""Running estimates of request durations and of the slowness of targets."""

import math

from msgspec import Struct, field

from bronzepoint_node.policy._speed_estimate import (
    SpeedEstimate,
    factor,
    reference_logarithm,
    shrunk,
)
from bronzepoint_schema.ids import TargetName

_SAMPLE_DECAY = 0.98
"""Factor on the weight of older samples of the fit, for each new sample."""
_DEADBAND = 1.0
"""Relative difference up to which a target counts as equal. One host's samples of mixed
requests are few, and with 0.6 the p99 in the experiments was higher."""
_AGE_SECONDS = 25.0
"""Seconds after which the weight of a sample has decayed to a third. A request of a
caller shows whether a slow target has recovered, so it is tried rarely."""
_FACTORS_VALID_SECONDS = 0.2
"""Seconds for which the targets' factors are kept if there are no new samples."""
_TIMING_ERROR = 0.01
"""Seconds that opening a connection may add to a measured time. Most requests to a
target that gets few of them need a new connection."""
_RIDGE = 1e-3
"""Added to the variance, in squared tokens, to avoid a division by zero."""
_INITIAL_BASE_SECONDS = 0.05
_INITIAL_HOLD_SECONDS = 1.0
_INITIAL_SECONDS_PER_TOKEN = 0.0005
_MAX_FIT_RATIO = 3.0
"""Largest factor by which a sample of the fit may differ from the expected time. A
prompt wrongly believed to be cached takes many times as long."""


class ServiceTimes(Struct):
    """Running estimates for one entry, in seconds.

    The time to the first token is a linear fit over the uncached prompt tokens, with
    exponentially decaying weights. Each target has an estimate of measured to fitted
    time, relative to the median of the targets. Callers that estimate the targets'
    speed themselves use the fit only (`fit`).

    Attributes:
        hold: time for which a request holds its slot.
        base: time to the first token of a fully cached prompt.
        per_token: additional time for each uncached prompt token.
        speeds: speed of each target.
        factors: factor of each target, computed for all of them at once.
        factors_at: when that was.
        samples: weight of the samples in the fit; the sums belong to the same fit.
    """

    hold: float = _INITIAL_HOLD_SECONDS
    base: float = _INITIAL_BASE_SECONDS
    per_token: float = _INITIAL_SECONDS_PER_TOKEN
    speeds: dict[TargetName, SpeedEstimate] = field(default_factory=dict)
    factors: dict[TargetName, float] = field(default_factory=dict)
    factors_at: float = -math.inf
    samples: float = 0.0
    sum_x: float = 0.0
    sum_y: float = 0.0
    sum_xx: float = 0.0
    sum_xy: float = 0.0

    def first_token(self, uncached: float, slowness: float = 1.0) -> float:
        """Return the seconds from the start to the first token."""
        return slowness * (self.base + self.per_token * uncached)

    def slowness(self, target: TargetName, now: float) -> float:
        """Return how many times longer a target takes than the median one.

        A slow target gets little work and thus few new samples. Its factor therefore
        decays with time; otherwise a target that has recovered would stay unused.
        """
        if abs(now - self.factors_at) >= _FACTORS_VALID_SECONDS:
            self._update_factors(now)
        return self.factors.get(target, 1.0)

    def _update_factors(self, now: float) -> None:
        known = {
            name: (speed.logarithm(now), speed.certainty(now))
            for name, speed in self.speeds.items()
        }
        reference = reference_logarithm(known.values())
        self.factors = {
            name: factor(shrunk(logarithm - reference, certainty), _DEADBAND)
            for name, (logarithm, certainty) in known.items()
        }
        self.factors_at = now

    def add_first_token(
        self, target: TargetName, seconds: float, uncached: float, now: float
    ) -> None:
        """Record one measured time to the first token, without queueing time."""
        expected = max(1e-4, self.first_token(uncached))
        speed = self.speeds.get(target)
        if speed is None:
            speed = self.speeds[target] = SpeedEstimate(age_seconds=_AGE_SECONDS)
        speed.add((seconds + _TIMING_ERROR) / (expected + _TIMING_ERROR), now)
        self._update_factors(now)
        self.fit(uncached, seconds / self.slowness(target, now))

    def add_hold(self, seconds: float) -> None:
        """Record for how many seconds one request held its slot."""
        self.hold += 0.05 * (seconds - self.hold)

    def retain_targets(self, targets: set[TargetName]) -> None:
        """Drop the estimates of targets that the entry no longer has."""
        for name in [name for name in self.speeds if name not in targets]:
            del self.speeds[name]

    def fit(self, uncached: float, seconds: float) -> None:
        """Record one time to the first token of a target of usual speed.

        Args:
            uncached: Prompt tokens that were read.
            seconds: Time from the start to the first token.
        """
        expected = max(1e-4, self.first_token(uncached))
        x = uncached
        y = min(_MAX_FIT_RATIO * expected, max(expected / _MAX_FIT_RATIO, seconds))
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
