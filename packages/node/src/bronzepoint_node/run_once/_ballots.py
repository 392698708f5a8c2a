"""Creation and ordering of ballots."""

import secrets

from bronzepoint_schema.generated.run_once import Ballot
from bronzepoint_schema.ids import HostName

_NONCE_BITS = 60

Rank = tuple[int, str, int]
LOWEST: Rank = (0, "", 0)


def rank(ballot: Ballot | None) -> Rank:
    """Return the sort key of a ballot; None ranks below every ballot."""
    if ballot is None:
        return LOWEST
    return (ballot.counter, ballot.host, ballot.nonce)


def new_ballot(counter: int, host: HostName) -> Ballot:
    """Return a ballot that is unique among the rounds of all hosts.

    Two rounds of one host on one key, or rounds before and after a restart, may use
    the same counter. With equal ballots, two different states could be stored as if
    they were one. The random nonce prevents that.
    """
    return Ballot(counter, host, secrets.randbits(_NONCE_BITS))


def following_ballot(ballot: Ballot) -> Ballot:
    """Return the next ballot that the same proposer may use without a new promise."""
    return Ballot(ballot.counter + 1, ballot.host, ballot.nonce)
