"""What a collector knows of its members, and what it tells each of them."""

from bronzepoint_schema.generated.target_loads import (
    EngineWord,
    LoadNotice,
    NoticeKind,
    PartUse,
    TargetLoad,
)
from bronzepoint_schema.ids import HostName

from ._load_total import add_up
from ._target_table import TargetTable, Tracked

MEMBER_EXPIRY = 3.0
"""Seconds after which a member that says nothing is told nothing."""


class LoadCollector:
    """Adds up what the hosts of a region have in progress at each target.

    Told by each host to each other, the load of a region takes a message for every two
    hosts: at 23 hosts in a region, 145 a second in and as many out of every host. By
    way of one of them a host sends and hears some ten a second. The collector alone
    asks the engines how busy they are, and tells that too.

    Args:
        name: This host.
        table: Targets of the region; the members' words are kept there.
    """

    def __init__(self, name: HostName, table: TargetTable) -> None:
        self._name = name
        self._table = table
        self._members: dict[HostName, float] = {}
        self._changed_by: dict[str, set[HostName]] = {}
        self._parts: dict[str, dict[str, int]] = {}
        self._told_words: dict[str, tuple[float, bool]] = {}

    def members(self, now: float) -> list[HostName]:
        """Return the hosts that report here."""
        for host, at in list(self._members.items()):
            if now - at > MEMBER_EXPIRY:
                del self._members[host]
        return list(self._members)

    def take(self, host: HostName, loads: list[TargetLoad], now: float) -> None:
        """Count what a member, or this host itself, has in progress."""
        if host != self._name:
            self._members[host] = now
        for load in loads:
            self._changed_by.setdefault(load.incarnation, set()).add(host)
            if load.parts:
                parts = self._parts.setdefault(load.incarnation, {})
                parts.update({part.name: part.tokens for part in load.parts})

    def notices(self, whole: bool, now: float) -> dict[HostName, LoadNotice]:
        """Return what each member is to hear of the others; what it knows is left out.

        Args:
            whole: Tell of all targets, whatever has changed.
            now: Monotonic seconds.
        """
        loads: dict[HostName, list[TargetLoad]] = {h: [] for h in self.members(now)}
        for tracked in self._table.all():
            incarnation = tracked.info.incarnation
            changed_by = self._changed_by.get(incarnation, set())
            word = self._new_word(tracked, whole, now)
            if not changed_by and not word:
                continue
            total = add_up(tracked.load.words(self._name, incarnation, now))
            parts = [PartUse(*p) for p in self._parts.get(incarnation, {}).items()]
            for host, told in loads.items():
                if not word and changed_by == {host}:
                    continue
                load = total.without(host, incarnation, now)
                load.parts = parts
                load.word = word
                told.append(load)
        self._changed_by.clear()
        self._parts.clear()
        listed = {tracked.info.incarnation for tracked in self._table.all()}
        self._told_words = {n: w for n, w in self._told_words.items() if n in listed}
        return {
            host: LoadNotice(NoticeKind.of_others, told)
            for host, told in loads.items()
            if told
        }

    def _new_word(self, tracked: Tracked, whole: bool, now: float) -> EngineWord | None:
        """Return what an engine said, where the members don't know it yet."""
        if tracked.engine is None:
            # Nobody asks a plain service; each host goes by its own connections.
            return None
        word = tracked.word(now)
        said = (tracked.report_at, word.silent)
        if not whole and self._told_words.get(tracked.info.incarnation) == said:
            return None
        self._told_words[tracked.info.incarnation] = said
        return word
