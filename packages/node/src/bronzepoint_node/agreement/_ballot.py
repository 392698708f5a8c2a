"""Giving votes to candidates, and withholding them."""

from typing import TYPE_CHECKING

from bronzepoint_common.clock import monotonic
from bronzepoint_schema.generated.agreement import VoteReply, VoteRequest
from bronzepoint_schema.ids import StorageId

if TYPE_CHECKING:
    from ._voter import Voter

EARLY_QUIET = 0.6
"""Seconds after a vote in which a voter that has heard no leader since its start lets
no other early candidate pass: two of the longest trips there and back, and two syncs.
"""


class Ballot:
    """The votes of one voter.

    Args:
        voter: The voter.

    Attributes:
        given_at: When a vote was given last, by the own monotonic clock.
    """

    def __init__(self, voter: "Voter") -> None:
        self._voter = voter
        self.given_at = 0.0

    def withholds_votes(self) -> bool:
        """Tell whether a leader may still hold a lease through this voter's answer."""
        voter = self._voter
        now = monotonic()
        if now < voter.heard_at + voter.section.election_timeout:
            return True
        return now < (voter.lease_until() or 0.0)

    async def answer(self, request: VoteRequest) -> VoteReply | None:
        """Answer a candidate; callers hold the voter's lock. None: drop it."""
        voter = self._voter
        log = voter.log
        if not log.identity.cluster:
            # Its disk was lost. It gives no vote, but it says that it doesn't lead.
            return self._reply(False)
        if not voter.is_own_cluster(request.cluster):
            return None
        if request.unled and self._is_contested(request):
            return self._reply(False, leads=True)
        free = request.unled and not voter.has_heard_leader
        if not voter.may_vote() or (self.withholds_votes() and not free):
            # The term of such a candidate isn't adopted either: a voter back from a
            # partition would depose a healthy leader with it.
            voter.metrics.incr("agreement.vote_withheld")
            return self._reply(False)
        newer = (request.last_term, request.last_index) >= (
            log.last_term,
            log.last_index,
        )
        if request.trial:
            return self._reply(newer and request.term > log.term)
        if request.term > log.term:
            await voter.step_down(log.term)
            voted_for = request.storage if newer else StorageId("")
            await log.save_vote(request.term, voted_for)
            if newer:
                self.note_given()
            return self._reply(newer)
        if request.term < log.term or not newer:
            return self._reply(False)
        if not log.voted_for:
            await log.save_vote(request.term, request.storage)
            self.note_given()
        return self._reply(log.voted_for == request.storage)

    def note_given(self) -> None:
        """Count a vote, this voter's own for itself too."""
        self.given_at = monotonic()

    def _is_contested(self, request: VoteRequest) -> bool:
        """Tell whether an early candidate would disturb another one.

        The first message of a leader that was elected early takes a trip to arrive.
        A candidate of the next term would depose it before it is heard, and all voters
        would begin again. Of two that stand at the same time the lower storage goes on.
        """
        if monotonic() - self.given_at < EARLY_QUIET:
            return True
        own = self._voter.log.identity.storage
        return request.trial and self._voter.stands_early and own < request.storage

    def _reply(self, granted: bool, leads: bool = False) -> VoteReply:
        log = self._voter.log
        known = log.identity
        leads = leads or self._voter.is_leader or self._voter.has_heard_leader
        return VoteReply(known.cluster, log.term, known.storage, granted, leads)
