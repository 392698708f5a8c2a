"""Counters, gauges and timings, aggregated in memory and flushed to statsd."""

from collections import Counter, deque
from typing import Self

import curio
from hdrh.histogram import HdrHistogram
from statsd import StatsClient

from bronzepoint_common.background import spawn_background
from bronzepoint_common.settings import split_address
from bronzepoint_schema.generated.settings import MetricsSection

MAX_PACKET = 1400
"""Maximum bytes of a UDP packet: below the usual path MTU, to avoid fragmentation."""
MAX_TIMING_MS = 60_000
"""Longest timing in a histogram, in milliseconds; longer ones count as this."""
SIGNIFICANT_DIGITS = 2
"""Decimal digits of precision of a histogram."""
MAX_SAMPLES = 2000
"""Timings of one name kept between two flushes; the oldest are dropped first."""
PERCENTILES = {"p50": 50.0, "p99": 99.0, "max": 100.0}
"""Percentiles reported for each timing, by their suffix."""


class Metrics:
    """Aggregates metrics in memory and sends them to statsd periodically.

    A statsd call costs several microseconds, too much for each streamed event, so
    `incr` only adds to a dict; a curio task sends the differences in few packets.
    Without a statsd address everything is still counted, and `counters` returns it.

    Args:
        section: Address and interval of the flushes; None: nothing is sent.
        prefix: Prefix of each name that is sent, for instance the host's name.
    """

    def __init__(
        self, section: MetricsSection | None = None, prefix: str = "bronzepoint"
    ) -> None:
        self._section = section if section is not None else MetricsSection()
        self._prefix = prefix
        self._counters: Counter[str] = Counter()
        self._sent: Counter[str] = Counter()
        self._gauges: dict[str, float] = {}
        self._timings: dict[str, deque[float]] = {}
        self._histograms: dict[str, HdrHistogram] = {}
        self._client: StatsClient | None = None
        self._task: curio.Task | None = None

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter; names are dotted, such as ``refusal.overloaded``."""
        self._counters[name] += count

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to its current value."""
        self._gauges[name] = value

    def timing(self, name: str, ms: float) -> None:
        """Add one timing, in milliseconds."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_TIMING_MS, SIGNIFICANT_DIGITS)
            self._histograms[name] = histogram
        histogram.record_value(min(max(1, round(ms)), MAX_TIMING_MS))
        if not self._section.statsd:
            return
        samples = self._timings.get(name)
        if samples is None:
            samples = self._timings[name] = deque(maxlen=MAX_SAMPLES)
        samples.append(ms)

    def counters(self) -> dict[str, int]:
        """Return a copy of all counters since the start of the process."""
        return dict(self._counters)

    def gauges(self) -> dict[str, float]:
        """Return a copy of all gauges."""
        return dict(self._gauges)

    def percentiles(self) -> dict[str, float]:
        """Return PERCENTILES of each timing, in milliseconds."""
        return {
            f"{name}.{label}": histogram.get_value_at_percentile(percent)
            for name, histogram in self._histograms.items()
            for label, percent in PERCENTILES.items()
        }

    async def start(self) -> Self:
        """Start flushing, if a statsd address is set."""
        if self._section.statsd:
            host, port = split_address(self._section.statsd)
            self._client = StatsClient(
                host,
                port,
                prefix=self._prefix,
                maxudpsize=MAX_PACKET,
                ipv6=":" in host,
            )
            self._task = await spawn_background(self._flush_periodically)
        return self

    async def close(self) -> None:
        """Flush one last time and stop."""
        if self._task is not None:
            await self._task.cancel()
            self._task = None
        if self._client is not None:
            self.flush()
            self._client.close()
            self._client = None

    def flush(self) -> None:
        """Send what has changed since the last flush."""
        if self._client is None:
            return
        with self._client.pipeline() as pipeline:
            for name, value in self._counters.items():
                difference = value - self._sent[name]
                if difference:
                    pipeline.incr(name, difference)
                    self._sent[name] = value
            for name, value in self._gauges.items():
                # statsd reads a signed number as a change to the gauge: a negative
                # value must follow a zero, and the client library does that.
                pipeline.gauge(name, value)
            for name, samples in self._timings.items():
                for sample in samples:
                    pipeline.timing(name, sample)
        self._timings.clear()

    async def _flush_periodically(self) -> None:
        while True:
            await curio.sleep(self._section.interval)
            self.flush()


__all__ = ["Metrics"]
