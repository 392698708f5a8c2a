"""Polling of other hosts for catalogue changes."""

from typing import TYPE_CHECKING

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_schema.generated.agreement import (
    PollReply,
    PollRequest,
    ViewReply,
    ViewRequest,
)
from bronzepoint_schema.ids import HostName

from ._held import decode_view

if TYPE_CHECKING:
    from ._catalogue import Catalogue

_TIMEOUT = 0.6
"""Seconds to wait for the answer to a poll."""
_VIEW_TIMEOUT = 10.0
"""Seconds to wait for a whole view."""


class Poller:
    """Polls hosts and applies their answers to the catalogue.

    Args:
        name: This host.
        peers: Links to the other hosts.
        catalogue: The catalogue to update.
    """

    def __init__(self, name: HostName, peers: Peers, catalogue: "Catalogue") -> None:
        self._name = name
        self._peers = peers
        self._catalogue = catalogue

    async def poll(self, host: HostName) -> PollReply | None:
        """Poll one host until it has no more changes, and apply them.

        Returns:
            Its last answer, or None if it didn't answer.
        """
        while True:
            before = self._catalogue.held
            request = PollRequest(self._catalogue.cluster, before)
            sent_at = monotonic()
            reply = await self._call(host, request, _TIMEOUT)
            if not isinstance(reply, PollReply):
                return None
            if reply.cluster:
                await self._apply(host, reply, sent_at)
            # Each answer holds a batch of limited size, so there may be more.
            if not before < self._catalogue.held < reply.revision:
                return reply

    async def poll_all(self, hosts: list[HostName]) -> list[PollReply | None]:
        """Poll several hosts concurrently, except this host."""
        async with curio.TaskGroup() as group:
            others = [host for host in hosts if host != self._name]
            tasks = [await group.spawn(self.poll, host) for host in others]
            await group.join()
            return [task.result for task in tasks]

    async def _apply(self, host: HostName, reply: PollReply, sent_at: float) -> None:
        catalogue = self._catalogue
        catalogue.note_copy(host, reply.cluster, reply.revision)
        if reply.too_far:
            full_view = await self._call(host, ViewRequest(), _VIEW_TIMEOUT)
            if isinstance(full_view, ViewReply) and full_view.state:
                await catalogue.replace(decode_view(full_view.state))
        else:
            await catalogue.advance(reply.cluster, reply.deltas)
        if reply.cluster != catalogue.cluster or catalogue.held < reply.revision:
            return
        if reply.age >= 0:
            # The age refers to the time at which the reply was sent. Counting from the
            # request can only overestimate the age of the view.
            catalogue.confirm(sent_at - reply.age)

    async def _call(
        self, host: HostName, request: PollRequest | ViewRequest, timeout: float
    ) -> object:
        try:
            return await self._peers.call(host, Area.CATALOGUE, request, timeout)
        except PeerError:
            return None
