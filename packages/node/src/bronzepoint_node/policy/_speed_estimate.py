"""Estimate of how much longer one target takes than others of its service."""

import math
from collections import deque
from collections.abc import Iterable

from msgspec import Struct, field

BUCKET_SECONDS = 0.4
"""Seconds of samples that are averaged before the median is taken."""
MAX_BUCKETS = 8
"""Buckets kept. A slow interval of 0.6 s fills two of them, which does not move the
median; a lasting change fills half of the weight within 2 s."""
AGE_SECONDS = 3.0
"""Seconds after which the weight of a sample has decayed to a third."""
MIN_BUCKETS = 3
"""Buckets below which the samples count in proportion: all of them may be from one
short slow interval."""
PRIOR_SAMPLES = 4.0
"""Weight of the assumption that a target is as fast as the others, in samples."""
MAX_SAMPLES = 20.0
"""Largest weight of the samples, so that a factor is forgotten within 10 s."""
DEADBAND = 0.2
"""Relative difference up to which a target counts as equal to the others."""
MAX_RATIO = 50.0
"""Largest ratio of a sample to the expected time; its inverse is the smallest one."""


class _Bucket(Struct):
    began_at: float
    samples: float = 0.0
    total: float = 0.0

    def mean(self) -> float:
        return self.total / self.samples


class SpeedEstimate(Struct):
    """Running estimate of the logarithm of measured over expected time of one target.

    Means of short periods are taken first and then their median, weighted by age. A
    mean over all samples would follow each short slow interval, during which there are
    as many samples as at any time.

    Attributes:
        buckets: The newest periods, oldest first.
        seen: Number of samples since the target was started.
        age_seconds: Seconds after which the weight of a sample has decayed to a third.
    """

    buckets: deque[_Bucket] = field(default_factory=deque)
    seen: float = 0.0
    age_seconds: float = AGE_SECONDS

    def add(self, ratio: float, now: float, samples: float = 1.0) -> None:
        """Record measured over expected time.

        Args:
            ratio: The ratio.
            now: Monotonic seconds.
            samples: Number of measurements of which it is the mean.
        """
        logarithm = math.log(min(MAX_RATIO, max(1 / MAX_RATIO, ratio)))
        if not self.buckets or now - self.buckets[-1].began_at >= BUCKET_SECONDS:
            self.buckets.append(_Bucket(now))
            if len(self.buckets) > MAX_BUCKETS:
                self.buckets.popleft()
        bucket = self.buckets[-1]
        bucket.samples += samples
        bucket.total += samples * logarithm
        self.seen += samples

    def certainty(self, now: float) -> float:
        """Return the number of samples, weighted by their age."""
        total = sum(b.samples * self._weight(b, now) for b in self.buckets)
        return min(MAX_SAMPLES, total) * min(1.0, len(self.buckets) / MIN_BUCKETS)

    def logarithm(self, now: float) -> float:
        """Return the median logarithm of the ratio, weighted by age; 0 if unknown."""
        return weighted_median(
            (bucket.mean(), self._weight(bucket, now)) for bucket in self.buckets
        )

    def age(self, now: float) -> float:
        """Return the seconds since the newest samples; inf if there are none."""
        return now - self.buckets[-1].began_at if self.buckets else math.inf

    def _weight(self, bucket: _Bucket, now: float) -> float:
        return math.exp(-max(0.0, now - bucket.began_at) / self.age_seconds)


def weighted_median(values: Iterable[tuple[float, float]]) -> float:
    """Return the lower median of values with weights; 0 if there are none."""
    ordered = sorted(values)
    half = sum(weight for _, weight in ordered) / 2
    for value, weight in ordered:
        half -= weight
        if half <= 0:
            return value
    return 0.0


def reference_logarithm(estimates: Iterable[tuple[float, float]]) -> float:
    """Return the logarithm that counts as the usual speed of a service.

    It is the median over the targets: their mean would follow a single stuck target,
    and load that slows all targets makes no single one look slow.

    Args:
        estimates: Logarithm and certainty of each target.
    """
    return weighted_median(
        (logarithm, certainty / (certainty + PRIOR_SAMPLES))
        for logarithm, certainty in estimates
    )


def shrunk(logarithm: float, certainty: float, prior: float = 0.0) -> float:
    """Return a relative logarithm, moved towards a prior where it is uncertain."""
    weight = certainty / (certainty + PRIOR_SAMPLES)
    return weight * logarithm + (1 - weight) * prior


def factor(logarithm: float, deadband: float = DEADBAND) -> float:
    """Return the factor on a target's times; 1 within the deadband."""
    if abs(logarithm) < math.log1p(deadband):
        return 1.0
    return math.exp(logarithm)


__all__ = [
    "AGE_SECONDS",
    "PRIOR_SAMPLES",
    "SpeedEstimate",
    "factor",
    "reference_logarithm",
    "shrunk",
    "weighted_median",
]
