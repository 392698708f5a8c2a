"""The votes of one half of a round."""

from collections.abc import Sequence
from enum import Enum

import curio

from bronzepoint_node.run_once._ballots import rank
from bronzepoint_node.run_once._owners import majority
from bronzepoint_node.run_once._states import State
from bronzepoint_schema.generated.run_once import (
    Accept,
    Ballot,
    Prepare,
    Vote,
    VoteResult,
)
from bronzepoint_schema.ids import HostName


class RoundState(Enum):
    """How one half of a round stands."""

    waiting = "waiting"
    granted = "granted"
    refused = "refused"


class Round:
    """Collects votes until a majority granted, or none can any more.

    A copy that restarted without memory may have votes of an earlier incarnation on
    their way. Such a vote counts for nothing: the copy no longer keeps what it says.
    The sequence: it votes, loses its memory, reads a second copy before that one
    stores the state, and then the second copy votes. Both votes arrive, one copy
    alone knows. The second copy's vote tells that it was read by a newer incarnation,
    so the older vote is dropped.

    Args:
        message: What the copies vote on.
        owners: The copies, in the order in which votes tell incarnations.
    """

    def __init__(self, message: Prepare | Accept, owners: Sequence[HostName]) -> None:
        self.message = message
        self._owners = owners
        self._votes: dict[HostName, Vote] = {}
        self.decided = curio.Event()

    async def add(self, host: HostName, vote: Vote) -> None:
        """Take a vote; a later one of the same host replaces it."""
        if host not in self._owners or vote.ballot != self.message.ballot:
            return
        earlier = self._votes.get(host)
        if earlier is not None and _stands(earlier, vote):
            return
        self._votes[host] = vote
        if self.state() is not RoundState.waiting:
            await self.decided.set()

    def missing(self) -> list[HostName]:
        """Return the owners whose vote is not here, or no longer counts."""
        granted = self.granted()
        return [
            host
            for host in self._owners
            if host not in granted and not self._has_refused(host)
        ]

    def state(self) -> RoundState:
        """Return how this half of the round stands.

        One copy that promised a higher ballot ends it: the others may be down, and
        to wait for them would cost the whole timeout.
        """
        needed = majority(len(self._owners))
        if len(self.granted()) >= needed:
            return RoundState.granted
        if VoteResult.preempted in self.refusals():
            return RoundState.refused
        refusals = sum(self._has_refused(host) for host in self._owners)
        if len(self._owners) - refusals < needed:
            return RoundState.refused
        return RoundState.waiting

    def granted(self) -> dict[HostName, Vote]:
        """Return the granted votes of the newest incarnations."""
        granted = {
            host: vote
            for host, vote in self._votes.items()
            if vote.result is VoteResult.granted
        }
        newest = [0] * len(self._owners)
        for vote in granted.values():
            newest = [max(pair) for pair in zip(newest, vote.seen, strict=True)]
        return {
            host: vote
            for host, vote in granted.items()
            if vote.incarnation >= newest[self._owners.index(host)]
        }

    def refusals(self) -> list[VoteResult]:
        """Return why copies refused."""
        return [
            vote.result
            for vote in self._votes.values()
            if vote.result is not VoteResult.granted
        ]

    def highest_promise(self) -> Ballot | None:
        """Return the highest ballot that a refusing copy has promised."""
        promises = [vote.promised for vote in self._votes.values() if vote.promised]
        return max(promises, key=rank, default=None)

    def latest_state(self) -> State | None:
        """Return the state stored under the highest ballot among the granted votes."""
        votes = self.granted().values()
        return max(votes, key=lambda vote: rank(vote.accepted)).state

    def is_settled(self) -> bool:
        """Tell whether all granted votes tell of the same stored ballot.

        Then a majority keeps that state, and it needs not be written again.
        """
        return len({rank(vote.accepted) for vote in self.granted().values()}) == 1

    def _has_refused(self, host: HostName) -> bool:
        vote = self._votes.get(host)
        return vote is not None and vote.result is not VoteResult.granted


def _stands(earlier: Vote, later: Vote) -> bool:
    """Tell whether a vote holds against a doubled or reordered one of the same copy."""
    if earlier.incarnation != later.incarnation:
        return earlier.incarnation > later.incarnation
    return earlier.result is VoteResult.granted
