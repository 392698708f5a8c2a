"""Leader election, started when the leader stops responding."""

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.peers import Area, PeerError
from bronzepoint_schema.generated.agreement import VoteReply, VoteRequest
from bronzepoint_schema.ids import HostName, Term

from ._leadership import Leadership
from ._quorum import is_quorum
from ._status import Role
from ._vote_handler import EARLY_VOTE_BACKOFF

if TYPE_CHECKING:
    from ._voter import Voter

_EARLY_RETRY_INTERVAL = (0.05, 0.3)
"""Range of the random wait, in seconds, between two early elections of one voter."""
_TIMEOUT_JITTER = 0.5
"""Share of the election timeout up to which a random wait is added to it.

Voters then rarely become candidates at the same time.
"""


@dataclass(frozen=True)
class _Tally:
    """Result of one round of vote requests.

    Attributes:
        granted: A quorum granted its votes.
        no_leader: All voters answered, and none leads or has had contact with a
            leader since its start.
    """

    granted: bool
    no_leader: bool


class Election:
    """Runs the elections in which one voter is the candidate.

    An early election is one that a voter starts without waiting for a lease to expire,
    because it has had no contact with a leader since its start.

    Args:
        voter: The voter.
    """

    def __init__(self, voter: "Voter") -> None:
        self._voter = voter
        self._campaigned_at = 0.0
        self._early = False

    async def wait_for_timeout(self) -> None:
        """Wait until this voter may become a candidate.

        That is after the election timeout without contact to a leader, or earlier if
        it has had no such contact since its start.
        """
        voter = self._voter
        jitter = random.uniform(0, _TIMEOUT_JITTER) * voter.section.election_timeout
        timeout = voter.section.election_timeout + jitter
        while True:
            # A candidate that lost waits too, since others may campaign meanwhile.
            # So does a voter that has just granted its vote to one of them.
            last_activity_at = max(
                voter.last_contact_at,
                voter.vote_handler.granted_at,
                self._campaigned_at,
            )
            time_left = last_activity_at + timeout - monotonic()
            if time_left <= 0 and voter.may_vote() and not voter.failure:
                self._early = False
                return
            if voter.has_leader_contact or not voter.may_vote() or voter.failure:
                await curio.sleep(max(time_left, voter.section.heartbeat))
                continue
            # This voter has just started. If all voters have, no lease can exist and
            # none of them needs to wait for one to expire.
            await curio.sleep(random.uniform(*_EARLY_RETRY_INTERVAL))
            if monotonic() - voter.vote_handler.granted_at >= EARLY_VOTE_BACKOFF:
                self._early = True
                return

    async def campaign(self) -> Leadership | None:
        """Run an election; return the new leadership if a quorum votes for it.

        A pre-vote round comes first: a voter that can't win must not raise the term,
        or it would depose a healthy leader when its partition heals.

        A voter that has just started doesn't know which leader it answered before the
        restart, and grants no vote until any lease must have expired. An early
        election skips this wait if every voter reports no contact with a leader since
        its own start: the leader would be one of them, so there is none. After a
        crash of the whole core this restores service about two seconds sooner.
        """
        self._voter.is_early_candidate = self._early
        try:
            return await self._campaign(self._early)
        finally:
            self._voter.is_early_candidate = False

    async def _campaign(self, early: bool) -> Leadership | None:
        voter = self._voter
        if not early:
            self._campaigned_at = monotonic()
            voter.leader = HostName("")
        voter.metrics.incr("agreement.trial")
        term = Term(voter.log.term + 1)
        tally = await self._request_votes(term, pre_vote=True, early=early)
        if not tally.granted or (early and not tally.no_leader):
            return None
        async with voter.lock:
            # A leader may have made contact while the replies arrived. This voter's
            # own vote is then withheld like any other.
            withheld = voter.vote_handler.withholds_votes()
            if early:
                withheld = voter.has_leader_contact
            if withheld or not voter.may_vote():
                return None
            # This voter may have voted for another candidate meanwhile. Campaigning
            # against it would depose it as soon as it is elected.
            if voter.log.term >= term:
                return None
            await voter.log.save_vote(term, voter.log.identity.storage)
            voter.vote_handler.record_vote()
            voter.role = Role.candidate
        voter.metrics.incr("agreement.candidacy")
        elected = (await self._request_votes(term, pre_vote=False, early=early)).granted
        async with voter.lock:
            if (
                not elected
                or voter.log.term != term
                or voter.role is not Role.candidate
            ):
                return None
            return voter.become_leader(term)

    async def _request_votes(self, term: Term, pre_vote: bool, early: bool) -> _Tally:
        """Request votes from all voters until a quorum has granted them.

        The pre-vote round of an early election waits for all voters: only when each
        has replied is it certain that there is no leader.
        """
        voter = self._voter
        log = voter.log
        request = VoteRequest(
            log.identity.cluster,
            term,
            log.identity.storage,
            log.last_index,
            log.last_term,
            pre_vote,
            early,
        )
        granted = {log.identity.storage}
        hosts = {v.host for voters in voter.voter_sets() for v in voters}
        unanswered = hosts - {voter.name}
        any_leads = False
        async with curio.TaskGroup() as group:
            for host in unanswered:
                await group.spawn(self._request_vote, host, request)
            async for task in group:
                host, reply = task.result
                if not isinstance(reply, VoteReply):
                    continue
                unanswered = unanswered - {host}
                any_leads = any_leads or reply.leads
                if reply.granted:
                    granted.add(reply.storage)
                elif reply.term > log.term:
                    async with voter.lock:
                        await voter.step_down(max(reply.term, log.term))
                has_quorum = is_quorum(granted, voter.voter_sets())
                if has_quorum and not (pre_vote and early):
                    await group.cancel_remaining()
                    break
        return _Tally(
            is_quorum(granted, voter.voter_sets()), not unanswered and not any_leads
        )

    async def _request_vote(
        self, host: HostName, request: VoteRequest
    ) -> tuple[HostName, object]:
        timeout = self._voter.section.election_timeout / 2
        try:
            reply = await self._voter.peers.call(host, Area.AGREEMENT, request, timeout)
        except PeerError:
            return host, None
        return host, reply
