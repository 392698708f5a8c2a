"""The shorter record that is copied to the backup host."""

import msgspec

from bronzepoint_schema.generated.decisions import (
    Candidate,
    DecisionRecord,
    ExclusionReason,
)

COPIED_CANDIDATES = 3


def abridge(record: DecisionRecord) -> DecisionRecord:
    """Return a record with fewer candidates, for the copy.

    Candidates are most of a record, and at the size to come whole copies would take
    three quarters of what a host may send and receive for control. The choice stays,
    then those that were ruled out for a reason, then those that were merely worse.
    """
    ranked = sorted(record.candidates, key=lambda item: _rank(item, record.choice))
    kept = ranked[:COPIED_CANDIDATES]
    left_out = len(ranked) - len(kept)
    if left_out == 0:
        return record
    return msgspec.structs.replace(
        record,
        candidates=[item for item in record.candidates if item in kept],
        notes=[*record.notes, f"copy: {left_out} more candidates on {record.host}"],
    )


def _rank(candidate: Candidate, choice: str) -> int:
    if candidate.name == choice:
        return 0
    return 2 if candidate.excluded is ExclusionReason.worse else 1
