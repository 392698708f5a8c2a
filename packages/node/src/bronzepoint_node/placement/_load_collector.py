"""Aggregation of the members' loads on the collector of a region."""

import math

from bronzepoint_common.turns import rotating_slice
from bronzepoint_schema.generated.target_loads import (
    LoadNotice,
    NoticeKind,
    PartUse,
    TargetLoad,
)
from bronzepoint_schema.ids import HostName

from ._target_table import TargetTable
from ._tracked_target import TrackedTarget, is_unresponsive

MEMBER_EXPIRY = 3.0
"""Seconds without a message after which a member gets no more notices."""
NOTICE_INTERVAL = 1.0
"""Seconds between two notices to a member. Members need them for times without a
collector, when they select targets themselves. Only a change in the responsiveness
of an engine is reported at once, because members give up their requests in progress
there."""
MAX_REPORTED = 64
"""Maximum number of targets in one notice; larger tables are reported round robin."""
PART_RETENTION = 2 * NOTICE_INTERVAL
"""Seconds for which the collector remembers that a part was sent to a target."""


class LoadCollector:
    """Adds up the requests in progress of all hosts of a region, by target.

    If each host reported to every other host, each load change would take a message for
    every pair of hosts. With a collector a host sends one message per change of its own
    load and receives one per second. Only the collector polls the engines for their
    load, and it includes the result in its notices.

    Args:
        name: This host.
        table: Targets of the region, which also hold the members' reports.
    """

    def __init__(self, name: HostName, table: TargetTable) -> None:
        self._name = name
        self._table = table
        self._last_contact_at: dict[HostName, float] = {}
        self._reported_at: dict[HostName, float] = {}
        self._offsets: dict[HostName, int] = {}
        self._parts: dict[str, dict[str, tuple[float, int]]] = {}
        self._unresponsive: set[str] = set()

    def members(self, now: float) -> list[HostName]:
        """Return the hosts that report to this one."""
        for host, at in list(self._last_contact_at.items()):
            if now - at > MEMBER_EXPIRY:
                del self._last_contact_at[host]
                self._reported_at.pop(host, None)
                self._offsets.pop(host, None)
        return list(self._last_contact_at)

    def record(self, host: HostName, loads: list[TargetLoad], now: float) -> None:
        """Record the requests in progress of a member or of this host."""
        if host != self._name:
            self._last_contact_at[host] = now
        for load in loads:
            if load.parts:
                parts = self._parts.setdefault(load.incarnation, {})
                parts.update({part.name: (now, part.tokens) for part in load.parts})

    def notices(self, now: float) -> dict[HostName, LoadNotice]:
        """Return the notices that are due now, by member.

        Members come due one after the other. Sending all notices at once would delay
        the answers to hosts that query this one for a target.
        """
        changed_engines = self._responsiveness_changes(now)
        due_notices = {}
        for host in self.members(now):
            if now - self._reported_at.get(host, float("-inf")) >= NOTICE_INTERVAL:
                due_notices[host] = self._notice(host, self._next_targets(host), now)
                due_notices[host].span_ms = round(self._full_cycle() * 1000)
                self._reported_at[host] = now
            elif changed_engines:
                due_notices[host] = self._notice(host, changed_engines, now)
        self._expire_parts(now)
        return due_notices

    def _full_cycle(self) -> float:
        """Return the seconds within which a member gets the load of every target."""
        turns = math.ceil(len(self._table.all_known()) / MAX_REPORTED)
        return NOTICE_INTERVAL * max(1, turns)

    def _next_targets(self, host: HostName) -> list[TrackedTarget]:
        """Return the targets of a member's next notice; all of them if few."""
        targets = self._table.all_known()
        start = self._offsets.get(host, 0)
        self._offsets[host] = start + MAX_REPORTED
        return rotating_slice(targets, start, MAX_REPORTED)

    def _responsiveness_changes(self, now: float) -> list[TrackedTarget]:
        """Return the engines that have become unresponsive or responsive again."""
        engines = {t.info.incarnation: t for t in self._table.all_known() if t.engine}
        unresponsive = {name for name, t in engines.items() if is_unresponsive(t, now)}
        changed_engines = [
            engines[n] for n in unresponsive ^ self._unresponsive if n in engines
        ]
        self._unresponsive = unresponsive
        return changed_engines

    def _notice(
        self, host: HostName, targets: list[TrackedTarget], now: float
    ) -> LoadNotice:
        since = self._reported_at.get(host, float("-inf"))
        loads = [self._load_for(host, tracked, since, now) for tracked in targets]
        return LoadNotice(
            NoticeKind.of_others, loads, tell_all=host not in self._reported_at
        )

    def _load_for(
        self, host: HostName, tracked: TrackedTarget, since: float, now: float
    ) -> TargetLoad:
        """Return the load of all other hosts: a host knows its own load better."""
        incarnation = tracked.info.incarnation
        load = tracked.load.notice_without(host, incarnation, now)
        parts = self._parts.get(incarnation, {})
        load.parts = [
            PartUse(n, tokens) for n, (at, tokens) in parts.items() if at > since
        ]
        load.replaced = tracked.replaced
        tracked.add_limit(load, now)
        tracked.add_speed(load, now)
        if tracked.engine is not None:
            # Plain services are not polled; each host relies on its own connections.
            load.word = tracked.engine_status(now)
        return load

    def _expire_parts(self, now: float) -> None:
        for incarnation, parts in list(self._parts.items()):
            kept = {
                n: part for n, part in parts.items() if now - part[0] < PART_RETENTION
            }
            if kept:
                self._parts[incarnation] = kept
            else:
                del self._parts[incarnation]
