"""What a collector knows of its members, and what it tells each of them."""

from bronzepoint_schema.generated.target_loads import (
    LoadNotice,
    NoticeKind,
    PartUse,
    TargetLoad,
)
from bronzepoint_schema.ids import HostName

from ._load_total import add_up
from ._target_table import TargetTable
from ._tracked import is_silent

MEMBER_EXPIRY = 3.0
"""Seconds after which a member that says nothing is told nothing."""
TELL_INTERVAL = 1.0
"""Seconds between two notices to a member. It is told for the time without a collector,
in which it chooses by itself; what is told at once is that an engine has gone silent or
is heard again, as requests in progress there are given up then."""


class LoadCollector:
    """Adds up what the hosts of a region have in progress at each target.

    Told by each host to each other, the load of a region takes a message for every two
    hosts. By way of one of them a host sends as many as its own load changes, and
    hears one a second. The collector alone asks the engines how busy they are, and
    tells that too.

    Args:
        name: This host.
        table: Targets of the region; the members' words are kept there.
    """

    def __init__(self, name: HostName, table: TargetTable) -> None:
        self._name = name
        self._table = table
        self._members: dict[HostName, float] = {}
        self._parts: dict[str, dict[str, int]] = {}
        self._silent: set[str] = set()
        self._told_at = float("-inf")

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
            if load.parts:
                parts = self._parts.setdefault(load.incarnation, {})
                parts.update({part.name: part.tokens for part in load.parts})

    def notices(self, now: float) -> dict[HostName, LoadNotice]:
        """Return what each member is to hear of the others now."""
        listed = {t.info.incarnation: t for t in self._table.all() if t.engine}
        silent = {name for name, t in listed.items() if is_silent(t, now)}
        turned = (silent ^ self._silent) & listed.keys()
        self._silent = silent
        if now - self._told_at >= TELL_INTERVAL:
            self._told_at = now
            return self._tell({t.info.incarnation for t in self._table.all()}, now)
        return self._tell(turned, now) if turned else {}

    def _tell(self, targets: set[str], now: float) -> dict[HostName, LoadNotice]:
        told: dict[HostName, list[TargetLoad]] = {h: [] for h in self.members(now)}
        for incarnation in targets:
            tracked = self._table.get(incarnation)
            total = add_up(tracked.load.words(self._name, incarnation, now))
            # Nobody asks a plain service; each host goes by its own connections.
            word = tracked.word(now) if tracked.engine is not None else None
            parts = self._parts.pop(incarnation, {})
            for host, loads in told.items():
                load = total.without(host, incarnation, now)
                load.parts = [PartUse(*part) for part in parts.items()]
                load.word = word
                loads.append(load)
        return {
            host: LoadNotice(NoticeKind.of_others, loads)
            for host, loads in told.items()
            if loads
        }
