"""Choosing targets for requests of this host, and of others that ask it to."""

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from bronzepoint_common.clock import monotonic
from bronzepoint_schema.generated.scheduling import NoTarget, TargetAsk, TargetGrant
from bronzepoint_schema.generated.target_loads import PartUse
from bronzepoint_schema.ids import HostName

from ._choice import AtHome, HomeAnswer, NoHome
from ._cold_gate import ColdGate
from ._engine_load import OwnRun
from ._home_ask import HomeAsk
from ._home_choice import HomeChoice
from ._prompt import Prompt, PromptPart
from ._reservations import Reservations
from ._tracked import is_silent
from ._waiting_line import HEADS, Waiter, WaitingLine

LEAST_PAUSE = 0.02
"""Seconds between two looks for room of one line."""

MOST_WAIT = 1.0
"""Seconds for which a request stands in line before it looks elsewhere, too: were each
to ask again and again, a burst would take up the scheduler's processor."""

Claim = Callable[[AtHome], None]
"""Counts a request at its target, before anything else is placed."""


@dataclass(order=True)
class _Waiting(Waiter):
    """A request in line, and what was found for it."""

    ask: HomeAsk = field(kw_only=True, compare=False)
    claim: Claim = field(kw_only=True, compare=False)
    found: HomeAnswer = field(default=NoHome(), kw_only=True, compare=False)


class Scheduler:
    """Places requests by what one host knows, the urgent ones first.

    Many hosts that choose by what they knew a moment ago all choose the target that was
    idle then: it is overrun, and rejects or preempts, while others stand idle. Where
    one host chooses for all, each choice knows of those before it.

    Args:
        name: This host.
        home: Chooses targets.
        cold: How many requests cold targets get.
        reservations: Where what is granted counts.
        known_age: Gives the seconds that what this host knows of others may be old.
    """

    def __init__(
        self,
        name: HostName,
        home: HomeChoice,
        cold: ColdGate,
        reservations: Reservations,
        known_age: Callable[[float], float],
    ) -> None:
        self._name = name
        self._numbers = itertools.count()
        self._home = home
        self._cold = cold
        self._reservations = reservations
        self._known_age = known_age
        self._lines: dict[str, WaitingLine] = {}

    async def find(self, ask: HomeAsk, wait: float) -> HomeAnswer:
        """Return a target for a request of this host, as soon as there is one.

        Whoever asks counts the request at its target at once.

        Args:
            ask: The request.
            wait: Seconds for which it may stand in line; 0: it doesn't.
        """
        number = next(self._numbers)

        def claim(found: AtHome) -> None:
            self._reserve(self._name, number, ask, found)

        found = await self._find(ask, wait, claim)
        if isinstance(found, AtHome):
            self._reservations.settle(self._name, [number])
        return found

    async def answer(self, host: HostName, asked: TargetAsk) -> TargetGrant | NoTarget:
        """Answer another host; what it is granted counts from then on."""
        ask = _read_ask(asked, monotonic())

        def claim(found: AtHome) -> None:
            self._reserve(host, asked.number, ask, found)

        found = await self._find(ask, asked.wait_ms / 1000, claim)
        match found:
            case NoHome(late=late, crowded=crowded):
                return NoTarget(asked.number, late, crowded=crowded)
            case AtHome(target=target, fetch_from=source):
                return TargetGrant(
                    asked.number,
                    target.info.incarnation,
                    source.info.incarnation if source else "",
                    found.cached_tokens,
                    round(found.tokens_before),
                    round(found.delay * 1000),
                    found.reason,
                    round(found.known_age * 1000),
                    found.quiet,
                )

    async def _find(self, ask: HomeAsk, wait: float, claim: Claim) -> HomeAnswer:
        found = self._choose(ask, claim)
        if wait <= 0 or not _lacks_room(found):
            return found
        line = self._lines.setdefault(ask.service, WaitingLine())
        if self._home.seconds_to_drain(ask.service, len(line) + 1) > wait:
            # It would be turned away at the end: its caller is told now.
            return replace(found, crowded=True)
        until = monotonic() + min(wait, MOST_WAIT)
        waiter = _Waiting(ask.rank, ask.arrived, until, ask=ask, claim=claim)
        line.join(waiter)
        try:
            while _lacks_room(waiter.found) and await line.wait(waiter):
                await self._look(line)
        finally:
            await line.leave(waiter)
        return waiter.found

    async def _look(self, line: WaitingLine) -> None:
        """Give what room there is to those in line, whoever looks.

        One look serves as many as there is room for. Were each to look when it moves
        up, a long line would use up the processor; were only the first few served, it
        would empty slowly though targets stand idle.
        """
        now = monotonic()
        if now < line.looked_at + LEAST_PAUSE:
            return
        line.looked_at = now
        failed = 0
        for waiter in line.in_order():
            if not _lacks_room(waiter.found):
                continue
            waiter.found = self._choose(waiter.ask, waiter.claim)
            if not _lacks_room(waiter.found):
                await waiter.moved_up.set()
                continue
            failed += 1
            if failed == HEADS:
                return

    def _choose(self, ask: HomeAsk, claim: Claim) -> HomeAnswer:
        now = monotonic()
        found = self._home.choose(ask, now)
        if isinstance(found, NoHome):
            return found
        claim(found)
        return replace(found, known_age=self._known_age(now))

    def _reserve(
        self, host: HostName, number: int, ask: HomeAsk, found: AtHome
    ) -> None:
        now = monotonic()
        target, prompt = found.target, ask.prompt
        if now < target.cold_until:
            self._cold.note_sent(target.info.incarnation, now)
        if is_silent(target, now):
            target.trial_at = now
        if ask.suspect:
            target.set_apart(now)
        memory = prompt.memory_tokens if prompt else 0
        uncached = prompt.tokens - found.cached_tokens if prompt else 0
        run = OwnRun(memory, uncached, ask.rank, now)
        self._reservations.add(host, number, target, prompt, run)


def make_ask(ask: HomeAsk, number: int, wait: float, now: float) -> TargetAsk:
    """Return a request in the form in which another host is asked for a target."""
    prompt = ask.prompt
    return TargetAsk(
        number=number,
        service=ask.service,
        request_id=ask.request_id,
        parts=[PartUse(p.name, p.tokens) for p in prompt.parts] if prompt else [],
        tokens=prompt.tokens if prompt else -1,
        max_output=prompt.max_output if prompt else 0,
        expected_output=prompt.expected_output if prompt else 0,
        rank=ask.rank,
        left_ms=int(ask.left * 1000),
        waited_ms=int((now - ask.arrived) * 1000),
        wait_ms=int(wait * 1000),
        avoided=sorted(ask.avoided),
        suspect=ask.suspect,
    )


def _read_ask(asked: TargetAsk, now: float) -> HomeAsk:
    prompt = None
    if asked.tokens >= 0:
        parts = tuple(PromptPart(part.name, part.tokens) for part in asked.parts)
        prompt = Prompt(parts, asked.tokens, asked.max_output, asked.expected_output)
    return HomeAsk(
        request_id=asked.request_id,
        service=asked.service,
        prompt=prompt,
        left=asked.left_ms / 1000,
        rank=asked.rank,
        arrived=now - asked.waited_ms / 1000,
        avoided=set(asked.avoided),
        suspect=asked.suspect,
    )


def _lacks_room(found: HomeAnswer) -> bool:
    return isinstance(found, NoHome) and not found.late
