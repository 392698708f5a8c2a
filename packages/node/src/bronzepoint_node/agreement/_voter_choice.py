"""Who votes: the decision of a leader, apart from how it is carried out."""

from collections import Counter
from dataclasses import dataclass

from bronzepoint_schema.generated.agreement import Voter
from bronzepoint_schema.ids import RegionName


@dataclass(frozen=True)
class Candidate:
    """A host with a disk, as the leader sees it.

    Attributes:
        voter: Host and storage.
        region: Its region; empty: not known.
        silent: Seconds since it answered last.
        caught_up: True where it holds everything that is committed.
    """

    voter: Voter
    region: RegionName
    silent: float
    caught_up: bool


def choose_voters(
    voters: list[Voter],
    candidates: list[Candidate],
    wanted: int,
    replace_after: float,
) -> list[Voter] | None:
    """Return the next set of voters; None: it stays as it is.

    Free seats are filled first, in regions with the fewest voters. Then a voter that
    has been silent for long gives its seat to a host that answers. A region gets no
    more seats than leave the others a quorum, so that its loss can be survived.

    Args:
        voters: The present set.
        candidates: All hosts that are known, voters too.
        wanted: Seats.
        replace_after: Seconds of silence after which a seat may be given away.
    """
    by_host = {c.voter.host: c for c in candidates}
    seated = {v.host for v in voters}
    waiting = [c for c in candidates if c.voter.host not in seated and c.caught_up]
    regions = Counter(_region(by_host, voter) for voter in voters)
    waiting.sort(key=lambda c: (regions[c.region], c.voter.host))
    if len(voters) < wanted:
        return _fill_seats(voters, waiting, regions, wanted)
    for voter in voters:
        known = by_host.get(voter.host)
        if known is None or known.silent < replace_after:
            continue
        for candidate in waiting:
            after = regions[candidate.region] + (candidate.region != known.region)
            if after <= _most_of_a_region(wanted):
                return [candidate.voter if v == voter else v for v in voters]
    return None


def _fill_seats(
    voters: list[Voter],
    waiting: list[Candidate],
    regions: Counter[RegionName],
    wanted: int,
) -> list[Voter] | None:
    """Add hosts, two at a time where an odd number stands already.

    An even number of voters survives no more losses than the odd number below it,
    and its quorum is larger.
    """
    chosen = list(voters)
    for candidate in waiting:
        if len(chosen) >= wanted:
            break
        if regions[candidate.region] < _most_of_a_region(wanted):
            chosen.append(candidate.voter)
            regions[candidate.region] += 1
    if len(chosen) % 2 == 0 and len(voters) % 2 == 1:
        chosen.pop()
    return chosen if len(chosen) > len(voters) else None


def _most_of_a_region(wanted: int) -> int:
    return (wanted - 1) // 2


def _region(by_host: dict, voter: Voter) -> RegionName:
    known = by_host.get(voter.host)
    return known.region if known is not None else RegionName("")
