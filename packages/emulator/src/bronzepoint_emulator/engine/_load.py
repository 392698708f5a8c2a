"""Load reports that lag behind."""

import time
from collections import deque

from bronzepoint_schema.generated.platform import LoadReport

KEPT_SECONDS = 30.0


class LoadHistory:
    """Remembers the load over time, to tell an old one.

    Args:
        slots: Requests that the engine works on at once.
        lag: Seconds by which reports lag.
    """

    def __init__(self, slots: int, lag: float) -> None:
        self.lag = lag
        self._samples: deque[LoadReport] = deque()
        self.note(0, 0, slots, leaving=False)

    def note(self, running: int, waiting: int, slots: int, *, leaving: bool) -> None:
        """Remember the load as it is now."""
        now = time.time()
        self._samples.append(LoadReport(running, waiting, slots, now, leaving))
        while len(self._samples) > 2 and self._samples[1].as_of < now - KEPT_SECONDS:
            self._samples.popleft()

    def report(self) -> LoadReport:
        """Return the load as it was ``lag`` seconds ago."""
        as_of = time.time() - self.lag
        best = self._samples[0]
        for sample in self._samples:
            if sample.as_of > as_of:
                break
            best = sample
        return LoadReport(best.running, best.waiting, best.slots, as_of, best.leaving)
