"""Shortening of decision records for the copy on the backup host."""

import msgspec

from bronzepoint_schema.generated.decisions import (
    Candidate,
    DecisionRecord,
    ExclusionReason,
)

COPIED_CANDIDATES = 3
"""Number of candidates in the copy of a record."""


def shorten(record: DecisionRecord) -> DecisionRecord:
    """Return a record with at most COPIED_CANDIDATES candidates, for the copy.

    Candidates make up most of a record. In deployments of the planned size full copies
    would take three quarters of a host's bandwidth budget for control traffic. The
    chosen candidate is kept first, then those that were excluded for a reason, then
    those that only had a worse score.
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
