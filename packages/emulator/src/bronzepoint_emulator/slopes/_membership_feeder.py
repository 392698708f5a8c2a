"""The hosts around the measured one, and the targets, all in one process."""

from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from bronzepoint_common.http import Exchange, HttpLimits, HttpServer
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, Peers, PeerUnknown
from bronzepoint_emulator.slopes._membership_plan import MembershipPlan
from bronzepoint_node.membership import LoadSummary, Membership
from bronzepoint_schema.generated.membership import EntryShare
from bronzepoint_schema.generated.platform import CacheEvents, LoadReport
from bronzepoint_schema.ids import EntryName, HostName

ENTRIES = 4
"""Number of entries whose load each host reports."""
Handler = Callable[[HostName, Any], Awaitable[Any]]


class FeederPeers(Peers):
    """Reaches the measured host over the network and the others in memory.

    Real connections between all pairs of hosts would cost this process more than the
    measured one.
    """

    def __init__(
        self,
        plan: MembershipPlan,
        name: HostName,
        others: "dict[HostName, FeederPeers]",
    ) -> None:
        super().__init__(name, plan.hosts[name], plan.key(), Metrics())
        self._own_name = name
        self._measured = HostName(plan.measured)
        self._others = others
        self._handler: Handler | None = None
        others[name] = self

    def register(self, area: Area, union: Any, handler: Handler) -> None:
        """Register a handler for the network and for calls in memory."""
        super().register(area, union, handler)
        self._handler = handler

    def post(self, peer: HostName, area: Area, message: Any) -> bool:
        """Post to the measured host only; the others need no load shares."""
        return peer == self._measured and super().post(peer, area, message)

    async def call(
        self, peer: HostName, area: Area, message: Any, timeout: float
    ) -> Any:
        """Call over the network or in memory."""
        if peer == self._measured:
            return await super().call(peer, area, message, timeout)
        other = self._others.get(peer)
        if other is None or other._handler is None:
            raise PeerUnknown(peer)
        return await other._handler(self._own_name, message)


class Feeder:
    """Runs all hosts of a plan except the measured one, and the targets.

    Args:
        plan: The measurement; the targets' addresses are added to it.
        targets: Number of targets.
    """

    def __init__(self, plan: MembershipPlan, targets: int) -> None:
        self._plan = plan
        self._count = targets
        self._peers: dict[HostName, FeederPeers] = {}
        self._members: list[Membership] = []
        self._servers: list[HttpServer] = []

    async def start(self) -> None:
        """Start the hosts and the targets."""
        for name in map(HostName, self._plan.hosts):
            if name != self._plan.measured:
                await self._start_host(name)
        for _ in range(self._count):
            server = HttpServer(answer_poll, HttpLimits())
            await server.start("127.0.0.1:0")
            self._servers.append(server)
            self._plan.targets.append(server.address)

    async def close(self) -> None:
        """Stop everything."""
        for member in self._members:
            await member._tasks.cancel_remaining()
        for peers in self._peers.values():
            await peers.close()
        for server in self._servers:
            await server.close(0.0)

    async def _start_host(self, name: HostName) -> None:
        peers = FeederPeers(self._plan, name, self._peers)
        member = Membership(self._plan.settings(name), peers, Metrics())
        member.publish(LoadSummary(load=0.5, revision=9, entries=make_shares()))
        await peers.start()
        await member.start()
        self._members.append(member)


def make_shares() -> list[EntryShare]:
    """Return a host's share of the load of the entries."""
    return [
        EntryShare(EntryName(f"entry-{number}"), 800, 25, 0.125)
        for number in range(ENTRIES)
    ]


async def answer_poll(exchange: Exchange) -> None:
    """Answer a poll as an engine would."""
    now = 1.0e9
    answer: object = LoadReport(4, 0, 8, now)
    if exchange.request.path.startswith("/cache"):
        answer = CacheEvents([], now)
    headers = {"content-type": "application/json"}
    await exchange.respond(200, headers, msgspec.json.encode(answer))
