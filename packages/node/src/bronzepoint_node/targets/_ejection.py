"""Outlier ejection: removes targets that fail or are far slower than their siblings."""

from collections.abc import Iterable
from enum import StrEnum
from statistics import median

from msgspec import Struct

from bronzepoint_schema.generated.decisions import TryResult

FAILURES_TO_EJECT = 3
"""Number of consecutive failures after which a target is ejected."""
SLOW_FACTOR = 5.0
"""Multiple of its siblings' median time to the first byte above which a target is
slow."""
SLOW_MIN_SECONDS = 0.5
"""Time to the first byte below which a target is never slow."""
SLOW_MIN_SAMPLES = 8
"""Number of answers below which a target is never slow."""
MAX_EJECTED_SHARE = 1 / 3
"""Largest share of an entry's targets ejected at once; one of two may always be."""
FIRST_EJECTION_SECONDS = 2.0
MAX_EJECTION_SECONDS = 60.0
RETURN_GAP_SECONDS = 1.0
"""Shortest time between the returns of two targets of one entry."""
_RESET_EJECTIONS_SECONDS = 60.0
"""Time without ejection after which earlier ejections no longer lengthen the next."""
_MIN_SAMPLE_WEIGHT = 0.2
"""Smallest weight of a new sample in the smoothed time to the first byte."""


class HealthState(StrEnum):
    """Whether a target is used fully, with limited load, or not at all."""

    healthy = "well"
    ejected = "ejected"
    returning = "returning"


class Health(Struct):
    """Recent failures and response times of one target, as observed by this host.

    Attributes:
        state: whether the target is used.
        failures: number of consecutive failures.
        seconds: smoothed time to the first byte, in seconds.
        samples: number of answers in it.
        ejections: number of recent ejections, which lengthen the next one.
        changed_at: time of the last change of state, in monotonic seconds.
        allowed: maximum number of this host's requests at a returning target.
        successes: answers since `allowed` grew.
    """

    state: HealthState = HealthState.healthy
    failures: int = 0
    seconds: float = 0.0
    samples: int = 0
    ejections: int = 0
    changed_at: float = 0.0
    allowed: int = 1
    successes: int = 0

    def note(self, result: TryResult, seconds: float) -> None:
        """Record the result of one try."""
        match result:
            case TryResult.answered:
                self._note_answer(seconds)
            case TryResult.cancelled | TryResult.refused_by_target:
                # A caller that disconnects, or a full target, is no sign of a fault.
                return
            case _:
                self.failures += 1

    def eject(self, now: float) -> None:
        """Stop using the target for a while."""
        self.state = HealthState.ejected
        self.ejections += 1
        self.changed_at = now
        self.failures = 0
        self.samples = 0

    def begin_return(self, now: float) -> None:
        """Allow the target one request at a time, and more as it answers."""
        self.state = HealthState.returning
        self.changed_at = now
        self.allowed = 1
        self.successes = 0
        self.failures = 0

    def ejection_seconds(self) -> float:
        """Return the duration of the current ejection, in seconds."""
        doubled = FIRST_EJECTION_SECONDS * 2 ** min(self.ejections - 1, 10)
        return min(MAX_EJECTION_SECONDS, doubled)

    def settle(self, now: float, slots: int) -> None:
        """End the return once all slots are allowed; reset old ejections."""
        if self.state is HealthState.returning and self.allowed >= slots:
            self.state = HealthState.healthy
            self.changed_at = now
        if (
            self.state is HealthState.healthy
            and now - self.changed_at > _RESET_EJECTIONS_SECONDS
        ):
            self.ejections = 0

    def _note_answer(self, seconds: float) -> None:
        self.failures = 0
        self.samples += 1
        weight = max(_MIN_SAMPLE_WEIGHT, 1 / self.samples)
        self.seconds += weight * (seconds - self.seconds)
        if self.state is not HealthState.returning:
            return
        self.successes += 1
        if self.successes >= self.allowed:
            self.allowed *= 2
            self.successes = 0


def find_ejections(siblings: Iterable[Health]) -> list[Health]:
    """Return the targets of an entry that should be ejected, worst first.

    At most a share of them is ejected at once: failures common to all targets have
    another cause, and with every target ejected no request would be served.
    """
    healths = list(siblings)
    ejected = sum(1 for health in healths if health.state is HealthState.ejected)
    failing = [h for h in healths if h.state is not HealthState.ejected]
    failing = [health for health in failing if _should_eject(health, healths)]
    failing.sort(key=lambda health: (health.failures, health.seconds), reverse=True)
    return failing[: max(0, max_ejected(len(healths)) - ejected)]


def max_ejected(targets: int) -> int:
    """Return the maximum number of targets ejected at once."""
    if targets < 2:
        return 0
    return max(1, int(targets * MAX_EJECTED_SHARE))


def find_return(siblings: Iterable[Health], now: float) -> Health | None:
    """Return the target of an entry that may return now, if any.

    Targets return one after another. Those that were ejected together, for example
    by a network fault, would otherwise return together with cold caches and fail again.
    """
    healths = [h for h in siblings if h.state is not HealthState.healthy]
    if not healths:
        return None
    returned = [h.changed_at for h in healths if h.state is HealthState.returning]
    if returned and now - max(returned) < RETURN_GAP_SECONDS:
        return None
    due = [
        health
        for health in healths
        if health.state is HealthState.ejected
        and now - health.changed_at >= health.ejection_seconds()
    ]
    return min(due, key=lambda health: health.changed_at, default=None)


def _should_eject(health: Health, siblings: list[Health]) -> bool:
    # One failure is enough to eject a returning target again.
    failures = 1 if health.state is HealthState.returning else FAILURES_TO_EJECT
    return health.failures >= failures or _is_slow(health, siblings)


def _is_slow(health: Health, siblings: list[Health]) -> bool:
    if health.samples < SLOW_MIN_SAMPLES or health.seconds < SLOW_MIN_SECONDS:
        return False
    others = [
        sibling.seconds
        for sibling in siblings
        if sibling is not health and sibling.samples >= SLOW_MIN_SAMPLES
    ]
    return bool(others) and health.seconds > SLOW_FACTOR * median(others)
