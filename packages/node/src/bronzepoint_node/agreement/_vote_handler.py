"""Handling of vote requests: when a voter grants or withholds its vote."""

from enum import StrEnum
from typing import TYPE_CHECKING

from bronzepoint_common.clock import monotonic
from bronzepoint_schema.generated.agreement import VoteReply, VoteRequest
from bronzepoint_schema.ids import StorageId

if TYPE_CHECKING:
    from ._voter import Voter

EARLY_VOTE_BACKOFF = 0.6
"""Seconds after granting a vote in which a voter refuses all other early candidates.

If it has had no contact with a leader since its start, it also starts no early election
itself. The time covers two of the longest round trips between hosts and two syncs to
disk, so that the elected candidate's first message can arrive.
"""


class VoteRefusal(StrEnum):
    """Why a voter doesn't grant its vote; written to the candidate's log."""

    none = ""
    no_storage = "its storage belongs to no cluster"
    not_a_voter = "its storage is not a member of the voters"
    lease = "a leader may hold a lease"
    other_candidate = "another early candidate goes first"
    log_behind = "the candidate lacks entries"
    term = "the candidate's term is not newer"
    voted = "it voted for another candidate of this term"


class VoteHandler:
    """Answers the vote requests that reach one voter.

    Args:
        voter: The voter.

    Attributes:
        granted_at: When the last vote was granted, by this host's monotonic clock in
            seconds.
    """

    def __init__(self, voter: "Voter") -> None:
        self._voter = voter
        self.granted_at = 0.0

    def withholds_votes(self) -> bool:
        """Return whether a leader may hold a lease based on this voter's answer."""
        voter = self._voter
        now = monotonic()
        if now < voter.last_contact_at + voter.section.election_timeout:
            return True
        return now < (voter.lease_until() or 0.0)

    async def answer(self, request: VoteRequest) -> VoteReply | None:
        """Return the reply to a candidate, or None to drop the request.

        The caller must hold the voter's lock.
        """
        voter = self._voter
        log = voter.log
        if not log.identity.cluster:
            # This storage belongs to no cluster, for instance after its disk was lost.
            # It must not vote, but it can report that it isn't the leader.
            return self._reply(VoteRefusal.no_storage)
        if not voter.is_own_cluster(request.cluster):
            return None
        if request.unled and self._disrupts_election(request):
            return self._reply(VoteRefusal.other_candidate, leads=True)
        waives_wait = request.unled and not voter.has_leader_contact
        if not voter.may_vote() or (self.withholds_votes() and not waives_wait):
            # The term of such a candidate isn't adopted either: a voter back from a
            # partition would depose a healthy leader with it.
            voter.metrics.incr("agreement.vote_withheld")
            is_member = voter.may_vote()
            return self._reply(
                VoteRefusal.lease if is_member else VoteRefusal.not_a_voter
            )
        up_to_date = (request.last_term, request.last_index) >= (
            log.last_term,
            log.last_index,
        )
        refusal = VoteRefusal.none if up_to_date else VoteRefusal.log_behind
        if request.trial:
            is_newer = request.term > log.term
            return self._reply(refusal if is_newer else VoteRefusal.term)
        if request.term > log.term:
            await voter.step_down(log.term)
            voted_for = request.storage if up_to_date else StorageId("")
            await log.save_vote(request.term, voted_for)
            if up_to_date:
                self.record_vote()
            return self._reply(refusal)
        if request.term < log.term:
            return self._reply(VoteRefusal.term)
        if up_to_date and not log.voted_for:
            await log.save_vote(request.term, request.storage)
            self.record_vote()
        if up_to_date and log.voted_for != request.storage:
            refusal = VoteRefusal.voted
        return self._reply(refusal)

    def record_vote(self) -> None:
        """Record the time of a granted vote, including a vote for itself."""
        self.granted_at = monotonic()

    def _disrupts_election(self, request: VoteRequest) -> bool:
        """Return whether an early candidate would disrupt another early election.

        The first message of a leader that was elected early may still be in flight. A
        candidate of the next term would depose it before that message arrives, and
        all voters would start over. Of two concurrent early candidates, the one with
        the lower storage id continues.
        """
        if monotonic() - self.granted_at < EARLY_VOTE_BACKOFF:
            return True
        own = self._voter.log.identity.storage
        return (
            request.trial and self._voter.is_early_candidate and own < request.storage
        )

    def _reply(self, refusal: VoteRefusal, leads: bool = False) -> VoteReply:
        """Return the reply that refuses the vote for a reason, or grants it."""
        log = self._voter.log
        identity = log.identity
        leads = leads or self._voter.is_leader or self._voter.has_leader_contact
        granted = refusal is VoteRefusal.none
        return VoteReply(
            identity.cluster, log.term, identity.storage, granted, leads, refusal
        )
