"""Latencies in a histogram of fixed size."""

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000
LONGEST = 600 * MICROSECONDS
DIGITS = 3


class Latency:
    """Collects times; memory doesn't grow with their number."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, LONGEST, DIGITS)

    @property
    def count(self) -> int:
        """How many times were added."""
        return self._histogram.get_total_count()

    def add(self, seconds: float) -> None:
        """Add one time in seconds."""
        value = max(1, round(seconds * MICROSECONDS))
        self._histogram.record_value(min(value, LONGEST))

    def percentile(self, percent: float) -> float:
        """Return the time in seconds that so many in 100 didn't exceed; 0: none."""
        if not self.count:
            return 0.0
        return self._histogram.get_value_at_percentile(percent) / MICROSECONDS

    def mean(self) -> float:
        """Return the mean in seconds; 0: none."""
        return self._histogram.get_mean_value() / MICROSECONDS if self.count else 0.0
