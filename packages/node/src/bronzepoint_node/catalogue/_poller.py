"""Asking other hosts what is new."""

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
_VIEW_TIMEOUT = 10.0


class Poller:
    """Polls hosts and hands what they say to the catalogue.

    Args:
        name: This host.
        peers: Links to the other hosts.
        catalogue: Takes the answers.
    """

    def __init__(self, name: HostName, peers: Peers, catalogue: "Catalogue") -> None:
        self._name = name
        self._peers = peers
        self._catalogue = catalogue

    async def ask(self, host: HostName) -> PollReply | None:
        """Ask one host until nothing more is to be had, and take in what it knows.

        Returns:
            Its last answer; None where there was none.
        """
        while True:
            before = self._catalogue.held
            request = PollRequest(self._catalogue.cluster, before)
            sent_at = monotonic()
            reply = await self._call(host, request, _TIMEOUT)
            if not isinstance(reply, PollReply):
                return None
            if reply.cluster:
                await self._take(host, reply, sent_at)
            # An answer holds a bounded batch: there may be more.
            if not before < self._catalogue.held < reply.revision:
                return reply

    async def ask_all(self, hosts: list[HostName]) -> list[PollReply | None]:
        """Ask several hosts at once; this one is left out."""
        async with curio.TaskGroup() as group:
            others = [host for host in hosts if host != self._name]
            tasks = [await group.spawn(self.ask, host) for host in others]
            await group.join()
            return [task.result for task in tasks]

    async def _take(self, host: HostName, reply: PollReply, sent_at: float) -> None:
        catalogue = self._catalogue
        catalogue.note_copy(host, reply.cluster, reply.revision)
        if reply.too_far:
            whole = await self._call(host, ViewRequest(), _VIEW_TIMEOUT)
            if isinstance(whole, ViewReply) and whole.state:
                await catalogue.replace(decode_view(whole.state))
        else:
            await catalogue.advance(reply.cluster, reply.deltas)
        if reply.cluster != catalogue.cluster or catalogue.held < reply.revision:
            return
        if reply.age >= 0:
            # The reply's age counts up to its sending; counting it from the request
            # can only make the view look older than it is.
            catalogue.confirm(sent_at - reply.age)

    async def _call(
        self, host: HostName, request: PollRequest | ViewRequest, timeout: float
    ) -> object:
        try:
            return await self._peers.call(host, Area.CATALOGUE, request, timeout)
        except PeerError:
            return None
