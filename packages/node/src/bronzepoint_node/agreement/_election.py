"""Leader election, started when the leader stops responding."""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

import curio

from bronzepoint_common.call_pacing import AdaptiveTimeout
from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
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
_LOG_INTERVAL = 5.0
"""Minimum seconds between two log lines about lost elections."""
_NO_ANSWER = "no answer"
"""Reason that is logged for a voter that doesn't answer."""

_log = get_logger("agreement")


@dataclass(frozen=True)
class _Tally:
    """Result of one round of vote requests.

    Attributes:
        granted: A quorum granted its votes.
        no_leader: All voters answered, and none leads or has had contact with a
            leader since its start.
        refusals: Why each voter that was asked didn't grant its vote.
    """

    granted: bool
    no_leader: bool
    refusals: Mapping[HostName, str]


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
        self._timeouts: dict[HostName, AdaptiveTimeout] = {}
        self._lost_count = 0
        self._logged_at = float("-inf")

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
                # One that had no room on its disk lets the others go first.
                voter.handed_over_at + voter.section.election_timeout,
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
            self._log_lost("pre-vote", term, tally)
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
        tally = await self._request_votes(term, pre_vote=False, early=early)
        if not tally.granted:
            self._log_lost("vote", term, tally)
        async with voter.lock:
            if (
                not tally.granted
                or voter.log.term != term
                or voter.role is not Role.candidate
            ):
                return None
            self._lost_count = 0
            return voter.become_leader(term)

    def _log_lost(self, phase: str, term: Term, tally: _Tally) -> None:
        """Log a lost election, at most one in a while."""
        self._lost_count += 1
        if monotonic() - self._logged_at < _LOG_INTERVAL:
            return
        self._logged_at = monotonic()
        sets = self._voter.voter_sets()
        _log.warning(
            "election lost",
            phase=phase,
            term=term,
            early=self._early,
            lost=self._lost_count,
            refused=dict(sorted(tally.refusals.items())),
            majorities_needed_of=[[v.host for v in voters] for voters in sets],
            last_index=self._voter.log.last_index,
        )

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
        refusals = dict.fromkeys(unanswered, _NO_ANSWER)
        any_leads = False
        async with curio.TaskGroup() as group:
            for host in unanswered:
                await group.spawn(self._request_vote, host, request)
            async for task in group:
                host, reply = task.result
                if not isinstance(reply, VoteReply):
                    continue
                unanswered = unanswered - {host}
                refusals[host] = reply.refusal
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
            is_quorum(granted, voter.voter_sets()),
            not unanswered and not any_leads,
            {host: reason for host, reason in refusals.items() if reason},
        )

    async def _request_vote(
        self, host: HostName, request: VoteRequest
    ) -> tuple[HostName, object]:
        election_timeout = self._voter.section.election_timeout
        timeout = self._timeouts.setdefault(
            host, AdaptiveTimeout(election_timeout / 2, 2 * election_timeout)
        )
        began = monotonic()

        def record_late(reply: VoteReply) -> None:
            timeout.record_late(monotonic() - began)

        try:
            reply = await self._voter.peers.call(
                host, Area.AGREEMENT, request, timeout.seconds, record_late
            )
        except PeerError:
            return host, None
        timeout.record_prompt(monotonic() - began)
        return host, reply
