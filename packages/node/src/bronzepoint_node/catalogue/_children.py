"""The hosts that receive catalogue changes from this one."""

from collections.abc import Collection
from dataclasses import dataclass

from bronzepoint_common.clock import monotonic
from bronzepoint_common.peers import Area, Peers
from bronzepoint_schema.generated.agreement import DeltaNotice
from bronzepoint_schema.ids import HostName, Revision

from ._held import HeldCatalogue

CHILD_EXPIRY = 4.0
"""Seconds after its last poll for which changes are pushed to a host."""


@dataclass
class _Child:
    revision: Revision
    polled_at: float


class Children:
    """Tracks the hosts that poll this one and pushes new deltas to them.

    Without pushed notices, a change would wait for a poll at each hop. If a notice is
    lost, the next poll fetches the deltas.

    Args:
        peers: Links to the other hosts.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self._children: dict[HostName, _Child] = {}

    def note_poll(self, name: HostName, revision: Revision) -> None:
        """Record a poll of a host and the revision that it holds."""
        self._children[name] = _Child(revision, monotonic())

    def live(self) -> list[HostName]:
        """Return the hosts that polled within the last ``CHILD_EXPIRY`` seconds."""
        oldest = monotonic() - CHILD_EXPIRY
        self._children = {
            name: child
            for name, child in self._children.items()
            if child.polled_at >= oldest
        }
        return list(self._children)

    def push(
        self, held: HeldCatalogue, copy_wanted: bool, exclude: Collection[HostName]
    ) -> None:
        """Push missing deltas to the live children.

        Args:
            held: The catalogue that this host holds.
            copy_wanted: Whether this host waits for a second copy in the region.
            exclude: Hosts that receive the deltas in another way.
        """
        for name in self.live():
            if name in exclude:
                continue
            child = self._children[name]
            deltas = held.deltas_after(child.revision)
            if not deltas:
                continue
            notice = DeltaNotice(held.cluster, deltas, copy_wanted)
            if self._peers.post(name, Area.CATALOGUE, notice):
                child.revision = held.revision
