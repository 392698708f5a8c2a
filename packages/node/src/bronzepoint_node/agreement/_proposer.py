"""Bringing a change before the leader, from any host."""

from dataclasses import dataclass, field

import curio

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

from ._errors import ChangeExpired, Conflict, NoQuorum, NotLeader
from ._voter import Voter

_RESEND_AFTER = 0.5
"""Seconds without an answer after which another voter is asked."""
_PAUSE = 0.1
"""Seconds before a voter is asked again that knows no leader."""


@dataclass
class _Pending:
    """A change whose outcome is awaited here."""

    result: ChangeResult | None = None
    refused_by: HostName | None = None
    leader: HostName = HostName("")
    news: curio.Event = field(default_factory=curio.Event)


class Proposer:
    """Sends a change to the leader and waits for its outcome.

    Sending it again is harmless: the change id makes it apply once.

    Args:
        name: This host.
        voters: Hosts that the settings name as voters.
        own: This host's voter, if it is one.
        peers: Links to the other hosts.
        metrics: Counters.
    """

    def __init__(
        self,
        name: HostName,
        voters: list[HostName],
        own: Voter | None,
        peers: Peers,
        metrics: Metrics,
    ) -> None:
        self.leader = HostName("")
        self._name = name
        self.voters = voters
        self._own = own
        self._peers = peers
        self._metrics = metrics
        self._pending: dict[ChangeId, list[_Pending]] = {}

    async def propose(self, change: Change, timeout: float) -> Accepted:
        """Bring a change before the leader and return once it is durable.

        Raises:
            NotLeader: No leader was found; the change was not taken.
            NoQuorum: It was handed over, and its outcome is unknown.
            Conflict: Another change of the item came first.
            ChangeExpired: It is too old to tell whether it was applied.
        """
        pending = _Pending()
        waiting = self._pending.setdefault(change.change_id, [])
        waiting.append(pending)
        unknown = [False]
        try:
            async with curio.ignore_after(timeout):
                await self._try_voters(change, pending, unknown)
        finally:
            waiting.remove(pending)
            if not waiting:
                self._pending.pop(change.change_id, None)
        return _outcome(change, pending.result, unknown[0])

    async def on_reply(self, host: HostName, reply: ProposeReply) -> None:
        """Take a voter's answer."""
        for pending in self._pending.get(reply.change_id, ()):
            if reply.result is not None:
                pending.result = reply.result
                self.leader = host
            else:
                pending.refused_by = host
                pending.leader = reply.leader
            await pending.news.set()

    async def deliver(self, host: HostName, reply: ProposeReply) -> None:
        """Hand the outcome of a change to the host that waits for it."""
        if host == self._name:
            await self.on_reply(host, reply)
        else:
            self._peers.post(host, Area.AGREEMENT, reply)

    async def _try_voters(
        self, change: Change, pending: _Pending, unknown: list[bool]
    ) -> None:
        turn = 0
        target = self.leader
        while pending.result is None:
            if not target:
                target = self.voters[turn % len(self.voters)] if self.voters else ""
                turn += 1
            if not target or not await self._ask(target, change, pending, unknown):
                await curio.sleep(_PAUSE)
            target = pending.leader
            pending.leader = HostName("")

    async def _ask(
        self, host: HostName, change: Change, pending: _Pending, unknown: list[bool]
    ) -> bool:
        """Ask one voter; True where it answered with an outcome or a leader.

        A request that isn't answered may have been taken: from then on the outcome
        can only be called unknown, whatever other voters say.
        """
        pending.refused_by = None
        pending.news.clear()
        request = ProposeRequest(change)
        before, unknown[0] = unknown[0], True
        if not await self._hand_over(host, request):
            unknown[0] = before
            return False
        async with curio.ignore_after(_RESEND_AFTER):
            while pending.result is None and pending.refused_by != host:
                await pending.news.wait()
                pending.news.clear()
        if pending.result is not None:
            return True
        if pending.refused_by == host:
            unknown[0] = before
            return bool(pending.leader)
        self._metrics.incr("retry.propose_unanswered")
        self.leader = HostName("")
        return False

    async def _hand_over(self, host: HostName, request: ProposeRequest) -> bool:
        if host != self._name:
            return self._peers.post(host, Area.AGREEMENT, request)
        if self._own is None:
            return False
        reply = await self._own.submit(request, self._name)
        if reply is not None:
            await self.on_reply(self._name, reply)
        return True


def _outcome(change: Change, result: ChangeResult | None, unknown: bool) -> Accepted:
    match result:
        case Accepted():
            return result
        case Conflicted(winner=winner, version=version):
            raise Conflict(winner, version)
        case Expired():
            raise ChangeExpired(change.change_id)
        case _ if unknown:
            raise NoQuorum(change.change_id)
        case _:
            raise NotLeader()
