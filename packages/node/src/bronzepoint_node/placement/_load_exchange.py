"""Telling the entry hosts of a region what this one has in progress."""

from collections.abc import Callable

import curio

from bronzepoint_common.clock import monotonic
from bronzepoint_common.logs import get_logger
from bronzepoint_common.peers import Area, Peers
from bronzepoint_schema.generated.target_loads import (
    LoadNotice,
    NoticeKind,
    PartUse,
    TargetLoad,
)
from bronzepoint_schema.ids import HostName

from ._collector_choice import CollectorChoice
from ._load_collector import LoadCollector
from ._target_table import TargetTable, Tracked

_log = get_logger("targets")

LEAST_INTERVAL = 0.02
"""Seconds between two notices: an engine reads 800 tokens in that time."""
INTERVAL_BY_HOST = 0.006
"""Seconds added for each host that is told, so that what a host hears a second stays
the same: some 170 notices."""
REPORT_INTERVAL = 0.06
"""Seconds between two notices to a collector: half of its own interval at 20 hosts."""
REFRESH = 1.0
"""Seconds after which all is told again: a notice may be lost."""


class LoadExchange:
    """Posts what has changed, at most once an interval.

    Engines report their load 0.2 s late, and are asked a few times a second. In that
    time several hosts send their prompts to the engine that was idle.

    A few hosts tell each other. In a larger region each tells one of them, the
    collector, and that one tells each member what all others have together.

    Args:
        name: This host.
        peers: Links to the other hosts.
        table: Targets of the region.
        others: Gives the other entry hosts of the region.
    """

    def __init__(
        self,
        name: HostName,
        peers: Peers,
        table: TargetTable,
        others: Callable[[], list[HostName]],
    ) -> None:
        self._name = name
        self._peers = peers
        self._table = table
        self._others = others
        self._told_all_at = 0.0
        self._choice = CollectorChoice(name)
        self._collector: HostName | None = None
        self._collected = LoadCollector(name, table)
        self._task: curio.Task | None = None
        peers.register(Area.TARGET_LOADS, LoadNotice, self._take)

    async def start(self) -> None:
        """Begin to tell."""
        self._task = await curio.spawn(self._run, daemon=True)

    async def close(self) -> None:
        """Stop telling."""
        if self._task is not None:
            await self._task.cancel()

    def askers(self, hosts: int) -> int:
        """Return how many hosts ask each engine how busy it is.

        Args:
            hosts: Entry hosts of the region.

        Returns:
            0 where this host doesn't ask, as its collector tells it.
        """
        match self._collector:
            case None:
                return hosts
            case self._name:
                return 1
            case _:
                return 0

    async def _take(self, peer: HostName, notice: LoadNotice) -> None:
        now = monotonic()
        match notice.kind:
            case NoticeKind.to_collect:
                self._collected.take(peer, notice.loads, now)
            case NoticeKind.own if self._collector not in (None, self._name):
                # The collector hears of that host, too, and tells of it.
                return
            case NoticeKind.of_others:
                self._choice.note_heard(peer, now)
                if peer != self._collector:
                    # A former collector's sum holds what the present one tells.
                    return
        for load in notice.loads:
            tracked = self._table.get(load.incarnation)
            if tracked is not None:
                tracked.load.take_notice(peer, load, now)
                if load.word is not None:
                    tracked.take_word(load.word, now)
                for part in load.parts:
                    tracked.memory.note_part(part.name, part.tokens)

    async def _run(self) -> None:
        while True:
            await curio.sleep(self._tell(self._others(), monotonic()))

    def _tell(self, others: list[HostName], now: float) -> float:
        """Tell whom it concerns; return the seconds until the next time."""
        self._follow(self._choice.choose(others, now))
        whole = now - self._told_all_at > REFRESH
        changed = self._changed(whole, now)
        members = self._collected.members(now)
        if members:
            self._collected.take(self._name, changed, now)
            for host, notice in self._collected.notices(whole, now).items():
                self._peers.post(host, Area.TARGET_LOADS, notice)
        collector = self._collector
        if collector is None:
            self._post(others, LoadNotice(NoticeKind.own, changed))
            return LEAST_INTERVAL + INTERVAL_BY_HOST * len(others)
        if whole:
            silent = self._choice.silent_before(collector, others)
            self._post(silent, LoadNotice(NoticeKind.to_collect, changed))
        if collector == self._name:
            return LEAST_INTERVAL + INTERVAL_BY_HOST * len(members)
        self._post([collector], LoadNotice(NoticeKind.to_collect, changed))
        return REPORT_INTERVAL

    def _follow(self, collector: HostName | None) -> None:
        """Hear of the others through another host from now on."""
        if collector == self._collector:
            return
        _log.info("collector of loads", collector=collector, former=self._collector)
        self._collector = collector
        self._told_all_at = 0.0
        for tracked in self._table.all():
            tracked.load.forget_others()
            tracked.told_silent = False

    def _changed(self, whole: bool, now: float) -> list[TargetLoad]:
        """Return this host's part at the targets where it isn't what was told last."""
        if whole:
            self._told_all_at = now
        loads = []
        for tracked in self._table.all():
            if whole or tracked.load.changed:
                tracked.load.changed = False
                loads.append(self._load(tracked, now))
        return loads

    def _post(self, hosts: list[HostName], notice: LoadNotice) -> None:
        if notice.loads:
            for host in hosts:
                self._peers.post(host, Area.TARGET_LOADS, notice)

    def _load(self, tracked: Tracked, now: float) -> TargetLoad:
        load = tracked.load.notice(tracked.info.incarnation, now)
        # What others send there is in the engine's cache for this host's requests too.
        load.parts = [PartUse(*part) for part in tracked.parts_sent.items()]
        tracked.parts_sent.clear()
        return load
