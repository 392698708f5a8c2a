"""Collects the votes of one phase of a round."""

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
    """State of one phase of a round."""

    waiting = "waiting"
    granted = "granted"
    refused = "refused"


class Round:
    """Collects votes until a majority has granted, or no majority is possible.

    A replica that restarted without memory may have votes of an earlier incarnation
    in flight. Such a vote must not count, because the replica no longer holds the
    state it voted for. For example, it votes, loses its memory, and reads a second
    replica before that one stores the state; then the second replica votes. Both
    votes arrive, but only one replica holds the state. The second vote reports the
    newer incarnation that read its sender, so the older vote is dropped.

    Args:
        message: Message that the replicas vote on.
        owners: The replicas, in the order in which votes list incarnations.
    """

    def __init__(self, message: Prepare | Accept, owners: Sequence[HostName]) -> None:
        self.message = message
        self._owners = owners
        self._votes: dict[HostName, Vote] = {}
        self.decided = curio.Event()

    async def add(self, host: HostName, vote: Vote) -> None:
        """Add a vote; it may replace an earlier one of the same host."""
        if host not in self._owners or vote.ballot != self.message.ballot:
            return
        earlier = self._votes.get(host)
        if earlier is not None and _outranks(earlier, vote):
            return
        self._votes[host] = vote
        if self.state() is not RoundState.waiting:
            await self.decided.set()

    def missing(self) -> list[HostName]:
        """Return the owners whose vote is missing or no longer counts."""
        granted = self.granted()
        return [
            host
            for host in self._owners
            if host not in granted and not self._has_refused(host)
        ]

    def state(self) -> RoundState:
        """Return the state of this phase.

        One replica that promised a higher ballot ends the phase: the others may be
        down, and waiting for them would take the whole timeout.
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
        """Return the reasons for which replicas refused."""
        return [
            vote.result
            for vote in self._votes.values()
            if vote.result is not VoteResult.granted
        ]

    def highest_promise(self) -> Ballot | None:
        """Return the highest ballot promised by a replica that refused."""
        promises = [vote.promised for vote in self._votes.values() if vote.promised]
        return max(promises, key=rank, default=None)

    def latest_state(self) -> State | None:
        """Return the state stored under the highest ballot among the granted votes."""
        votes = self.granted().values()
        return max(votes, key=lambda vote: rank(vote.accepted)).state

    def is_settled(self) -> bool:
        """Return whether all granted votes report the same stored ballot.

        A majority then stores that state, so it need not be written again.
        """
        return len({rank(vote.accepted) for vote in self.granted().values()}) == 1

    def _has_refused(self, host: HostName) -> bool:
        vote = self._votes.get(host)
        return vote is not None and vote.result is not VoteResult.granted


def _outranks(earlier: Vote, later: Vote) -> bool:
    """Return whether an earlier vote outranks a duplicate or reordered later one."""
    if earlier.incarnation != later.incarnation:
        return earlier.incarnation > later.incarnation
    return earlier.result is VoteResult.granted
