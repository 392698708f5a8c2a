"""Telling the region that this host is leaving, before it stops accepting."""

from collections.abc import Callable

from bronzepoint_node.membership._gossip import Gossip
from bronzepoint_schema.ids import HostName


class Draining:
    """Tells each host of the region once that this one is draining.

    Without this, a host that stops accepting at once is still named to callers by
    those that have not heard of it: the callers' connections are refused.

    Args:
        gossip: Carries out the exchanges; its pulses already say that it drains.
        timeout: Seconds to wait for one host's reply.
    """

    def __init__(self, gossip: Gossip, timeout: float) -> None:
        self._gossip = gossip
        self._timeout = timeout
        self._told: set[HostName] = set()
        self._callbacks: list[Callable[[], None]] = []

    def on_forgotten(self, callback: Callable[[], None]) -> None:
        """Call back once when every host that isn't dead has been told."""
        self._callbacks.append(callback)

    async def tell(self) -> bool:
        """Tell the hosts that haven't replied yet; True where all have."""
        missing = self._missing()
        self._told |= await self._gossip.exchange_with(missing, self._timeout)
        if self._missing():
            return False
        callbacks, self._callbacks = self._callbacks, []
        for callback in callbacks:
            callback()
        return True

    def _missing(self) -> list[HostName]:
        return [name for name in self._gossip.reachable() if name not in self._told]
