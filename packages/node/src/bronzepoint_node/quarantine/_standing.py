"""What the crashes that requests were beside say of each of them."""

from collections.abc import Iterable
from enum import Enum

from bronzepoint_schema.ids import Fingerprint

from ._case import Case, Mark

SUSPECT_FROM = 2
"""Crashes early in its run from which a request is a suspect: one says nothing, as all
that ran there saw it."""
HELD_FROM = 3
"""Crashes from which a request is held back, if it was alone at one of them."""
HELD_ANYWAY_FROM = 5
"""Crashes from which it is held back whatever else ran there."""


class Standing(Enum):
    """How a request is treated.

    CLEAR: as any other. SUSPECT: on trial, apart from other suspects and where little
    else runs. DOUBTFUL: on trial, too, but only by leave of one host for the whole
    system. HELD: not sent to any target.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    DOUBTFUL = "doubtful"
    HELD = "held"


def judge(cases: Iterable[Case]) -> dict[Fingerprint, Standing]:
    """Return the standing of each request that isn't clear.

    A crash has one culprit. All that ran there saw it, and a popular request, or a
    batch of streams that went on together, may have seen each of several. So what is
    explained by a request that was alone, or that is held back, counts for no other.
    """
    open_marks = {case.fingerprint: case.open_marks for case in cases}
    ordered = sorted(
        (name for name in open_marks if len(open_marks[name]) >= SUSPECT_FROM),
        key=lambda name: (_is_proved(open_marks[name]), len(open_marks[name])),
        reverse=True,
    )
    explained = {
        target
        for marks in open_marks.values()
        for target, mark in marks.items()
        if mark.alone
    }
    standings = {}
    for name in ordered:
        marks = open_marks[name]
        standing = _standing(marks, explained)
        if standing is Standing.HELD:
            explained.update(marks)
        if standing is not Standing.CLEAR:
            standings[name] = standing
    return standings


def _is_proved(marks: dict[str, Mark]) -> bool:
    return len(marks) >= HELD_FROM and any(mark.alone for mark in marks.values())


def _standing(marks: dict[str, Mark], explained: set[str]) -> Standing:
    if _is_proved(marks):
        return Standing.HELD
    left = [
        mark for target, mark in marks.items() if mark.alone or target not in explained
    ]
    if len(left) >= HELD_ANYWAY_FROM:
        return Standing.HELD
    if len(left) >= HELD_FROM:
        return Standing.DOUBTFUL
    if sum(mark.early for mark in left) >= SUSPECT_FROM:
        return Standing.SUSPECT
    return Standing.CLEAR
