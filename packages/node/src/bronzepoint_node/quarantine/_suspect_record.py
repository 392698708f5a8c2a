"""Crash records of a request, or of a prompt part, that ran when targets crashed."""

from collections import Counter
from dataclasses import dataclass, field

from bronzepoint_schema.generated.quarantine import CrashCase, CrashMark
from bronzepoint_schema.ids import Fingerprint

RETENTION = 600.0
"""Seconds for which a crash counts. A blocked request may be tried again this long
after the last crash attributed to it."""
MAX_CRASH_RECORDS = 8
"""Maximum number of crashes kept for one request; a few are enough to decide."""
MAX_TAGS = 4
"""Maximum number of requests listed for a crash of a prompt part."""


@dataclass
class CrashRecord:
    """A crash of a target during a run of a request.

    Attributes:
        at: Time of the crash in monotonic seconds of this host.
        early: Whether the run had just begun.
        alone: Whether the request was on trial and no other run began after it.
        cleared: Whether the crash no longer counts against the request.
        tried: Whether the trial permitted after the crash has been used up.
        requests: For a prompt part, tags of requests with it that had just begun.
        outage: First by name of the targets of the data center that crashed at that
            time; empty: not several did.
        on_trial: Whether the request was on trial, alone or not.
    """

    at: float
    early: bool
    alone: bool = False
    cleared: bool = False
    tried: bool = False
    requests: tuple[str, ...] = ()
    outage: str = ""
    on_trial: bool = False

    def merge(self, other: "CrashRecord") -> bool:
        """Merge another host's record of the same crash.

        The merge is commutative, so the order of the reports doesn't matter.

        Returns:
            Whether the other record added any information.
        """
        joined = CrashRecord(
            min(self.at, other.at),
            self.early or other.early,
            self.alone or other.alone,
            self.cleared or other.cleared,
            self.tried or other.tried,
            tuple(sorted({*self.requests, *other.requests})[:MAX_TAGS]),
            min(filter(None, (self.outage, other.outage)), default=""),
            self.on_trial or other.on_trial,
        )
        changed = joined.flags != self.flags
        self.at, self.early, self.tried = joined.at, joined.early, joined.tried
        self.alone, self.cleared = joined.alone, joined.cleared
        self.requests, self.outage = joined.requests, joined.outage
        self.on_trial = joined.on_trial
        return changed

    @property
    def flags(self) -> tuple:
        """Return all that may change after the crash."""
        return (
            self.early,
            self.alone,
            self.cleared,
            self.tried,
            self.requests,
            self.outage,
            self.on_trial,
        )


@dataclass
class SuspectRecord:
    """The crashes recorded for one request or prompt part.

    Attributes:
        fingerprint: Fingerprint of the request or part.
        service: Service whose targets crashed.
        crash_records: The crashes, by the incarnation of the target.
        changed_at: Monotonic time of the last change known to this host.
    """

    fingerprint: Fingerprint
    service: str
    crash_records: dict[str, CrashRecord] = field(default_factory=dict)
    changed_at: float = 0.0

    @property
    def active_crash_records(self) -> dict[str, CrashRecord]:
        """Return the crashes that still count.

        One in an outage counts only if the request ran at another target that ended in
        it. Otherwise its cause is external, such as a power failure.
        """
        runs = Counter(m.outage for m in self.crash_records.values())
        return {
            name: m
            for name, m in self.crash_records.items()
            if not m.cleared and (not m.outage or runs[m.outage] > 1)
        }

    @property
    def early_crash_records(self) -> dict[str, CrashRecord]:
        """Return the crashes that still count and came early in a run."""
        return {n: m for n, m in self.active_crash_records.items() if m.early}

    @property
    def last_crash_at(self) -> float:
        """Monotonic time of the latest crash."""
        return max(crash_record.at for crash_record in self.crash_records.values())

    def add(self, target: str, crash_record: CrashRecord) -> bool:
        """Record a crash; return whether it added any information."""
        known = self.crash_records.get(target)
        if known is not None:
            return known.merge(crash_record)
        self.crash_records[target] = crash_record
        while len(self.crash_records) > MAX_CRASH_RECORDS:
            # Evict cleared crashes first, then those in which the request wasn't alone,
            # then the oldest.
            weakest = min(
                self.crash_records,
                key=lambda name: (
                    not self.crash_records[name].cleared,
                    self.crash_records[name].alone,
                    self.crash_records[name].at,
                ),
            )
            del self.crash_records[weakest]
        return target in self.crash_records

    def drop_before(self, moment: float) -> None:
        """Drop crashes older than ``moment`` (monotonic seconds)."""
        for name in [
            n
            for n, crash_record in self.crash_records.items()
            if crash_record.at < moment
        ]:
            del self.crash_records[name]

    def to_message(self, now: float) -> CrashCase:
        """Return the message that reports this request to other hosts."""
        return CrashCase(
            self.fingerprint,
            self.service,
            [
                CrashMark(
                    name,
                    int((now - crash_record.at) * 1000),
                    crash_record.early,
                    crash_record.alone,
                    crash_record.cleared,
                    crash_record.tried,
                    list(crash_record.requests),
                    crash_record.outage,
                    crash_record.on_trial,
                )
                for name, crash_record in self.crash_records.items()
            ],
        )
