"""Whom this host gossips with next."""

import random
from collections.abc import Sequence

from bronzepoint_node.membership._views import HostInfo, HostState
from bronzepoint_schema.ids import HostName

_QUIET_ROUNDS = 3
"""Rounds of silence after which a host is asked directly."""
_ASK_AGAIN_ROUNDS = 4
_RETRY_ROUNDS = 4
"""Every so many rounds one host that isn't live is tried."""


class Partners:
    """Chooses one host for each round.

    A host that has been silent for some rounds is asked directly: a host that is well
    must not be suspected only because the news of it took a long way. A host that
    isn't live is tried now and then, so that two halves of a region that were cut
    apart, each taking the other for dead, find each other again.

    Args:
        rng: Source of the random order.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._round = 0
        self._order: list[HostName] = []
        self._asked: dict[HostName, int] = {}

    def next(self, others: Sequence[HostInfo], interval: float) -> list[HostName]:
        """Return the hosts to exchange with in this round, mostly one."""
        self._round += 1
        live = [info for info in others if info.state is not HostState.dead]
        lost = [info for info in others if info.state is HostState.dead]
        chosen = []
        if live:
            chosen.append(self._quiet(live, interval) or self._in_turn(live))
        if lost and self._round % _RETRY_ROUNDS == 0:
            chosen.append(self._rng.choice(lost).name)
        for name in chosen:
            self._asked[name] = self._round
        return chosen

    def _quiet(self, live: list[HostInfo], interval: float) -> HostName | None:
        quiet = [
            info.name
            for info in live
            if info.silent_for > _QUIET_ROUNDS * interval
            and self._round - self._asked.get(info.name, -_ASK_AGAIN_ROUNDS)
            >= _ASK_AGAIN_ROUNDS
        ]
        return self._rng.choice(quiet) if quiet else None

    def _in_turn(self, live: list[HostInfo]) -> HostName:
        names = {info.name for info in live}
        while self._order:
            name = self._order.pop()
            if name in names:
                return name
        self._order = sorted(names)
        self._rng.shuffle(self._order)
        return self._order.pop()
