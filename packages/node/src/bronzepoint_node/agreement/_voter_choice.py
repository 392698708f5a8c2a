"""Selection of the hosts that vote, without side effects."""

from collections import Counter
from dataclasses import dataclass

from bronzepoint_schema.generated.agreement import Voter
from bronzepoint_schema.ids import RegionName


@dataclass(frozen=True)
class VoterCandidate:
    """A host with a disk that votes or may become a voter.

    Attributes:
        voter: Host and storage.
        region: Its region; empty if it isn't known.
        unresponsive_for: Seconds since its last answer to the leader.
        caught_up: Whether it holds all committed entries.
    """

    voter: Voter
    region: RegionName
    unresponsive_for: float
    caught_up: bool


def select_voters(
    voters: list[Voter],
    candidates: list[VoterCandidate],
    desired: int,
    replace_after: float,
) -> list[Voter] | None:
    """Return the next set of voters, or None if it stays unchanged.

    Missing voters are added first, in the regions with the fewest voters. Then a voter
    that has been unresponsive for long is replaced by a host that answers. The number
    of voters in a region is limited so that the other regions hold a quorum and the
    loss of one region can be tolerated.

    Args:
        voters: The current set.
        candidates: All known hosts, including voters.
        desired: Desired number of voters.
        replace_after: Seconds without an answer after which a voter may be replaced.
    """
    by_host = {c.voter.host: c for c in candidates}
    current_hosts = {v.host for v in voters}
    eligible = [
        c for c in candidates if c.voter.host not in current_hosts and c.caught_up
    ]
    regions = Counter(_region(by_host, voter) for voter in voters)
    eligible.sort(key=lambda c: (regions[c.region], c.voter.host))
    if len(voters) < desired:
        return _add_voters(voters, eligible, regions, desired)
    for voter in voters:
        known = by_host.get(voter.host)
        if known is None or known.unresponsive_for < replace_after:
            continue
        for candidate in eligible:
            after = regions[candidate.region] + (candidate.region != known.region)
            if after <= _max_voters_per_region(desired):
                return [candidate.voter if v == voter else v for v in voters]
    return None


def _add_voters(
    voters: list[Voter],
    eligible: list[VoterCandidate],
    regions: Counter[RegionName],
    desired: int,
) -> list[Voter] | None:
    """Add voters, an even number of them if the current number is odd.

    An even number of voters tolerates no more losses than the odd number below it,
    and needs a larger quorum.
    """
    chosen = list(voters)
    for candidate in eligible:
        if len(chosen) >= desired:
            break
        if regions[candidate.region] < _max_voters_per_region(desired):
            chosen.append(candidate.voter)
            regions[candidate.region] += 1
    if len(chosen) % 2 == 0 and len(voters) % 2 == 1:
        chosen.pop()
    return chosen if len(chosen) > len(voters) else None


def _max_voters_per_region(desired: int) -> int:
    return (desired - 1) // 2


def _region(by_host: dict, voter: Voter) -> RegionName:
    known = by_host.get(voter.host)
    return known.region if known is not None else RegionName("")
