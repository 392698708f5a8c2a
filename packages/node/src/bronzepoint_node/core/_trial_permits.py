"""How often a doubtful request may be tried, over all hosts."""

from dataclasses import dataclass

from bronzepoint_node.quarantine import KEPT
from bronzepoint_schema.ids import Fingerprint

MOST_TRIALS = 2
"""Trials of one request: with one of each side of a cut, three targets are lost to it
at most after it has become doubtful."""
TRIAL_GAP = 3.0
"""Seconds between two of them. In that time all hosts hear how the first one ended."""


@dataclass
class _Trials:
    count: int = 0
    last: float = float("-inf")


class TrialPermits:
    """Gives leave for trials; all hosts ask the same host of the core for one request.

    Each host alone could count only its own, and a caller goes from host to host.
    """

    def __init__(self) -> None:
        self._trials: dict[Fingerprint, _Trials] = {}

    def take(self, name: Fingerprint, now: float) -> bool:
        """Count a trial; False: there may be none now."""
        self._forget(now)
        trials = self._trials.setdefault(name, _Trials())
        if trials.count >= MOST_TRIALS or now - trials.last < TRIAL_GAP:
            return False
        trials.count += 1
        trials.last = now
        return True

    def forget(self, name: Fingerprint) -> None:
        """Begin anew with a request that was cleared."""
        self._trials.pop(name, None)

    def _forget(self, now: float) -> None:
        for name, trials in list(self._trials.items()):
            if now - trials.last > KEPT:
                del self._trials[name]
