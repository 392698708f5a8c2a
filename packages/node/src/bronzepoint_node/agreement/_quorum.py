"""Quorum calculations over one or two sets of voters."""

from collections.abc import Collection, Mapping, Sequence

from bronzepoint_schema.generated.agreement import Voter
from bronzepoint_schema.ids import StorageId

VoterSets = Sequence[Sequence[Voter]]
"""One set of voters, or two while a change of the voters isn't known to be durable.

Until then a quorum of both sets is required. If the new set sufficed, a leader could
be elected by a quorum with the new storage while the former storage, mounted again,
forms a quorum with the other voters: two leaders without a common voter.
"""


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


def _is_majority(storages: Collection[StorageId], voters: Sequence[Voter]) -> bool:
    count = sum(voter.storage in storages for voter in voters)
    return 2 * count > len(voters)


def _reached(
    values: Mapping[StorageId, float], voters: Sequence[Voter], default_value: float
) -> float:
    reached = sorted(
        (values.get(v.storage, default_value) for v in voters), reverse=True
    )
    return reached[len(reached) // 2] if reached else default_value
