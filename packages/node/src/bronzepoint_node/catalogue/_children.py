"""The hosts that learn from this one."""

from collections.abc import Collection
from dataclasses import dataclass

from bronzepoint_common.clock import monotonic
from bronzepoint_common.peers import Area, Peers
from bronzepoint_schema.generated.agreement import DeltaNotice
from bronzepoint_schema.ids import HostName, Revision

from ._held import HeldCatalogue

LIFETIME = 4.0
"""Seconds after its last poll for which a host is told of changes at once."""


@dataclass
class _Child:
    revision: Revision
    polled_at: float


class Children:
    """Knows who polls this host, and passes new deltas on without being asked.

    A notice may be lost: the next poll makes up for it. Without notices a change
    would wait for a poll at each hop.

    Args:
        peers: Links to the other hosts.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._children: dict[HostName, _Child] = {}

    def note_poll(self, name: HostName, revision: Revision) -> None:
        """Note that a host polls, and what it holds."""
        self._children[name] = _Child(revision, monotonic())

    def live(self) -> list[HostName]:
        """Return the hosts that polled lately."""
        oldest = monotonic() - LIFETIME
        self._children = {
            name: child
            for name, child in self._children.items()
            if child.polled_at >= oldest
        }
        return list(self._children)

    def tell(
        self, held: HeldCatalogue, copy_wanted: bool, but: Collection[HostName]
    ) -> None:
        """Send what they lack to hosts that polled lately.

        Args:
            held: What this host holds.
            copy_wanted: Whether this host waits for a second copy in the region.
            but: Hosts that learn of it otherwise.
        """
        for name in self.live():
            if name in but:
                continue
            child = self._children[name]
            deltas = held.deltas_after(child.revision)
            if not deltas:
                continue
            notice = DeltaNotice(held.cluster, deltas, copy_wanted)
            if self._peers.post(name, Area.CATALOGUE, notice):
                child.revision = held.revision
