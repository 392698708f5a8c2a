"""Pending calls and their replies."""

import secrets
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_schema.generated.peers import Envelope
from bronzepoint_schema.ids import HostName

_ID_BITS = 62
"""Random bits of the first call identifier."""
_MAX_ABANDONED = 64
"""Maximum number of abandoned calls kept in case a reply arrives late."""
OnLateReply = Callable[[Any], None]
"""Called with a reply that arrived after its call was abandoned."""


@dataclass
class _PendingCall:
    peer: HostName
    on_late_reply: OnLateReply | None = None
    began: float = field(default_factory=monotonic)
    answered: curio.Event = field(default_factory=curio.Event)
    reply: Envelope | None = None


@dataclass(frozen=True)
class AbandonedCall:
    """A call that has ended without a reply.

    Attributes:
        peer: Host that was called.
        began: Start of the call, in monotonic seconds.
        on_late_reply: Called with a late reply; None: it is dropped.
    """

    peer: HostName
    began: float
    on_late_reply: OnLateReply | None


class Calls:
    """Matches replies with calls.

    Identifiers start at a random number: a reply to a call from before a restart must
    not match a call of the present process.
    """

    def __init__(self) -> None:
        self._next_id = secrets.randbits(_ID_BITS)
        self._pending: dict[int, _PendingCall] = {}
        self._abandoned: OrderedDict[int, AbandonedCall] = OrderedDict()

    def begin(self, peer: HostName, on_late_reply: OnLateReply | None = None) -> int:
        """Register a call and return its identifier."""
        self._next_id += 1
        self._pending[self._next_id] = _PendingCall(peer, on_late_reply)
        return self._next_id

    async def wait(self, call_id: int) -> Envelope:
        """Wait for the reply and return it; the caller must set a timeout."""
        pending = self._pending[call_id]
        await pending.answered.wait()
        assert pending.reply is not None
        return pending.reply

    def end(self, call_id: int) -> None:
        """End a call; without a reply it counts as abandoned."""
        pending = self._pending.pop(call_id, None)
        if pending is None or pending.reply is not None:
            return
        abandoned = AbandonedCall(pending.peer, pending.began, pending.on_late_reply)
        self._abandoned[call_id] = abandoned
        while len(self._abandoned) > _MAX_ABANDONED:
            self._abandoned.popitem(last=False)

    def pop_abandoned(self, envelope: Envelope) -> AbandonedCall | None:
        """Remove and return the call that a late reply belongs to; None: unknown."""
        abandoned = self._abandoned.get(envelope.call_id)
        if abandoned is None or abandoned.peer != envelope.sender:
            return None
        return self._abandoned.pop(envelope.call_id)

    async def resolve(self, envelope: Envelope) -> bool:
        """Pass a reply to its call; return False if the call isn't pending."""
        pending = self._pending.get(envelope.call_id)
        if pending is None or pending.peer != envelope.sender:
            return False
        pending.reply = envelope
        await pending.answered.set()
        return True
