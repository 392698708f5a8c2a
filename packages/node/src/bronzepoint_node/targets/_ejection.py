"""Ejection of targets that fail or are far slower than their siblings."""

from collections.abc import Iterable
from enum import StrEnum
from statistics import median

from msgspec import Struct

from bronzepoint_schema.generated.decisions import TryResult

FAILURES = 3
"""Consecutive failures that eject a target."""
SLOW_FACTOR = 5.0
SLOW_LEAST = 0.5
SLOW_SAMPLES = 8
"""A target is slow at this multiple of its siblings' median time to the first byte,
and this many seconds, over this many answers."""
EJECTED_SHARE = 1 / 3
"""Most targets of one entry that are ejected at once, though one of two may be."""
FIRST_EJECTION = 2.0
LONGEST_EJECTION = 60.0
RETURN_GAP = 1.0
"""Seconds between the returns of two targets of one entry."""
_FORGIVEN_AFTER = 60.0
_WEIGHT = 0.2


class HealthState(StrEnum):
    """Whether a target is used fully, in part, or not at all."""

    well = "well"
    ejected = "ejected"
    returning = "returning"


class Health(Struct):
    """How one target has done for this host lately.

    Attributes:
        failures: consecutive ones.
        seconds: smoothed time to the first byte.
        samples: answers that went into it.
        ejections: ejections in a row, which lengthen the next one.
        changed_at: when the state changed last.
        allowed: requests that a returning target may have of this host.
        successes: answers since `allowed` grew.
    """

    state: HealthState = HealthState.well
    failures: int = 0
    seconds: float = 0.0
    samples: int = 0
    ejections: int = 0
    changed_at: float = 0.0
    allowed: int = 1
    successes: int = 0

    def note(self, result: TryResult, seconds: float) -> None:
        """Count the result of one try."""
        match result:
            case TryResult.answered:
                self._note_answer(seconds)
            case TryResult.cancelled | TryResult.refused_by_target:
                # A caller that left, or a full target, says nothing of its health.
                return
            case _:
                self.failures += 1

    def eject(self, now: float) -> None:
        """Give the target no new work for a while."""
        self.state = HealthState.ejected
        self.ejections += 1
        self.changed_at = now
        self.failures = 0
        self.samples = 0

    def begin_return(self, now: float) -> None:
        """Give the target one request at a time, and more as it answers."""
        self.state = HealthState.returning
        self.changed_at = now
        self.allowed = 1
        self.successes = 0
        self.failures = 0

    def ejected_for(self) -> float:
        """Return the seconds that the present ejection lasts."""
        doubled = FIRST_EJECTION * 2 ** min(self.ejections - 1, 10)
        return min(LONGEST_EJECTION, doubled)

    def settle(self, now: float, slots: int) -> None:
        """Use the target fully once it has borne its whole load, and forgive."""
        if self.state is HealthState.returning and self.allowed >= slots:
            self.state = HealthState.well
            self.changed_at = now
        if self.state is HealthState.well and now - self.changed_at > _FORGIVEN_AFTER:
            self.ejections = 0

    def _note_answer(self, seconds: float) -> None:
        self.failures = 0
        self.samples += 1
        weight = max(_WEIGHT, 1 / self.samples)
        self.seconds += weight * (seconds - self.seconds)
        if self.state is not HealthState.returning:
            return
        self.successes += 1
        if self.successes >= self.allowed:
            self.allowed *= 2
            self.successes = 0


def find_ejections(siblings: Iterable[Health]) -> list[Health]:
    """Return those of one entry's targets that should be ejected, worst first.

    At most a share of them is ejected at once: failures that all targets have in
    common lie elsewhere, and with every target ejected nothing would be served.
    """
    everyone = list(siblings)
    out = sum(1 for health in everyone if health.state is HealthState.ejected)
    bad = [h for h in everyone if h.state is not HealthState.ejected]
    bad = [health for health in bad if _is_bad(health, everyone)]
    bad.sort(key=lambda health: (health.failures, health.seconds), reverse=True)
    return bad[: max(0, most_ejected(len(everyone)) - out)]


def most_ejected(targets: int) -> int:
    """Return how many of so many targets may be ejected at once."""
    if targets < 2:
        return 0
    return max(1, int(targets * EJECTED_SHARE))


def find_return(siblings: Iterable[Health], now: float) -> Health | None:
    """Return the target of an entry that may come back now, if any.

    One after another: targets that were ejected together, for a fault of the network
    perhaps, would otherwise return together, cold, and fail together again.
    """
    everyone = list(siblings)
    returned = [h.changed_at for h in everyone if h.state is HealthState.returning]
    if returned and now - max(returned) < RETURN_GAP:
        return None
    due = [
        health
        for health in everyone
        if health.state is HealthState.ejected
        and now - health.changed_at >= health.ejected_for()
    ]
    return min(due, key=lambda health: health.changed_at, default=None)


def _is_bad(health: Health, siblings: list[Health]) -> bool:
    # Of a returning target one failure is enough: it is on trial.
    failures = 1 if health.state is HealthState.returning else FAILURES
    return health.failures >= failures or _is_slow(health, siblings)


def _is_slow(health: Health, siblings: list[Health]) -> bool:
    if health.samples < SLOW_SAMPLES or health.seconds < SLOW_LEAST:
        return False
    others = [
        sibling.seconds
        for sibling in siblings
        if sibling is not health and sibling.samples >= SLOW_SAMPLES
    ]
    return bool(others) and health.seconds > SLOW_FACTOR * median(others)
