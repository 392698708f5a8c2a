"""Standing for election when the leader is silent."""

import random
from typing import TYPE_CHECKING

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.peers import Area, PeerError
from bronzepoint_schema.generated.agreement import VoteReply, VoteRequest
from bronzepoint_schema.ids import HostName, Term

from ._leadership import Leadership
from ._quorum import is_quorum
from ._status import Role

if TYPE_CHECKING:
    from ._voter import Voter

_SPREAD = 0.5
"""Share of the election timeout over which voters spread their candidacies."""


class Election:
    """How one voter becomes a leader.

    Args:
        voter: The voter.
    """

    def __init__(self, voter: "Voter") -> None:
        self._voter = voter
        self._stood_at = 0.0

    async def wait_for_silence(self) -> None:
        """Return once no leader has been heard for long enough to stand."""
        voter = self._voter
        spread = random.uniform(0, _SPREAD) * voter.section.election_timeout
        patience = voter.section.election_timeout + spread
        while True:
            # A candidate that failed waits too, for others may stand meanwhile.
            # So does a voter that has just given its vote to one of them.
            silent_since = max(voter.heard_at, voter.ballot.given_at, self._stood_at)
            left = silent_since + patience - monotonic()
            if left <= 0 and voter.may_vote() and not voter.failure:
                return
            await curio.sleep(max(left, voter.section.heartbeat))

    async def stand(self) -> Leadership | None:
        """Stand for election; return the new leadership if a quorum agrees.

        A trial round comes first: a voter that nobody would elect must not raise the
        term, or it would depose a healthy leader when its partition heals.
        """
        voter = self._voter
        self._stood_at = monotonic()
        voter.leader = HostName("")
        voter.metrics.incr("agreement.trial")
        term = Term(voter.log.term + 1)
        if not await self._collect(term, trial=True):
            return None
        async with voter.lock:
            # A leader may have been heard while the answers came in; this voter's
            # own vote is withheld then like any other.
            if voter.ballot.withholds_votes() or not voter.may_vote():
                return None
            # Or another candidate had this voter's vote: standing against it now
            # would depose it as soon as it is elected.
            if voter.log.term >= term:
                return None
            await voter.log.save_vote(term, voter.log.identity.storage)
            voter.role = Role.candidate
        voter.metrics.incr("agreement.candidacy")
        elected = await self._collect(term, trial=False)
        async with voter.lock:
            if (
                not elected
                or voter.log.term != term
                or voter.role is not Role.candidate
            ):
                return None
            return voter.lead(term)

    async def _collect(self, term: Term, trial: bool) -> bool:
        """Ask all voters for their votes; True once a quorum has given theirs."""
        voter = self._voter
        log = voter.log
        request = VoteRequest(
            log.identity.cluster,
            term,
            log.identity.storage,
            log.last_index,
            log.last_term,
            trial,
        )
        granted = {log.identity.storage}
        hosts = {v.host for voters in voter.voter_sets() for v in voters}
        async with curio.TaskGroup() as group:
            for host in hosts - {voter.name}:
                await group.spawn(self._ask, host, request)
            if is_quorum(granted, voter.voter_sets()):
                await group.cancel_remaining()
            async for task in group:
                reply = task.result
                if isinstance(reply, VoteReply) and reply.granted:
                    granted.add(reply.storage)
                elif isinstance(reply, VoteReply) and reply.term > log.term:
                    async with voter.lock:
                        await voter.step_down(max(reply.term, log.term))
                if is_quorum(granted, voter.voter_sets()):
                    await group.cancel_remaining()
                    break
        return is_quorum(granted, voter.voter_sets())

    async def _ask(self, host: HostName, request: VoteRequest) -> object:
        timeout = self._voter.section.election_timeout / 2
        try:
            return await self._voter.peers.call(host, Area.AGREEMENT, request, timeout)
        except PeerError:
            return None
