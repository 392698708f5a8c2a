"""Targets that the newest reading of the target list lacks."""

from collections.abc import Iterable

from ._tracked_target import Listing, TrackedTarget

MISSING_RETENTION = 10.0
"""Seconds between the first and the last reading without a target after which it counts
as gone."""
MAX_MISSING = 1000
"""Maximum number of missing targets that are kept; the longest missing go first."""


class MissingTargets:
    """Keeps what is known of targets that the list may name again.

    An entry may be unreadable, or move to a page that has been read already, while its
    target is running. Only further readings without it, or a target that starts at its
    address, show that it is gone.
    """

    def __init__(self) -> None:
        self._targets: dict[str, TrackedTarget] = {}
        self._missing_since: dict[str, float] = {}

    def all(self) -> list[TrackedTarget]:
        """Return the missing targets, the longest missing first."""
        return list(self._targets.values())

    def get(self, incarnation: str) -> TrackedTarget | None:
        """Return a target; None if it is not missing, or not known."""
        return self._targets.get(incarnation)

    def add(self, tracked: TrackedTarget, read_at: float) -> None:
        """Keep a target that a reading lacks.

        Args:
            tracked: The target.
            read_at: Time of the reading in monotonic seconds.
        """
        tracked.listing = Listing.missing
        self._targets[tracked.info.incarnation] = tracked
        self._missing_since[tracked.info.incarnation] = read_at

    def take(self, incarnation: str) -> TrackedTarget | None:
        """Return a target that is listed again, and stop keeping it here."""
        self._missing_since.pop(incarnation, None)
        return self._targets.pop(incarnation, None)

    def expire(self, read_at: float, started: Iterable[str]) -> None:
        """Drop the targets that are gone.

        Args:
            read_at: Time of the newest reading in monotonic seconds.
            started: Addresses at which this reading has targets unknown before.
        """
        started = set(started)
        gone = [
            name
            for name, tracked in self._targets.items()
            if read_at - self._missing_since[name] >= MISSING_RETENTION
            or tracked.info.address in started
        ]
        for name in gone:
            self._drop(name)
        for name in list(self._targets)[: max(0, len(self._targets) - MAX_MISSING)]:
            self._drop(name)

    def _drop(self, incarnation: str) -> None:
        self.take(incarnation).listing = Listing.gone
