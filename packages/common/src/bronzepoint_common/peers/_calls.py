"""Calls that wait for their reply."""

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
_GIVEN_UP_KEPT = 64
"""Calls without an answer that are remembered, for one that comes late."""
OnLate = Callable[[Any], None]
"""Takes a reply that came after its call was given up."""


@dataclass
class _Waiting:
    peer: HostName
    on_late: OnLate | None = None
    began: float = field(default_factory=monotonic)
    answered: curio.Event = field(default_factory=curio.Event)
    reply: Envelope | None = None


@dataclass(frozen=True)
class GivenUp:
    """A call that nobody waits for any more.

    Attributes:
        peer: Who was called.
        began: When, by the monotonic clock.
        on_late: Takes its reply all the same; None: nobody does.
    """

    peer: HostName
    began: float
    on_late: OnLate | None


class Calls:
    """Pairs replies with calls.

    Identifiers start at a random number: a reply to a call of an earlier incarnation
    must not be taken for the reply to a call of the present one.
    """

    def __init__(self) -> None:
        self._next_id = secrets.randbits(_ID_BITS)
        self._waiting: dict[int, _Waiting] = {}
        self._given_up: OrderedDict[int, GivenUp] = OrderedDict()

    def begin(self, peer: HostName, on_late: OnLate | None = None) -> int:
        """Register a call and return its identifier."""
        self._next_id += 1
        self._waiting[self._next_id] = _Waiting(peer, on_late)
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
        given_up = GivenUp(waiting.peer, waiting.began, waiting.on_late)
        self._given_up[call_id] = given_up
        while len(self._given_up) > _GIVEN_UP_KEPT:
            self._given_up.popitem(last=False)

    def take_given_up(self, envelope: Envelope) -> GivenUp | None:
        """Return the call that a late reply answers; None: not known."""
        given_up = self._given_up.get(envelope.call_id)
        if given_up is None or given_up.peer != envelope.sender:
            return None
        return self._given_up.pop(envelope.call_id)

    async def resolve(self, envelope: Envelope) -> bool:
        """Hand a reply to its call; False where nobody waits for it any more."""
        waiting = self._waiting.get(envelope.call_id)
        if waiting is None or waiting.peer != envelope.sender:
            return False
        waiting.reply = envelope
        await waiting.answered.set()
        return True
