"""The table of requests involved in target crashes, as known to one host."""

from collections.abc import Callable, Iterable

from bronzepoint_common.logs import get_logger
from bronzepoint_common.turns import rotating_slice
from bronzepoint_schema.generated.quarantine import CrashCase
from bronzepoint_schema.ids import Fingerprint

from ._fingerprint import RequestFingerprints
from ._standing import MIN_CRASHES_SUSPECT, SuspicionLevel, suspicion_levels
from ._suspect_record import RETENTION, CrashRecord, SuspectRecord

MAX_RECORDS = 512
"""Maximum number of requests kept, about 1 MB. The ones with the most crashes stay."""
PRIORITY_PERIOD = 3.0
"""Seconds for which a changed record is sent with priority. A host syncs seven times
in this period."""
SETTLED_AFTER = 20.0
"""Seconds without a change after which most hosts are assumed to know a record."""
MAX_SETTLED = 2
"""Maximum number of settled records in one message. They are sent for hosts that have
just started or were partitioned."""
ROTATION_INTERVAL = 0.4
"""Seconds after which a message carries the next slice of the records, if one message
can't hold all. It equals the sync interval of the entry hosts."""

_log = get_logger("quarantine")


class CrashTable:
    """Merges the crash reports of all hosts and derives the standing of each request.

    Hosts exchange whole records, in any order and any number of times. Each crash is
    identified by the target's incarnation, so no crash counts twice, and the reports
    from both sides of a network partition add up.

    Args:
        on_change: Called with the records whose standing has changed.
    """

    def __init__(
        self, on_change: Callable[[list[SuspectRecord]], None] | None = None
    ) -> None:
        self._on_change = on_change
        self._records: dict[Fingerprint, SuspectRecord] = {}
        self._standings: dict[Fingerprint, SuspicionLevel] = {}

    def __len__(self) -> int:
        return len(self._records)

    def __contains__(self, fingerprint: Fingerprint) -> bool:
        return fingerprint in self._records

    def records(self, min_crashes: int = 1) -> list[SuspectRecord]:
        """Return the requests with at least this many recorded crashes."""
        return [
            record
            for record in self._records.values()
            if len(record.crash_records) >= min_crashes
        ]

    def standing(self, fingerprint: Fingerprint) -> SuspicionLevel:
        """Return the standing of one fingerprint."""
        return self._standings.get(fingerprint, SuspicionLevel.CLEAR)

    def standing_of(self, fingerprints: RequestFingerprints) -> SuspicionLevel:
        """Return the standing of a request: the stricter one of its fingerprints."""
        if not self._standings:
            return SuspicionLevel.CLEAR
        return max(
            self.standing(fingerprints.exact), self.standing(fingerprints.content)
        )

    def count(self, standing: SuspicionLevel) -> int:
        """Return how many requests have this standing, which must not be CLEAR."""
        return sum(found is standing for found in self._standings.values())

    def record(self, fingerprint: Fingerprint) -> SuspectRecord | None:
        """Return the record of a request, or None if it has no recorded crash."""
        return self._records.get(fingerprint)

    def blocked_for(self, fingerprint: Fingerprint, now: float) -> float:
        """Return the seconds until a blocked request may be tried again."""
        record = self._records.get(fingerprint)
        return (
            max(0.0, record.last_crash_at + RETENTION - now)
            if record is not None
            else 0.0
        )

    def record_crash(
        self,
        crash_records: dict[Fingerprint, CrashRecord],
        service: str,
        target: str,
        now: float,
    ) -> None:
        """Record a crash of a target for the requests that ran there."""
        changed = [
            fingerprint
            for fingerprint, crash_record in crash_records.items()
            if self._add(fingerprint, service, target, crash_record)
        ]
        self._after_change(changed, now)

    def clear(
        self, fingerprint: Fingerprint, now: float, early_only: bool = False
    ) -> bool:
        """Clear the crashes of a request; return whether any still counted.

        Args:
            fingerprint: Fingerprint of the request.
            now: Monotonic seconds.
            early_only: Clear only crashes that happened early in a run.
        """
        record = self._records.get(fingerprint)
        crash_records = [] if record is None else record.active_crash_records.values()
        cleared = [
            crash_record
            for crash_record in crash_records
            if crash_record.early or not early_only
        ]
        for crash_record in cleared:
            crash_record.cleared = True
        if cleared:
            self._after_change([fingerprint], now)
        return bool(cleared)

    def record_trial(self, fingerprint: Fingerprint, now: float) -> bool:
        """Record that the permitted trial of a doubtful request has been used up.

        Returns:
            Whether the request was doubtful. Otherwise it was cleared or blocked
            meanwhile, or its trial needed no permit.
        """
        record = self._records.get(fingerprint)
        if record is None or self.standing(fingerprint) is not SuspicionLevel.DOUBTFUL:
            return False
        for crash_record in record.active_crash_records.values():
            crash_record.tried = True
        self._after_change([fingerprint], now)
        return True

    def clear_outage(self, targets: Iterable[str], now: float) -> list[Fingerprint]:
        """Clear the crashes of targets that ended together in one outage.

        Their cause is external, such as a power failure of the data center. A request
        that ran on more than one of the targets stays under suspicion.

        Returns:
            Fingerprints of the requests that have changed.
        """
        wanted = set(targets)
        changed = []
        for record in self._records.values():
            crash_records = [
                record.crash_records[target]
                for target in wanted & record.crash_records.keys()
            ]
            if len(crash_records) == 1 and not crash_records[0].cleared:
                crash_records[0].cleared = True
                changed.append(record.fingerprint)
        self._after_change(changed, now)
        return changed

    def expire(self, now: float) -> None:
        """Drop crashes older than the retention time."""
        if any(
            crash_record.at < now - RETENTION
            for record in self._records.values()
            for crash_record in record.crash_records.values()
        ):
            for fingerprint, record in list(self._records.items()):
                record.drop_before(now - RETENTION)
                if not record.crash_records:
                    del self._records[fingerprint]
            self._update_standings()

    def merge(self, reported: Iterable[CrashCase], now: float) -> None:
        """Merge the cases that another host has reported."""
        changed = set()
        for case in reported:
            for mark in case.marks:
                at = now - mark.age_ms / 1000
                if now - at > RETENTION:
                    continue
                received = CrashRecord(
                    at, mark.early, mark.alone, mark.cleared, mark.tried
                )
                if self._add(case.fingerprint, case.service, mark.target, received):
                    changed.add(case.fingerprint)
        if changed:
            self._after_change(changed, now)

    def select_cases(
        self, now: float, max_cases: int, min_crashes: int = 1
    ) -> list[CrashCase]:
        """Select the records for one message to another host.

        Blocked, doubtful and recently changed records come first. The others follow
        round robin, with only a few of the settled ones.

        Args:
            now: Monotonic seconds.
            max_cases: Maximum number of cases.
            min_crashes: Minimum number of crashes of a case.
        """
        records = self.records(min_crashes)
        selected = self._prioritised(records, now)[: max_cases // 2]
        fingerprints = {record.fingerprint for record in selected}
        rest = [record for record in records if record.fingerprint not in fingerprints]
        recent = [record for record in rest if now - record.changed_at < SETTLED_AFTER]
        settled = [
            record for record in rest if now - record.changed_at >= SETTLED_AFTER
        ]
        turn = int(now / ROTATION_INTERVAL)
        capacity = max_cases - len(selected)
        selected += rotating_slice(recent, turn * capacity, capacity)
        capacity = min(MAX_SETTLED, max_cases - len(selected))
        selected += rotating_slice(settled, turn * capacity, capacity)
        return [record.to_message(now) for record in selected]

    def _prioritised(
        self, records: list[SuspectRecord], now: float
    ) -> list[SuspectRecord]:
        """Return blocked and doubtful records, followed by those recently changed."""

        def is_strict(record: SuspectRecord) -> bool:
            return self.standing(record.fingerprint) >= SuspicionLevel.DOUBTFUL

        first = [
            c for c in records if is_strict(c) or now - c.changed_at < PRIORITY_PERIOD
        ]
        first.sort(
            key=lambda record: (
                is_strict(record),
                len(record.active_crash_records),
                record.changed_at,
            ),
            reverse=True,
        )
        return first

    def _add(
        self,
        fingerprint: Fingerprint,
        service: str,
        target: str,
        crash_record: CrashRecord,
    ) -> bool:
        record = self._records.get(fingerprint)
        if record is None:
            record = self._records[fingerprint] = SuspectRecord(fingerprint, service)
        return record.add(target, crash_record)

    def _after_change(self, changed: Iterable[Fingerprint], now: float) -> None:
        """Update timestamps, table size and standings after a change."""
        records = [self._records[fingerprint] for fingerprint in changed]
        for record in records:
            record.changed_at = now
        if len(self._records) > MAX_RECORDS:
            self._evict()
        # Most requests have a single crash, which can't change any standing.
        if any(len(record.crash_records) >= MIN_CRASHES_SUSPECT for record in records):
            self._update_standings()

    def _update_standings(self) -> None:
        former, self._standings = (
            self._standings,
            suspicion_levels(self._records.values()),
        )
        affected = [
            record
            for fingerprint in former.keys() | self._standings.keys()
            if former.get(fingerprint) is not self._standings.get(fingerprint)
            and (record := self._records.get(fingerprint)) is not None
        ]
        for record in affected:
            before = former.get(record.fingerprint, SuspicionLevel.CLEAR)
            self._log_standing(record, before)
        if affected and self._on_change is not None:
            self._on_change(affected)

    def _log_standing(self, record: SuspectRecord, before: SuspicionLevel) -> None:
        standing = self.standing(record.fingerprint)
        if max(standing, before) < SuspicionLevel.DOUBTFUL:
            # One crash makes dozens of requests suspects, and most are soon cleared.
            return
        crash_records = record.active_crash_records
        fields = {
            "fingerprint": record.fingerprint,
            "standing": standing.name.lower(),
            "former": before.name.lower(),
            "service": record.service,
            "crashes": len(crash_records),
            "alone": sum(crash_record.alone for crash_record in crash_records.values()),
            "targets": sorted(crash_records),
        }
        if standing is SuspicionLevel.HELD:
            _log.warning("request held back", **fields)
        else:
            _log.info("standing of a request", **fields)

    def _evict(self) -> None:
        ordered = sorted(
            self._records.values(),
            key=lambda record: (len(record.active_crash_records), record.last_crash_at),
            reverse=True,
        )
        self._records = {record.fingerprint: record for record in ordered[:MAX_RECORDS]}
