"""Classification of prompt parts by the target crashes they were involved in."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from bronzepoint_schema.ids import Fingerprint

from ._fingerprint import is_part
from ._standing import (
    MIN_CRASHES_BLOCKED,
    MIN_CRASHES_SUSPECT,
    SuspicionLevel,
    was_tried,
)
from ._suspect_record import SuspectRecord

MIN_SEPARATION = 0.5
"""Seconds between crashes that count as separate events for a prompt part. A power
failure ends many targets at once, and a frequent part ran early at most of them."""
PART_TRIAL_INTERVAL = 60.0
"""Seconds after the last crash of a prompt part whose permitted trial wasn't answered
until another one is permitted. No crash has proven yet that the part is harmful."""

Parts = frozenset[Fingerprint]


@dataclass(frozen=True)
class PartStandings:
    """Standings of the prompt parts that aren't clear.

    Attributes:
        levels: Standing of each part.
        blocked_together: Sets of parts of which at least one crashes targets. A request
            with all parts of a set is blocked.
        explained: Targets whose crashes the blocked parts explain.
    """

    levels: dict[Fingerprint, SuspicionLevel] = field(default_factory=dict)
    blocked_together: list[Parts] = field(default_factory=list)
    explained: frozenset[str] = frozenset()


def part_standings(records: Iterable[SuspectRecord], now: float) -> PartStandings:
    """Return the standings of all prompt parts.

    A crash has one cause, but every part of every request that had just begun at the
    target is recorded. Most parts are soon cleared by an answer to another request. Of
    those that remain, one that was there at all crashes of another one and at more
    explains them better. Two that only come together can't be told apart: only requests
    with both are blocked, so that a request with one of them can clear it.
    """
    records = list(records)
    candidates = {
        record.fingerprint: record
        for record in records
        if is_part(record.fingerprint) and _explains_more_than_one_request(record)
    }
    crashes = {
        name: set(record.early_crash_records) for name, record in candidates.items()
    }
    # Each set of crashes is compared once, however many parts share it.
    distinct = {frozenset(found) for found in crashes.values()}
    suspects = {
        name: candidates[name]
        for name, found in crashes.items()
        if not any(found < other for other in distinct)
    }
    blocked_together = _proven_sets(suspects, _disturbed_crashes(records))
    levels = {
        name: _classify(record, frozenset([name]) in blocked_together, now)
        for name, record in suspects.items()
    }
    explained = {
        target
        for parts in blocked_together
        for name in parts
        for target in crashes[name]
    }
    return PartStandings(levels, blocked_together, frozenset(explained))


def _explains_more_than_one_request(record: SuspectRecord) -> bool:
    """Return whether no single request was there at all crashes of a part."""
    crash_records = record.early_crash_records.values()
    if len(crash_records) < MIN_CRASHES_SUSPECT:
        return False
    return not set.intersection(*(set(crash.requests) for crash in crash_records))


def _disturbed_crashes(records: Iterable[SuspectRecord]) -> set[str]:
    """Return the targets at which a request that didn't run alone was on trial."""
    return {
        target
        for record in records
        if not is_part(record.fingerprint)
        for target, crash in record.crash_records.items()
        if crash.on_trial and not crash.alone and not crash.cleared
    }


def _proven_sets(
    suspects: dict[Fingerprint, SuspectRecord], disturbed: set[str]
) -> list[Parts]:
    """Return for each crash of a request that ran alone the suspect parts it had."""
    parts_by_target: dict[str, set[Fingerprint]] = {}
    for name, record in suspects.items():
        if len(record.early_crash_records) < MIN_CRASHES_BLOCKED:
            continue
        for target, crash in record.early_crash_records.items():
            if crash.alone and target not in disturbed:
                parts_by_target.setdefault(target, set()).add(name)
    return list({frozenset(parts) for parts in parts_by_target.values()})


def _classify(record: SuspectRecord, is_proven: bool, now: float) -> SuspicionLevel:
    if is_proven:
        return SuspicionLevel.HELD
    crash_records = record.early_crash_records.values()
    if _count_separate(crash.at for crash in crash_records) < MIN_CRASHES_BLOCKED:
        return SuspicionLevel.SUSPECT
    is_recent = now - record.last_crash_at < PART_TRIAL_INTERVAL
    if is_recent and was_tried(crash_records):
        return SuspicionLevel.HELD
    return SuspicionLevel.DOUBTFUL


def _count_separate(moments: Iterable[float]) -> int:
    count, last = 0, float("-inf")
    for moment in sorted(moments):
        if moment - last >= MIN_SEPARATION:
            count, last = count + 1, moment
    return count
