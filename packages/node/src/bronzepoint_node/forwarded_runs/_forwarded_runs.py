"""Runs and progress of requests that one host has forwarded to another."""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_schema.generated.forwarded_runs import (
    ForwardedRunMessage,
    ProgressQuery,
    ProgressReply,
    RunReply,
    RunRequest,
)
from bronzepoint_schema.ids import HostName

from ._forwarded_send import ForwardedSend

REPLY_TIMEOUT = 0.6
"""Seconds to wait for the other host's reply; a round trip between regions takes
0.16 s."""
RANDOM_BITS = 40
"""Bits of the random start of send ids, which keeps a restarted host from using those
of its previous process again."""


@dataclass
class Forwarding:
    """A request that this host has forwarded.

    Attributes:
        send: Identifies this send.
        receiver: The host it was sent to.
        lend_run: Takes an attempt and a retry for one more run at the receiver; returns
            whether there was one.
    """

    send: ForwardedSend
    receiver: HostName
    lend_run: Callable[[], bool]


class ForwardedRuns:
    """Exchanges runs and progress with the host at the other end of a request.

    The forwarding host owns the attempts and the retry budget of the request. The
    receiving host alone sees why a target doesn't answer.

    Args:
        name: This host.
        peers: Links to the other hosts.
        metrics: Counters.
    """

    def __init__(self, name: HostName, peers: Peers, metrics: Metrics) -> None:
        self._name = name
        self._peers = peers
        self._metrics = metrics
        self._numbers = itertools.count(random.getrandbits(RANDOM_BITS))
        self._forwarded: dict[str, Forwarding] = {}
        self._received: dict[ForwardedSend, Callable[[], int]] = {}
        peers.register(Area.FORWARDED_RUNS, ForwardedRunMessage, self._handle)

    def begin(self, receiver: HostName, lend_run: Callable[[], bool]) -> Forwarding:
        """Register a request that is about to be forwarded, until `end`."""
        send = ForwardedSend(self._name, f"{next(self._numbers):x}")
        forwarding = Forwarding(send, receiver, lend_run)
        self._forwarded[send.send_id] = forwarding
        return forwarding

    def end(self, forwarding: Forwarding) -> None:
        """Forget a forwarded request; its receiver gets no further run."""
        self._forwarded.pop(forwarding.send.send_id, None)

    def begin_received(
        self, send: ForwardedSend, sent_events: Callable[[], int]
    ) -> None:
        """Register a request that another host has forwarded to this one.

        Args:
            send: Identifies the send.
            sent_events: Returns the number of events sent on so far.
        """
        self._received[send] = sent_events

    def end_received(self, send: ForwardedSend) -> None:
        """Forget a request that this host no longer works on."""
        self._received.pop(send, None)

    async def borrow_run(self, send: ForwardedSend) -> bool:
        """Ask the forwarding host for one more run; False: none, or no reply."""
        try:
            reply = await self._peers.call(
                send.host,
                Area.FORWARDED_RUNS,
                RunRequest(send.send_id),
                REPLY_TIMEOUT,
            )
        except PeerError:
            self._metrics.incr("forwarded.run_unanswered")
            return False
        self._metrics.incr(
            "forwarded.run_granted" if reply.granted else "forwarded.run_refused"
        )
        return reply.granted

    async def progress(self, forwarding: Forwarding) -> ProgressReply | None:
        """Return the receiver's progress; None if it doesn't reply."""
        try:
            return await self._peers.call(
                forwarding.receiver,
                Area.FORWARDED_RUNS,
                ProgressQuery(forwarding.send.send_id),
                REPLY_TIMEOUT,
            )
        except PeerError:
            self._metrics.incr("forwarded.progress_unanswered")
            return None

    async def _handle(
        self, peer: HostName, message: ForwardedRunMessage
    ) -> RunReply | ProgressReply | None:
        match message:
            case RunRequest(send_id=send_id):
                return RunReply(self._lend(peer, send_id))
            case ProgressQuery(send_id=send_id):
                sent_events = self._received.get(ForwardedSend(peer, send_id))
                if sent_events is None:
                    return ProgressReply(working=False)
                return ProgressReply(working=True, events=sent_events())
        return None

    def _lend(self, peer: HostName, send_id: str) -> bool:
        forwarding = self._forwarded.get(send_id)
        if forwarding is None or forwarding.receiver != peer:
            return False
        return forwarding.lend_run()
