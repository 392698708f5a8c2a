"""Latencies in a histogram of fixed size."""

from hdrh.histogram import HdrHistogram

MICROSECONDS = 1_000_000
"""Microseconds in a second; the histogram counts in microseconds."""
MAX_LATENCY = 600 * MICROSECONDS
"""Longest latency in the histogram, in microseconds; longer ones count as this."""
SIGNIFICANT_DIGITS = 3
"""Decimal digits of precision of the histogram."""


class Latency:
    """Collects latencies in memory that doesn't grow with their number."""

    def __init__(self) -> None:
        self._histogram = HdrHistogram(1, MAX_LATENCY, SIGNIFICANT_DIGITS)

    @property
    def count(self) -> int:
        """Number of latencies that were added."""
        return self._histogram.get_total_count()

    def add(self, seconds: float) -> None:
        """Add one latency in seconds."""
        value = max(1, round(seconds * MICROSECONDS))
        self._histogram.record_value(min(value, MAX_LATENCY))

    def percentile(self, percent: float) -> float:
        """Return a percentile in seconds; 0 if there are no latencies."""
        if not self.count:
            return 0.0
        return self._histogram.get_value_at_percentile(percent) / MICROSECONDS

    def mean(self) -> float:
        """Return the mean in seconds; 0 if there are no latencies."""
        return self._histogram.get_mean_value() / MICROSECONDS if self.count else 0.0
