"""Announces to the region that this host drains, before it stops accepting."""

from collections.abc import Callable

from bronzepoint_node.membership._gossip import Gossip
from bronzepoint_schema.ids import HostName


class Draining:
    """Announces the draining once to each host of the region.

    If a host stopped accepting immediately, hosts that don't know yet would still
    direct callers to it, whose connections would be refused.

    Args:
        gossip: Performs the exchanges; its heartbeats already carry the draining flag.
        timeout: Seconds to wait for one host's reply.
    """

    def __init__(self, gossip: Gossip, timeout: float) -> None:
        self._gossip = gossip
        self._timeout = timeout
        self._acknowledged: set[HostName] = set()
        self._callbacks: list[Callable[[], None]] = []

    def on_drain_acknowledged(self, callback: Callable[[], None]) -> None:
        """Register a callback, called once when every host not dead has replied."""
        self._callbacks.append(callback)

    async def announce(self) -> bool:
        """Announce to the hosts that haven't replied; return whether all have."""
        unacknowledged = self._unacknowledged()
        self._acknowledged |= await self._gossip.exchange_with(
            unacknowledged, self._timeout
        )
        if self._unacknowledged():
            return False
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()
        return True

    def _unacknowledged(self) -> list[HostName]:
        return [
            name for name in self._gossip.reachable() if name not in self._acknowledged
        ]
