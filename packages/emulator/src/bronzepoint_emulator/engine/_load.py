"""Load reports with a lag."""

import time
from collections import deque

from bronzepoint_schema.generated.platform import LoadReport

RETENTION = 30.0
"""Seconds for which samples are kept."""


class LoadHistory:
    """Records the load over time, to report it with a lag.

    Args:
        slots: Requests that the engine runs concurrently.
        lag: Age of reports in seconds.
    """

    def __init__(self, slots: int, lag: float) -> None:
        self.lag = lag
        self._samples: deque[LoadReport] = deque()
        self.record(0, 0, slots, leaving=False)

    def record(self, running: int, waiting: int, slots: int, *, leaving: bool) -> None:
        """Record the current load."""
        now = time.time()
        self._samples.append(LoadReport(running, waiting, slots, now, leaving))
        while len(self._samples) > 2 and self._samples[1].as_of < now - RETENTION:
            self._samples.popleft()

    def report(self) -> LoadReport:
        """Return the load as it was ``lag`` seconds ago."""
        as_of = time.time() - self.lag
        delayed = self._samples[0]
        for sample in self._samples:
            if sample.as_of > as_of:
                break
            delayed = sample
        return LoadReport(
            delayed.running, delayed.waiting, delayed.slots, as_of, delayed.leaving
        )
