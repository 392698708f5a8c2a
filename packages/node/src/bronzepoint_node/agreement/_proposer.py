"""Sends changes from any host to the leader."""

from dataclasses import dataclass, field

import curio

from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers
from bronzepoint_schema.generated.agreement import (
    Accepted,
    Change,
    ChangeResult,
    Conflicted,
    Expired,
    ProposeReply,
    ProposeRequest,
)
from bronzepoint_schema.ids import ChangeId, HostName

from ._errors import ChangeExpired, Conflict, NoQuorum, NoRoom, NotLeader
from ._voter import Voter

_RESEND_AFTER = 0.5
"""Seconds without an answer after which the change is sent to another voter."""
_RETRY_INTERVAL = 0.1
"""Seconds to wait after a voter that knows no leader or can't be reached."""

_log = get_logger("agreement")


@dataclass
class _PendingChange:
    """A change whose outcome this host waits for.

    Attributes:
        answers: What each voter that was asked last answered.
        answer: Last answer without an outcome.
        refusal: Answer of a leader that has no room for it; it ends the attempts.
    """

    result: ChangeResult | None = None
    answers: dict[HostName, str] = field(default_factory=dict)
    refused_by: HostName | None = None
    answer: ProposeReply | None = None
    refusal: ProposeReply | None = None
    leader: HostName = HostName("")
    updated: curio.Event = field(default_factory=curio.Event)


class Proposer:
    """Sends a change to the leader and waits for its outcome.

    Sending a change again is harmless: its change id ensures that it is applied once.

    Args:
        name: This host.
        voters: Hosts that the settings name as voters.
        own_voter: This host's voter, if it is one.
        peers: Links to the other hosts.
        metrics: Counters.
    """

    def __init__(
        self,
        name: HostName,
        voters: list[HostName],
        own_voter: Voter | None,
        peers: Peers,
        metrics: Metrics,
    ) -> None:
        self.leader = HostName("")
        self._name = name
        self.voters = voters
        self._own_voter = own_voter
        self._peers = peers
        self._metrics = metrics
        self._pending: dict[ChangeId, list[_PendingChange]] = {}

    async def propose(self, change: Change, timeout: float) -> Accepted:
        """Send a change to the leader and return once it is durable on a quorum.

        Raises:
            NotLeader: No leader was found; the change was not accepted.
            NoQuorum: It was sent to a voter, and its outcome is unknown.
            NoRoom: The voters have no room for it; it was not accepted.
            Conflict: Another change of the item was accepted first.
            ChangeExpired: Its outcome is no longer kept, so it may have been applied.
        """
        pending = _PendingChange()
        waiting = self._pending.setdefault(change.change_id, [])
        waiting.append(pending)
        outcome_unknown = [False]
        try:
            async with curio.ignore_after(timeout):
                await self._try_voters(change, pending, outcome_unknown)
        finally:
            waiting.remove(pending)
            if not waiting:
                self._pending.pop(change.change_id, None)
        if pending.result is None and pending.refusal is None:
            _log.warning(
                "change without an outcome",
                change=change.change_id,
                seconds=timeout,
                answers=pending.answers,
            )
        if pending.refusal is not None:
            raise NoRoom(pending.refusal.refusal, pending.refusal.retry_after)
        return _outcome(change, pending.result, outcome_unknown[0])

    async def on_reply(self, host: HostName, reply: ProposeReply) -> None:
        """Process a voter's answer to a proposed change."""
        for pending in self._pending.get(reply.change_id, ()):
            if reply.result is not None:
                pending.result = reply.result
                self.leader = host
            else:
                pending.refused_by = host
                pending.leader = reply.leader
                pending.answer = reply
            await pending.updated.set()

    async def deliver(self, host: HostName, reply: ProposeReply) -> None:
        """Send the outcome of a change to the host that waits for it."""
        if host == self._name:
            await self.on_reply(host, reply)
        else:
            self._peers.post(host, Area.AGREEMENT, reply)

    async def _try_voters(
        self, change: Change, pending: _PendingChange, outcome_unknown: list[bool]
    ) -> None:
        attempt = 0
        next_host = self.leader
        while pending.result is None and pending.refusal is None:
            if not next_host:
                next_host = (
                    self.voters[attempt % len(self.voters)] if self.voters else ""
                )
                attempt += 1
            if not next_host or not await self._propose_to(
                next_host, change, pending, outcome_unknown
            ):
                await curio.sleep(_RETRY_INTERVAL)
            next_host = pending.leader
            pending.leader = HostName("")

    async def _propose_to(
        self,
        host: HostName,
        change: Change,
        pending: _PendingChange,
        outcome_unknown: list[bool],
    ) -> bool:
        """Send the change to one voter and wait for its answer.

        A voter that doesn't answer may have accepted the change. From then on the
        outcome is unknown, whatever other voters answer.

        Returns:
            Whether the voter answered with an outcome or the name of a leader.
        """
        pending.refused_by = None
        pending.updated.clear()
        request = ProposeRequest(change)
        previously_unknown, outcome_unknown[0] = outcome_unknown[0], True
        if not await self._send_proposal(host, request):
            pending.answers[host] = "not sent"
            outcome_unknown[0] = previously_unknown
            return False
        pending.answers[host] = "no answer"
        async with curio.ignore_after(_RESEND_AFTER):
            while pending.result is None and pending.refused_by != host:
                await pending.updated.wait()
                pending.updated.clear()
        if pending.result is not None:
            return True
        if pending.refused_by == host:
            outcome_unknown[0] = previously_unknown
            answer = pending.answer
            named = pending.leader
            pending.answers[host] = f"leader is {named}" if named else "no leader"
            if answer is not None and answer.refusal:
                pending.answers[host] = answer.refusal
                if not previously_unknown:
                    pending.refusal = answer
            return bool(pending.leader)
        self._metrics.incr("retry.propose_unanswered")
        self.leader = HostName("")
        return False

    async def _send_proposal(self, host: HostName, request: ProposeRequest) -> bool:
        if host != self._name:
            return self._peers.post(host, Area.AGREEMENT, request)
        if self._own_voter is None:
            return False
        reply = await self._own_voter.submit(request, self._name)
        if reply is not None:
            await self.on_reply(self._name, reply)
        return True


def _outcome(
    change: Change, result: ChangeResult | None, outcome_unknown: bool
) -> Accepted:
    match result:
        case Accepted():
            return result
        case Conflicted(winner=winner, version=version):
            raise Conflict(winner, version)
        case Expired():
            raise ChangeExpired(change.change_id)
        case _ if outcome_unknown:
            raise NoQuorum(change.change_id)
        case _:
            raise NotLeader()
