"""Quorum calculations over one or two sets of voters."""

from collections.abc import Collection, Mapping, Sequence

from bronzepoint_schema.generated.agreement import Voter
from bronzepoint_schema.ids import StorageId

VoterSets = Sequence[Sequence[Voter]]
"""Sets of voters of each of which a quorum is required; see `required_sets`."""
VACANT = StorageId("")
"""Storage of a voter's seat that no storage holds; it counts, but never votes."""


def required_sets(former: Sequence[Voter], voters: Sequence[Voter]) -> VoterSets:
    """Return the sets that must have a quorum once a change of the voters is stored.

    The new set suffices if each of its majorities shares a storage with each majority
    of the former set. Otherwise a majority of both is required until the change is
    known to be durable: two leaders without a common voter could be elected.
    """
    if _majorities_overlap(former, voters):
        return [voters]
    return [former, voters]


def is_quorum(storages: Collection[StorageId], sets: VoterSets) -> bool:
    """Return whether these storages are a majority of each set of voters."""
    return bool(sets) and all(_is_majority(storages, voters) for voters in sets)


def reached_by_quorum(
    values: Mapping[StorageId, float], sets: VoterSets, default_value: float
) -> float:
    """Return the highest value that a majority of each set has reached.

    Args:
        values: Value that each storage has reached.
        sets: The sets of voters.
        default_value: Value of a storage that isn't in ``values``.
    """
    return min(
        (_reached(values, voters, default_value) for voters in sets),
        default=default_value,
    )


def _majorities_overlap(first: Sequence[Voter], second: Sequence[Voter]) -> bool:
    storages = {voter.storage for voter in (*first, *second)} - {VACANT}
    return _majority(first) + _majority(second) > len(storages)


def _majority(voters: Sequence[Voter]) -> int:
    return len(voters) // 2 + 1


def _is_majority(storages: Collection[StorageId], voters: Sequence[Voter]) -> bool:
    count = sum(voter.storage in storages for voter in voters)
    return count >= _majority(voters)


def _reached(
    values: Mapping[StorageId, float], voters: Sequence[Voter], default_value: float
) -> float:
    reached = sorted(
        (values.get(v.storage, default_value) for v in voters), reverse=True
    )
    return reached[len(reached) // 2] if reached else default_value
