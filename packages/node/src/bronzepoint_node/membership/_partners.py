"""Selection of the hosts for the next gossip round."""

import random
from collections.abc import Sequence

from bronzepoint_node.membership._views import HostInfo, HostState
from bronzepoint_schema.ids import HostName

_UNRESPONSIVE_ROUNDS = 3
"""Rounds without a heartbeat after which a host is contacted directly."""
_CONTACT_AGAIN_ROUNDS = 4
"""Minimum rounds between two direct contacts of the same host."""
_RETRY_ROUNDS = 4
"""Rounds between two contacts of dead hosts."""
_UNLISTED_ROUNDS = 16
"""Rounds between two contacts of hosts that aren't listed."""


class Partners:
    """Selects the hosts for each gossip round.

    A host without a heartbeat for some rounds is contacted directly, so that a
    healthy host is not suspected only because its heartbeats took a long path. A dead
    or removed host is contacted periodically, so that two sides of a partition that
    consider each other dead reconnect after it heals, however long it took.

    Args:
        rng: Random number generator.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._round = 0
        self._order: list[HostName] = []
        self._last_contacted: dict[HostName, int] = {}

    def next(
        self,
        others: Sequence[HostInfo],
        interval: float,
        unlisted: Sequence[HostName] = (),
    ) -> list[HostName]:
        """Return the hosts to exchange with in this round, usually one.

        Args:
            others: The other known hosts of the region.
            interval: Seconds between two rounds.
            unlisted: Hosts that were removed, or that changed settings name.
        """
        self._round += 1
        live = [info for info in others if info.state is not HostState.dead]
        dead = [info for info in others if info.state is HostState.dead]
        chosen = []
        if live:
            chosen.append(
                self._unresponsive(live, interval) or self._next_in_rotation(live)
            )
        if dead and self._round % _RETRY_ROUNDS == 0:
            chosen.append(self._rng.choice(dead).name)
        if unlisted and self._round % _UNLISTED_ROUNDS == 0:
            chosen.append(self._rng.choice(unlisted))
        for name in chosen:
            self._last_contacted[name] = self._round
        return chosen

    def _unresponsive(self, live: list[HostInfo], interval: float) -> HostName | None:
        unresponsive = [
            info.name
            for info in live
            if info.silent_for > _UNRESPONSIVE_ROUNDS * interval
            and self._round
            - self._last_contacted.get(info.name, -_CONTACT_AGAIN_ROUNDS)
            >= _CONTACT_AGAIN_ROUNDS
        ]
        return self._rng.choice(unresponsive) if unresponsive else None

    def _next_in_rotation(self, live: list[HostInfo]) -> HostName:
        names = {info.name for info in live}
        while self._order:
            name = self._order.pop()
            if name in names:
                return name
        self._order = sorted(names)
        self._rng.shuffle(self._order)
        return self._order.pop()
