"""Calls that wait for their reply."""

import secrets
from collections import OrderedDict
from dataclasses import dataclass, field

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_schema.generated.peers import Envelope
from bronzepoint_schema.ids import HostName

_ID_BITS = 62
_GIVEN_UP_KEPT = 64
"""Calls without an answer whose start is remembered, to tell how late one came."""


@dataclass
class _Waiting:
    peer: HostName
    began: float = field(default_factory=monotonic)
    answered: curio.Event = field(default_factory=curio.Event)
    reply: Envelope | None = None


class Calls:
    """Pairs replies with calls.

    Identifiers start at a random number: a reply to a call of an earlier incarnation
    must not be taken for the reply to a call of the present one.
    """

    def __init__(self) -> None:
        self._next_id = secrets.randbits(_ID_BITS)
        self._waiting: dict[int, _Waiting] = {}
        self._given_up: OrderedDict[int, float] = OrderedDict()

    def begin(self, peer: HostName) -> int:
        """Register a call and return its identifier."""
        self._next_id += 1
        self._waiting[self._next_id] = _Waiting(peer)
        return self._next_id

    async def wait(self, call_id: int) -> Envelope:
        """Return the reply; the caller sets the timeout."""
        waiting = self._waiting[call_id]
        await waiting.answered.wait()
        assert waiting.reply is not None
        return waiting.reply

    def end(self, call_id: int) -> None:
        """Wait for a call no more, answered or not."""
        waiting = self._waiting.pop(call_id, None)
        if waiting is None or waiting.reply is not None:
            return
        self._given_up[call_id] = waiting.began
        while len(self._given_up) > _GIVEN_UP_KEPT:
            self._given_up.popitem(last=False)

    def age_given_up(self, call_id: int) -> float | None:
        """Return seconds since a call that was given up began; None: not known."""
        began = self._given_up.pop(call_id, None)
        return monotonic() - began if began is not None else None

    async def resolve(self, envelope: Envelope) -> bool:
        """Hand a reply to its call; False where nobody waits for it any more."""
        waiting = self._waiting.get(envelope.call_id)
        if waiting is None or waiting.peer != envelope.sender:
            return False
        waiting.reply = envelope
        await waiting.answered.set()
        return True
