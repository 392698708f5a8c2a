"""What the crashes that requests were beside say of each of them."""

from collections import Counter
from collections.abc import Iterable
from enum import IntEnum

from bronzepoint_schema.ids import Fingerprint

from ._case import Case, Mark
from ._fingerprint import is_any_caller

SUSPECT_FROM = 2
"""Crashes as it began from which a request is a suspect: one says nothing, as all that
ran there saw it."""
HELD_FROM = 3
"""Such crashes from which a request is held back, if it was alone at one of them."""
HELD_ANYWAY_FROM = 5
"""Such crashes from which it is held back whatever else ran there."""
HELD_LATE_FROM = 6
"""Crashes at any moment of its runs from which it is held back: a stream that flowed
each time is most likely a bystander."""


class Standing(IntEnum):
    """How a request is treated, the strictest last.

    CLEAR: as any other. SUSPECT: on trial, apart from other suspects and where little
    else runs. DOUBTFUL: on trial, too, but only by permit of one host for the whole
    system. HELD: not sent to any target.
    """

    CLEAR = 0
    SUSPECT = 1
    DOUBTFUL = 2
    HELD = 3


Marks = dict[str, Mark]


def judge(cases: Iterable[Case]) -> dict[Fingerprint, Standing]:
    """Return the standing of each request that isn't clear.

    A crash has one culprit. All that ran there saw it, and a popular request, or a
    batch of streams that went on together, may have seen each of several. So what a
    request that is held back explains counts for no other.
    """
    open_marks = {
        case.fingerprint: marks
        for case in cases
        if len(case.marks) >= SUSPECT_FROM
        and len(marks := case.open_marks) >= SUSPECT_FROM
    }
    proofs = _proofs(open_marks)
    ordered = sorted(
        open_marks,
        key=lambda name: (
            _is_proved(open_marks[name], proofs[name]),
            _early(open_marks[name]),
        ),
        reverse=True,
    )
    explained: set[str] = set()
    standings = {}
    for name in ordered:
        proved = proofs[name]
        left = {
            target: mark
            for target, mark in open_marks[name].items()
            if target in proved or target not in explained
        }
        standing = _standing(left, proved)
        if is_any_caller(name):
            # Another caller's request may be sound: it is tried, by permit.
            standing = min(standing, Standing.DOUBTFUL)
        elif standing is Standing.HELD:
            explained.update(open_marks[name])
        if standing is not Standing.CLEAR:
            standings[name] = standing
    return standings


def _proofs(open_marks: dict[Fingerprint, Marks]) -> dict[Fingerprint, set[str]]:
    """Return at which crashes each request was alone, if nobody else claims it.

    Hosts that know nothing of each other may send two suspects to one target, and each
    takes its own for the only one.
    """
    claims = Counter(
        (is_any_caller(name), target)
        for name, marks in open_marks.items()
        for target, mark in marks.items()
        if mark.alone
    )
    return {
        name: {
            target
            for target, mark in marks.items()
            if mark.alone and claims[is_any_caller(name), target] == 1
        }
        for name, marks in open_marks.items()
    }


def _early(marks: Marks) -> int:
    return sum(mark.early for mark in marks.values())


def _is_proved(marks: Marks, proved: set[str]) -> bool:
    return bool(proved) and _early(marks) >= HELD_FROM


def _standing(marks: Marks, proved: set[str]) -> Standing:
    early = _early(marks)
    if _is_proved(marks, proved) or early >= HELD_ANYWAY_FROM:
        return Standing.HELD
    if len(marks) >= HELD_LATE_FROM:
        return Standing.HELD
    if early >= HELD_FROM:
        return Standing.DOUBTFUL
    return Standing.SUSPECT if early >= SUSPECT_FROM else Standing.CLEAR
