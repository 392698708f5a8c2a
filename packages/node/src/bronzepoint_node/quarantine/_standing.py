"""Classification of requests by the target crashes they were involved in."""

from collections import Counter
from collections.abc import Iterable, Mapping
from enum import IntEnum

from bronzepoint_schema.ids import Fingerprint

from ._fingerprint import is_any_caller
from ._suspect_record import CrashRecord, SuspectRecord

MIN_CRASHES_SUSPECT = 2
"""Number of early crashes, soon after the request began to run, from which it is a
suspect. A single crash proves nothing, as it affects every request that ran on the
target."""
MIN_CRASHES_BLOCKED = 3
"""Number of early crashes from which a request is blocked, if it ran alone in one of
them."""
MIN_CRASHES_BLOCKED_UNPROVEN = 5
"""Number of early crashes from which a request is blocked even if other requests ran on
the target each time."""
MIN_CRASHES_BLOCKED_LATE = 6
"""Number of crashes at any point of its runs from which a request is blocked. It is
higher since a stream that had been running each time is most likely unrelated."""


class SuspicionLevel(IntEnum):
    """Treatment of a request, in order of strictness.

    CLEAR: no restrictions. SUSPECT: runs on trial, apart from other suspects and on a
    target with little other work. DOUBTFUL: runs on trial, but only with a permit from
    the one host that grants it for the whole system. HELD: not sent to any target, also
    where that trial didn't clear a doubtful request.
    """

    CLEAR = 0
    SUSPECT = 1
    DOUBTFUL = 2
    HELD = 3


CrashRecords = dict[str, CrashRecord]


def suspicion_levels(
    records: Iterable[SuspectRecord], explained: Iterable[str] = ()
) -> dict[Fingerprint, SuspicionLevel]:
    """Return the standing of each request that isn't clear.

    Args:
        records: Requests that ran at crashed targets.
        explained: Targets whose crashes have another known cause.

    A crash has one cause but affects every request that ran on the target. A frequent
    request, or a batch of streams that resume together on one target after another, may
    be involved in several crashes. Crashes attributed to a blocked request thus don't
    count against others.
    """
    records = list(records)
    active_crash_records = {
        record.fingerprint: crash_records
        for record in records
        if len(record.crash_records) >= MIN_CRASHES_SUSPECT
        and len(crash_records := record.active_crash_records) >= MIN_CRASHES_SUSPECT
    }
    proven_crashes = _proven_crashes(active_crash_records, _count_trials(records))
    ordered = sorted(
        active_crash_records,
        key=lambda fingerprint: (
            _is_proven_cause(
                active_crash_records[fingerprint], proven_crashes[fingerprint]
            ),
            _count_early(active_crash_records[fingerprint]),
        ),
        reverse=True,
    )
    attributed: set[str] = set(explained)
    standings = {}
    for fingerprint in ordered:
        proven = proven_crashes[fingerprint]
        counted = {
            target: crash_record
            for target, crash_record in active_crash_records[fingerprint].items()
            if target in proven or target not in attributed
        }
        standing = _classify(counted, proven)
        if is_any_caller(fingerprint):
            # The content may be harmless from another caller, so it is never blocked
            # but runs on trial with a permit.
            standing = min(standing, SuspicionLevel.DOUBTFUL)
        elif standing is SuspicionLevel.HELD:
            attributed.update(active_crash_records[fingerprint])
        elif standing is SuspicionLevel.DOUBTFUL and has_failed_trial(
            fingerprint, counted, active_crash_records
        ):
            # It may be unrelated, so its crashes still count against others.
            standing = SuspicionLevel.HELD
        if standing is not SuspicionLevel.CLEAR:
            standings[fingerprint] = standing
    return standings


def was_tried(crash_records: Iterable[CrashRecord]) -> bool:
    """Return whether a permitted trial of a request has been used up."""
    return any(crash_record.tried for crash_record in crash_records)


def has_failed_trial(
    fingerprint: Fingerprint,
    own: CrashRecords,
    crash_records: Mapping[Fingerprint, CrashRecords],
) -> bool:
    """Return whether the permitted trial of a request has ended without an answer, and
    no other request explains that.

    A target that crashed during the trial was crashed by any request that had just
    begun there. One that was there at all crashes of this request explains them as
    well, so that this one gets another permit. After that trial, either no crash has
    come after the latest trial or there are enough to block the request.

    Args:
        fingerprint: Fingerprint of the request.
        own: Its crashes that count.
        crash_records: Crashes of all requests.
    """
    if not was_tried(own.values()):
        return False
    early = {target for target, crash in own.items() if crash.early}
    crashed_since = any(not own[target].tried for target in early)
    if not crashed_since or len(early) >= MIN_CRASHES_BLOCKED_UNPROVEN:
        return True
    return not any(
        is_any_caller(other) == is_any_caller(fingerprint)
        and other != fingerprint
        and all(target in found and found[target].early for target in early)
        for other, found in crash_records.items()
    )


def _count_trials(
    records: Iterable[SuspectRecord],
) -> Counter[tuple[bool, str]]:
    """Return how many requests were on trial at each crash.

    The counts of fingerprints with and without the caller are separate.
    """
    return Counter(
        (is_any_caller(record.fingerprint), target)
        for record in records
        for target, crash_record in record.crash_records.items()
        if (crash_record.on_trial or crash_record.alone) and not crash_record.cleared
    )


def _proven_crashes(
    active_crash_records: dict[Fingerprint, CrashRecords],
    trials: Counter[tuple[bool, str]],
) -> dict[Fingerprint, set[str]]:
    """Return the crashes in which each request was the only suspect.

    Hosts that haven't synced may send two suspects to one target, and if nothing else
    has free capacity, any host does. A host knows only of its own runs which one was
    sent there later, so a crash with several suspects on trial proves nothing.
    """
    return {
        fingerprint: {
            target
            for target, crash_record in crash_records.items()
            if crash_record.alone and trials[is_any_caller(fingerprint), target] == 1
        }
        for fingerprint, crash_records in active_crash_records.items()
    }


def _count_early(crash_records: CrashRecords) -> int:
    return sum(crash_record.early for crash_record in crash_records.values())


def _is_proven_cause(crash_records: CrashRecords, proven: set[str]) -> bool:
    return bool(proven) and _count_early(crash_records) >= MIN_CRASHES_BLOCKED


def _classify(crash_records: CrashRecords, proven: set[str]) -> SuspicionLevel:
    early = _count_early(crash_records)
    if _is_proven_cause(crash_records, proven) or early >= MIN_CRASHES_BLOCKED_UNPROVEN:
        return SuspicionLevel.HELD
    if len(crash_records) >= MIN_CRASHES_BLOCKED_LATE:
        return SuspicionLevel.HELD
    if early >= MIN_CRASHES_BLOCKED:
        return SuspicionLevel.DOUBTFUL
    return (
        SuspicionLevel.SUSPECT if early >= MIN_CRASHES_SUSPECT else SuspicionLevel.CLEAR
    )
