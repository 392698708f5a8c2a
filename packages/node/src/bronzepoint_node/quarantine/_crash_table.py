"""The table of requests and prompt parts involved in crashes, as known to one host."""

from collections.abc import Callable, Iterable

from bronzepoint_common.logs import get_logger
from bronzepoint_common.turns import rotating_slice
from bronzepoint_schema.generated.quarantine import CrashCase
from bronzepoint_schema.ids import Fingerprint

from ._fingerprint import RequestFingerprints, combine_parts, is_part
from ._part_standing import PART_TRIAL_INTERVAL, PartStandings, part_standings
from ._standing import (
    MIN_CRASHES_SUSPECT,
    SuspicionLevel,
    has_failed_trial,
    suspicion_levels,
    was_tried,
)
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

MAX_SOUND_PARTS = 1024
"""Maximum number of prompt parts whose latest sound run is remembered."""

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
        self._part_standings = PartStandings()
        self._sound_at: dict[Fingerprint, float] = {}

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
        """Return the standing of a request: the strictest of it and its parts."""
        if not self._standings:
            return SuspicionLevel.CLEAR
        if self._blocked_sets(fingerprints):
            return SuspicionLevel.HELD
        names = (fingerprints.exact, fingerprints.content, *fingerprints.parts)
        return max(map(self.standing, names))

    def _blocked_sets(
        self, fingerprints: RequestFingerprints
    ) -> list[frozenset[Fingerprint]]:
        """Return the sets of parts that block a request with all of them."""
        return [
            parts
            for parts in self._part_standings.blocked_together
            if parts.issubset(fingerprints.parts)
        ]

    def suspect_parts(
        self,
        fingerprints: RequestFingerprints,
        level: SuspicionLevel = SuspicionLevel.SUSPECT,
    ) -> list[Fingerprint]:
        """Return the parts of a request that have at least this standing."""
        if not self._standings:
            return []
        return [part for part in fingerprints.parts if self.standing(part) >= level]

    def count(self, standing: SuspicionLevel) -> int:
        """Return how many requests have this standing, which must not be CLEAR."""
        return sum(found is standing for found in self._standings.values())

    def record(self, fingerprint: Fingerprint) -> SuspectRecord | None:
        """Return the record of a request, or None if it has no recorded crash."""
        return self._records.get(fingerprint)

    def has_failed_trial(self, fingerprint: Fingerprint) -> bool:
        """Return whether the trial of a request failed for no other request's fault."""
        crash_records = {
            record.fingerprint: record.active_crash_records
            for record in self.records(MIN_CRASHES_SUSPECT)
            if not is_part(record.fingerprint)
        }
        own = crash_records.get(fingerprint, {})
        return has_failed_trial(fingerprint, own, crash_records)

    def blocked_for(self, fingerprint: Fingerprint, now: float) -> float:
        """Return the seconds until a blocked request or part may be tried again."""
        record = self._records.get(fingerprint)
        if record is None:
            return 0.0
        is_proven = any(
            fingerprint in parts for parts in self._part_standings.blocked_together
        )
        is_unproven = is_part(fingerprint) and not is_proven
        lasts = PART_TRIAL_INTERVAL if is_unproven else RETENTION
        return max(0.0, record.last_crash_at + lasts - now)

    def cause_of_block(self, fingerprints: RequestFingerprints) -> Fingerprint:
        """Return what blocks a request: its own fingerprint or that of its parts."""
        sets = self._blocked_sets(fingerprints)
        if sets:
            return combine_parts(min(sets, key=len))
        held = self.suspect_parts(fingerprints, SuspicionLevel.HELD)
        return held[0] if held else fingerprints.exact

    def request_blocked_for(
        self, fingerprints: RequestFingerprints, now: float
    ) -> float:
        """Return the seconds until a blocked request may be tried again."""
        names = self.suspect_parts(fingerprints, SuspicionLevel.HELD)
        for parts in self._blocked_sets(fingerprints):
            names += parts
        if not names or self.standing(fingerprints.exact) is SuspicionLevel.HELD:
            names.append(fingerprints.exact)
        return max(self.blocked_for(name, now) for name in names)

    def note_sound(self, parts: Iterable[Fingerprint], now: float) -> None:
        """Record that a target has run a request with these parts.

        Another host may report a crash beside them that happened before.
        """
        for part in parts:
            # Moved to the end, so that the first one is the oldest.
            self._sound_at.pop(part, None)
            self._sound_at[part] = now
        while len(self._sound_at) > MAX_SOUND_PARTS:
            del self._sound_at[next(iter(self._sound_at))]

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

    def record_outage(self, targets: Iterable[str], now: float) -> list[Fingerprint]:
        """Record that targets ended together in one outage.

        Returns:
            Fingerprints of the requests that have changed.
        """
        wanted = set(targets)
        outage = min(wanted)
        changed = []
        for record in self._records.values():
            if is_part(record.fingerprint):
                # Crashes at the same time count once for a part anyway.
                continue
            crash_records = [
                record.crash_records[target]
                for target in wanted & record.crash_records.keys()
                if record.crash_records[target].outage != outage
            ]
            for crash_record in crash_records:
                crash_record.outage = outage
            if crash_records:
                changed.append(record.fingerprint)
        self._after_change(changed, now)
        return changed

    def expire(self, now: float) -> None:
        """Drop crashes older than the retention time, and end blocks that are due."""
        has_expired = any(
            crash_record.at < now - RETENTION
            for record in self._records.values()
            for crash_record in record.crash_records.values()
        )
        if has_expired:
            for fingerprint, record in list(self._records.items()):
                record.drop_before(now - RETENTION)
                if not record.crash_records:
                    del self._records[fingerprint]
        if has_expired or self._has_unproven_block():
            self._update_standings(now)

    def _has_unproven_block(self) -> bool:
        return any(
            level is SuspicionLevel.HELD
            and was_tried(self._records[part].crash_records.values())
            for part, level in self._part_standings.levels.items()
            if part in self._records
        )

    def merge(self, reported: Iterable[CrashCase], now: float) -> None:
        """Merge the cases that another host has reported."""
        changed = set()
        for case in reported:
            for mark in case.marks:
                at = now - mark.age_ms / 1000
                if now - at > RETENTION:
                    continue
                received = CrashRecord(
                    at,
                    mark.early,
                    mark.alone,
                    mark.cleared,
                    mark.tried,
                    tuple(mark.requests),
                    mark.outage,
                    mark.on_trial,
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
        if self._sound_at.get(fingerprint, -RETENTION) > crash_record.at:
            crash_record.cleared = True
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
            self._update_standings(now)

    def _update_standings(self, now: float) -> None:
        former, records = self._standings, self._records.values()
        former_sets = self._part_standings.blocked_together
        self._part_standings = part_standings(records, now)
        new_sets = set(self._part_standings.blocked_together) - set(former_sets)
        requests = [record for record in records if not is_part(record.fingerprint)]
        self._standings = {
            **suspicion_levels(requests, self._part_standings.explained),
            **self._part_standings.levels,
        }
        affected = [
            record
            for fingerprint in former.keys() | self._standings.keys()
            if (
                former.get(fingerprint) is not self._standings.get(fingerprint)
                or any(fingerprint in parts for parts in new_sets)
            )
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
            "early": sum(crash_record.early for crash_record in crash_records.values()),
            "alone": sum(crash_record.alone for crash_record in crash_records.values()),
            "alone_at": sorted(n for n, m in crash_records.items() if m.alone),
            "tried": was_tried(crash_records.values()),
            "targets": sorted(crash_records),
        }
        noun = "prompt part" if is_part(record.fingerprint) else "request"
        if standing is SuspicionLevel.HELD:
            _log.warning(f"{noun} held back", **fields)
        else:
            _log.info(f"standing of a {noun}", **fields)

    def _evict(self) -> None:
        ordered = sorted(
            self._records.values(),
            key=lambda record: (len(record.active_crash_records), record.last_crash_at),
            reverse=True,
        )
        self._records = {record.fingerprint: record for record in ordered[:MAX_RECORDS]}
