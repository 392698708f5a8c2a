"""The crashes that one request was beside."""

from dataclasses import dataclass, field

from bronzepoint_schema.generated.quarantine import CrashCase, CrashMark
from bronzepoint_schema.ids import Fingerprint

KEPT = 600.0
"""Seconds for which a crash counts. A request that is held back may be tried again
this long after the last target that it crashed."""
MOST_MARKS = 8
"""Crashes kept of one request; a few decide."""


@dataclass
class Mark:
    """A crash of a target that a request ran at.

    Attributes:
        at: When it was, by this host's clock.
        early: The run had just begun.
        alone: It was on trial there, and nothing had begun after it.
        cleared: It counts no more.
    """

    at: float
    early: bool
    alone: bool = False
    cleared: bool = False

    def join(self, other: "Mark") -> bool:
        """Take in what another host says of the same crash; True: that was new.

        The order in which hosts hear of it makes no difference.
        """
        joined = Mark(
            min(self.at, other.at),
            self.early or other.early,
            self.alone or other.alone,
            self.cleared or other.cleared,
        )
        changed = (joined.early, joined.alone, joined.cleared) != (
            self.early,
            self.alone,
            self.cleared,
        )
        self.at, self.early = joined.at, joined.early
        self.alone, self.cleared = joined.alone, joined.cleared
        return changed


@dataclass
class Case:
    """A request that was beside crashes.

    Attributes:
        marks: The crashes, by the start of the target.
        changed_at: When anything of it was last news to this host.
    """

    fingerprint: Fingerprint
    service: str
    marks: dict[str, Mark] = field(default_factory=dict)
    changed_at: float = 0.0

    @property
    def open_marks(self) -> dict[str, Mark]:
        """Return the crashes that still count."""
        return {name: m for name, m in self.marks.items() if not m.cleared}

    @property
    def newest(self) -> float:
        """When the last of the crashes was."""
        return max(mark.at for mark in self.marks.values())

    def add(self, target: str, mark: Mark) -> bool:
        """Count a crash; True: something of it was new."""
        known = self.marks.get(target)
        if known is not None:
            return known.join(mark)
        self.marks[target] = mark
        while len(self.marks) > MOST_MARKS:
            # Cleared ones first, then those that say least, then the oldest.
            least = min(
                self.marks,
                key=lambda name: (
                    not self.marks[name].cleared,
                    self.marks[name].alone,
                    self.marks[name].at,
                ),
            )
            del self.marks[least]
        return target in self.marks

    def forget_before(self, moment: float) -> None:
        """Drop crashes that were too long ago."""
        for name in [n for n, mark in self.marks.items() if mark.at < moment]:
            del self.marks[name]

    def tell(self, now: float) -> CrashCase:
        """Return the form in which other hosts hear of it."""
        return CrashCase(
            self.fingerprint,
            self.service,
            [
                CrashMark(
                    name,
                    int((now - mark.at) * 1000),
                    mark.early,
                    mark.alone,
                    mark.cleared,
                )
                for name, mark in self.marks.items()
            ],
        )
