"""Telling the entry hosts of a region what this one has in progress."""

from collections.abc import Callable

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.peers import Area, Peers
from bronzepoint_schema.generated.target_loads import LoadNotice, PartUse, TargetLoad
from bronzepoint_schema.ids import HostName

from ._target_table import TargetTable, Tracked

LEAST_INTERVAL = 0.02
"""Seconds between two notices: an engine reads 800 tokens in that time."""
INTERVAL_BY_HOST = 0.006
"""Seconds added for each host of the region, so that what a host hears a second stays
the same: some 170 notices."""
REFRESH = 1.0
"""Seconds after which all is told again: a notice may be lost."""


class LoadExchange:
    """Posts what has changed, at most once an interval.

    Engines report their load 0.2 s late, and are asked a few times a second. In that
    time several hosts send their prompts to the engine that was idle.

    Args:
        peers: Links to the other hosts.
        table: Targets of the region.
        others: Gives the other entry hosts of the region.
    """

    def __init__(
        self, peers: Peers, table: TargetTable, others: Callable[[], list[HostName]]
    ) -> None:
        self._peers = peers
        self._table = table
        self._others = others
        self._told: dict[str, TargetLoad] = {}
        self._told_all_at = 0.0
        self._task: curio.Task | None = None
        peers.register(Area.TARGET_LOADS, LoadNotice, self._take)

    async def start(self) -> None:
        """Begin to tell."""
        self._task = await curio.spawn(self._run, daemon=True)

    async def close(self) -> None:
        """Stop telling."""
        if self._task is not None:
            await self._task.cancel()

    async def _take(self, peer: HostName, notice: LoadNotice) -> None:
        now = monotonic()
        for load in notice.loads:
            tracked = self._table.get(load.incarnation)
            if tracked is not None:
                tracked.load.take_notice(peer, load, now)
                for part in load.parts:
                    tracked.memory.note_part(part.name, part.tokens)

    async def _run(self) -> None:
        while True:
            others = self._others()
            if others:
                self._tell(others)
            await curio.sleep(LEAST_INTERVAL + INTERVAL_BY_HOST * len(others))

    def _tell(self, others: list[HostName]) -> None:
        now = monotonic()
        loads = [self._load(tracked, now) for tracked in self._table.all()]
        if now - self._told_all_at > REFRESH:
            self._told_all_at = now
            changed = loads
        else:
            changed = [load for load in loads if self._differs(load)]
        self._told = {load.incarnation: load for load in loads}
        if not changed:
            return
        notice = LoadNotice(changed)
        for host in others:
            self._peers.post(host, Area.TARGET_LOADS, notice)

    def _load(self, tracked: Tracked, now: float) -> TargetLoad:
        load = tracked.load.notice(tracked.info.incarnation, now)
        # What others send there is in the engine's cache for this host's requests too.
        load.parts = [PartUse(*part) for part in tracked.parts_sent.items()]
        tracked.parts_sent.clear()
        return load

    def _differs(self, load: TargetLoad) -> bool:
        """Tell whether a load has changed, but for the passing of time."""
        told = self._told.get(load.incarnation)
        if load.parts:
            return True
        if told is None:
            return load.in_flight > 0
        return (told.in_flight, told.unread) != (load.in_flight, load.unread)
