"""Order of ballots."""

import secrets

from bronzepoint_schema.generated.run_once import Ballot
from bronzepoint_schema.ids import HostName

_NONCE_BITS = 60

Rank = tuple[int, str, int]
LOWEST: Rank = (0, "", 0)


def rank(ballot: Ballot | None) -> Rank:
    """Return what ballots are compared by; no ballot is lower than any."""
    if ballot is None:
        return LOWEST
    return (ballot.counter, ballot.host, ballot.nonce)


def new_ballot(counter: int, host: HostName) -> Ballot:
    """Return a ballot that no other round has, on this host or another.

    Two rounds of one host on one key, or a host that restarted, may choose the same
    counter. Under an equal ballot they could store two states as if they were one.
    """
    return Ballot(counter, host, secrets.randbits(_NONCE_BITS))


def following_ballot(ballot: Ballot) -> Ballot:
    """Return the ballot that the same proposer may use next without a new promise."""
    return Ballot(ballot.counter + 1, ballot.host, ballot.nonce)
