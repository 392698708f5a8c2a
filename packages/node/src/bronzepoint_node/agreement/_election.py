"""Standing for election when the leader is silent."""

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.peers import Area, PeerError
from bronzepoint_schema.generated.agreement import VoteReply, VoteRequest
from bronzepoint_schema.ids import HostName, Term

from ._ballot import EARLY_QUIET
from ._leadership import Leadership
from ._quorum import is_quorum
from ._status import Role

if TYPE_CHECKING:
    from ._voter import Voter

_EARLY_PAUSE = (0.05, 0.3)
"""Seconds between two attempts of a voter that has heard no leader since its start."""
_SPREAD = 0.5
"""Share of the election timeout over which voters spread their candidacies."""


@dataclass(frozen=True)
class _Poll:
    """What the voters answered.

    Attributes:
        granted: A quorum gives its votes.
        unled: All have answered, and none leads or knows a leader since its start.
    """

    granted: bool
    unled: bool


class Election:
    """How one voter becomes a leader.

    Args:
        voter: The voter.
    """

    def __init__(self, voter: "Voter") -> None:
        self._voter = voter
        self._stood_at = 0.0
        self._early = False

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
                self._early = False
                return
            if voter.has_heard_leader or not voter.may_vote() or voter.failure:
                await curio.sleep(max(left, voter.section.heartbeat))
                continue
            # Just started. Where all have, nobody need wait for a lease to end.
            await curio.sleep(random.uniform(*_EARLY_PAUSE))
            if monotonic() - voter.ballot.given_at >= EARLY_QUIET:
                self._early = True
                return

    async def stand(self) -> Leadership | None:
        """Stand for election; return the new leadership if a quorum agrees.

        A trial round comes first: a voter that nobody would elect must not raise the
        term, or it would depose a healthy leader when its partition heals.

        A voter that has just started doesn't know what it had promised a leader, and
        gives no vote until any lease must be over. That wait is spared where every
        voter says that it has heard no leader since its own start: the leader would
        be one of them, so there is none. After a kill of the whole core this brings
        service back some two seconds sooner.
        """
        self._voter.stands_early = self._early
        try:
            return await self._stand(self._early)
        finally:
            self._voter.stands_early = False

    async def _stand(self, early: bool) -> Leadership | None:
        voter = self._voter
        if not early:
            self._stood_at = monotonic()
            voter.leader = HostName("")
        voter.metrics.incr("agreement.trial")
        term = Term(voter.log.term + 1)
        poll = await self._collect(term, trial=True, unled=early)
        if not poll.granted or (early and not poll.unled):
            return None
        async with voter.lock:
            # A leader may have been heard while the answers came in; this voter's
            # own vote is withheld then like any other.
            withheld = voter.ballot.withholds_votes()
            if early:
                withheld = voter.has_heard_leader
            if withheld or not voter.may_vote():
                return None
            # Or another candidate had this voter's vote: standing against it now
            # would depose it as soon as it is elected.
            if voter.log.term >= term:
                return None
            await voter.log.save_vote(term, voter.log.identity.storage)
            voter.ballot.note_given()
            voter.role = Role.candidate
        voter.metrics.incr("agreement.candidacy")
        elected = (await self._collect(term, trial=False, unled=early)).granted
        async with voter.lock:
            if (
                not elected
                or voter.log.term != term
                or voter.role is not Role.candidate
            ):
                return None
            return voter.lead(term)

    async def _collect(self, term: Term, trial: bool, unled: bool) -> _Poll:
        """Ask all voters for their votes, until a quorum has given theirs.

        An early candidate's trial waits for all: that nobody leads is only known once
        every voter has said so.
        """
        voter = self._voter
        log = voter.log
        request = VoteRequest(
            log.identity.cluster,
            term,
            log.identity.storage,
            log.last_index,
            log.last_term,
            trial,
            unled,
        )
        granted = {log.identity.storage}
        hosts = {v.host for voters in voter.voter_sets() for v in voters}
        silent = hosts - {voter.name}
        leads = False
        async with curio.TaskGroup() as group:
            for host in silent:
                await group.spawn(self._ask, host, request)
            async for task in group:
                host, reply = task.result
                if not isinstance(reply, VoteReply):
                    continue
                silent = silent - {host}
                leads = leads or reply.leads
                if reply.granted:
                    granted.add(reply.storage)
                elif reply.term > log.term:
                    async with voter.lock:
                        await voter.step_down(max(reply.term, log.term))
                enough = is_quorum(granted, voter.voter_sets())
                if enough and not (trial and unled):
                    await group.cancel_remaining()
                    break
        return _Poll(is_quorum(granted, voter.voter_sets()), not silent and not leads)

    async def _ask(
        self, host: HostName, request: VoteRequest
    ) -> tuple[HostName, object]:
        timeout = self._voter.section.election_timeout / 2
        try:
            reply = await self._voter.peers.call(host, Area.AGREEMENT, request, timeout)
        except PeerError:
            return host, None
        return host, reply
