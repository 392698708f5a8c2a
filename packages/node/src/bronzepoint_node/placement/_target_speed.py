"""Reading and writing speed of one start of a target, relative to its service.

Load: targets of unequal speed, of which some are slower for short intervals.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from bronzepoint_node.policy import (
    AGE_SECONDS,
    PRIOR_SAMPLES,
    SpeedEstimate,
    factor,
    reference_logarithm,
    shrunk,
)

EVENTS_PER_SAMPLE = 20.0
"""Events of streams that count as one sample. The streams of a batch advance together,
so their events are not independent."""
MAX_MEASURED_SHARE = 0.4
"""Share of its time that a target spends on reading above which events do not measure
its writing speed: an error of that share would change the result by a multiple."""
SLOW_END = 0.75
"""Part of the targets that are at least as fast as a new one is assumed to be. It is
below 1 so that one stuck target does not keep new ones unused."""


@dataclass(frozen=True)
class SpeedCopy:
    """Speed of a target as another host has estimated it.

    Attributes:
        reading: Logarithm of the factor for reading, shrunk by the samples.
        writing: Logarithm of the factor for writing, shrunk by the samples.
        samples: Number of samples, weighted by their age when it was received.
        at: When it was received, by this host's monotonic clock.
    """

    reading: float
    writing: float
    samples: float
    at: float

    def certainty(self, now: float) -> float:
        """Return the number of samples, weighted by their present age."""
        return self.samples * math.exp(-max(0.0, now - self.at) / AGE_SECONDS)

    def logarithms(self, now: float) -> tuple[float, float]:
        """Return the logarithms, moved towards 0 as the samples age."""
        former = self.samples / (self.samples + PRIOR_SAMPLES)
        certainty = self.certainty(now)
        kept = certainty / (certainty + PRIOR_SAMPLES) / former
        return kept * self.reading, kept * self.writing


@dataclass
class TargetSpeed:
    """Speed of one start of a target.

    Attributes:
        reading: Estimate from the times to the first token.
        writing: Estimate from the seconds between events.
        event_seconds: Expected seconds per event at the usual speed and at the present
            share of reading; 0 if unknown.
        reading_factor: Relative time to read, from the last update.
        writing_factor: Relative time to write, from the last update.
        certainty: Number of samples behind the factors, weighted by age.
        copy: The estimate of another host; None if there is none.
        is_told: Whether other hosts need to know it: the targets of its service differ.
        updated_at: When the factors were last computed. A host that does not select
            targets has samples, but no factors.
    """

    reading: SpeedEstimate = field(default_factory=SpeedEstimate)
    writing: SpeedEstimate = field(default_factory=SpeedEstimate)
    event_seconds: float = 0.0
    reading_factor: float = 1.0
    writing_factor: float = 1.0
    certainty: float = 0.0
    copy: SpeedCopy | None = None
    is_told: bool = False
    updated_at: float = -math.inf

    @property
    def is_new(self) -> bool:
        """Return whether there have been too few samples for any estimate."""
        seen = self.reading.seen + self.writing.seen
        return self.copy is None and seen < PRIOR_SAMPLES

    def note_events(self, events: int, seconds: float, now: float) -> None:
        """Record events of streams, with the seconds since the previous ones."""
        if not self.event_seconds or not events:
            return
        ratio = seconds / events / self.event_seconds
        self.writing.add(ratio, now, events / EVENTS_PER_SAMPLE)

    def apply_copy(
        self, reading_permille: int, writing_permille: int, samples: int, now: float
    ) -> None:
        """Record the estimate of another host, unless one with more samples is known.

        Args:
            reading_permille: Its factor for reading, in thousandths; 0 if unknown.
            writing_permille: Its factor for writing, in thousandths; 0 if unknown.
            samples: Number of its samples, weighted by age.
            now: Monotonic seconds.
        """
        if samples <= 0 or min(reading_permille, writing_permille) <= 0:
            return
        if self.copy is not None and samples < self.copy.certainty(now):
            return
        self.copy = SpeedCopy(
            math.log(reading_permille / 1000),
            math.log(writing_permille / 1000),
            samples,
            now,
        )

    def better_copy(self, now: float) -> SpeedCopy | None:
        """Return the estimate of another host if it has more samples than this one."""
        own = self.reading.certainty(now) + self.writing.certainty(now)
        if self.copy is None or self.copy.certainty(now) <= own:
            return None
        return self.copy

    def reported(self, now: float) -> tuple[int, int, int]:
        """Return both factors in thousandths and the samples.

        All are zero if they are unknown or if all targets of the service are equal,
        which keeps the reports of most deployments short.
        """
        copy = self.better_copy(now)
        if copy is not None:
            read, written = copy.logarithms(now)
            samples = int(copy.certainty(now))
        elif not self.is_told or now - self.updated_at > AGE_SECONDS:
            samples = 0
        else:
            read = math.log(self.reading_factor)
            written = math.log(self.writing_factor)
            samples = int(self.reading.certainty(now) + self.writing.certainty(now))
        if not samples:
            return 0, 0, 0
        return round(1000 * math.exp(read)), round(1000 * math.exp(written)), samples

    def age(self, now: float) -> float:
        """Return the seconds since the newest sample; inf if there is none."""
        return min(self.reading.age(now), self.writing.age(now))


def update_factors(speeds: Iterable[TargetSpeed], now: float) -> None:
    """Compute the factors of all targets of a service.

    A target that is fast at one of reading and writing is most likely fast at the other
    one, too, which counts where the other one has few samples.

    Args:
        speeds: Speeds of all targets of a service.
        now: Monotonic seconds.
    """
    speeds = list(speeds)
    reading = _relative([speed.reading for speed in speeds], now)
    writing = _relative([speed.writing for speed in speeds], now)
    logarithms = []
    for speed, read, written in zip(speeds, reading, writing, strict=True):
        speed.certainty = read[1] + written[1]
        copy = speed.copy and speed.better_copy(now)
        if copy:
            speed.certainty = copy.certainty(now)
            logarithms.append(copy.logarithms(now))
            continue
        own_read, own_written = shrunk(*read), shrunk(*written)
        logarithms.append(
            (shrunk(*read, prior=own_written), shrunk(*written, prior=own_read))
        )
    known = [
        pair for pair, speed in zip(logarithms, speeds, strict=True) if not speed.is_new
    ]
    slow = tuple(_slow_end([pair[kind] for pair in known]) for kind in (0, 1))
    for speed, pair in zip(speeds, logarithms, strict=True):
        read, written = slow if speed.is_new else pair
        speed.reading_factor, speed.writing_factor = factor(read), factor(written)
        speed.updated_at = now
    differ = any(
        speed.reading_factor != 1.0 or speed.writing_factor != 1.0 for speed in speeds
    )
    for speed in speeds:
        speed.is_told = differ


def _relative(estimates: list[SpeedEstimate], now: float) -> list[tuple[float, float]]:
    """Return the logarithms relative to the usual target, and their certainties."""
    known = [(e.logarithm(now), e.certainty(now)) for e in estimates]
    reference = reference_logarithm(known)
    return [(logarithm - reference, certainty) for logarithm, certainty in known]


def _slow_end(logarithms: list[float]) -> float:
    """Return the logarithm of the slow end of a service; 0 if nothing is known."""
    if not logarithms:
        return 0.0
    ordered = sorted(logarithms)
    return max(0.0, ordered[int(SLOW_END * (len(ordered) - 1))])
