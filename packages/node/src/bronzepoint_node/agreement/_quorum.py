"""What a quorum of the voters has reached."""

from collections.abc import Collection, Mapping, Sequence

from bronzepoint_schema.generated.agreement import Voter
from bronzepoint_schema.ids import StorageId

VoterSets = Sequence[Sequence[Voter]]
"""One set of voters; two while a change of the voters isn't known to be durable.

Until then a quorum of both is needed. With the new set alone, the host that added a
storage could win with it while the former storage, mounted again, wins with the
rest: two leaders with no voter in common.
"""


def is_quorum(storages: Collection[StorageId], sets: VoterSets) -> bool:
    """Tell whether these storages are a majority of each set of voters."""
    return bool(sets) and all(_is_majority(storages, voters) for voters in sets)


def reached_by_quorum(
    values: Mapping[StorageId, float], sets: VoterSets, least: float
) -> float:
    """Return the highest value that a majority of each set has reached.

    Args:
        values: What each storage has reached.
        sets: The sets of voters.
        least: What a storage without a value counts as.
    """
    return min((_reached(values, voters, least) for voters in sets), default=least)


def _is_majority(storages: Collection[StorageId], voters: Sequence[Voter]) -> bool:
    count = sum(voter.storage in storages for voter in voters)
    return 2 * count > len(voters)


def _reached(
    values: Mapping[StorageId, float], voters: Sequence[Voter], least: float
) -> float:
    reached = sorted((values.get(v.storage, least) for v in voters), reverse=True)
    return reached[len(reached) // 2] if reached else least
