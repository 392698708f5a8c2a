"""Hosts of this host's region: records, heartbeats and states."""

from collections.abc import Container, Iterable
from math import log2, sqrt
from typing import NamedTuple

import msgspec

from bronzepoint_node.membership._heartbeat import (
    Heartbeat,
    HeartbeatFlag,
    HostId,
    make_heartbeat,
    make_host_id,
)
from bronzepoint_node.membership._running_clock import RunningClock
from bronzepoint_node.membership._views import HostInfo, HostState
from bronzepoint_schema.generated.membership import HostRecord
from bronzepoint_schema.ids import HostName

UNKNOWN_INCARNATION = 0
"""Incarnation of a host that is known only from the settings."""
_RESTART_MARGIN = 1
"""Increment on an incarnation that others know, so that the new one replaces it."""


class KnownHost(msgspec.Struct):
    """A host's record and its newest heartbeat.

    Attributes:
        last_contact_at: Time (s) at which its counter last advanced; None before the
            first time.
        learned_at: Time (s) at which this incarnation became known.
    """

    record: HostRecord
    host_id: HostId
    learned_at: float
    pulse: Heartbeat | None = None
    last_contact_at: float | None = None


class _Bounds(NamedTuple):
    """Seconds without a heartbeat after which a host is suspect, and dead."""

    suspect: float
    dead: float


class HostTable:
    """Merges records and heartbeats of hosts, and detects failed hosts.

    The failure detector uses only the local time at which a host's counter last
    advanced. So no two clocks are compared, and every fault that stops a host (a
    crash, SIGSTOP, a network partition) also stops its counter.

    Args:
        own: This host's record.
        clock: Clock that excludes pauses of this process.
        interval: Seconds between two rounds in a small region.
        suspect_after: Seconds without a heartbeat after which a host gets no new work.
        dead_after: Seconds without a heartbeat after which a host counts as dead.
        remove_after: Seconds without a heartbeat after which a host that is not in
            the settings is removed.

    Attributes:
        own: This host's record.
        version: Number that increases with each change.
    """

    def __init__(
        self,
        own: HostRecord,
        clock: RunningClock,
        interval: float,
        suspect_after: float,
        dead_after: float,
        remove_after: float,
    ) -> None:
        self.own = own
        self._clock = clock
        self._interval = interval
        self._suspect_after = suspect_after
        self._dead_after = dead_after
        self._remove_after = remove_after
        self._started_at = clock.now()
        self._counter = 0
        self._hosts: dict[HostName, KnownHost] = {}
        self._names: dict[HostId, HostName] = {}
        self._seeds: set[HostName] = set()
        self._tombstones: dict[HostName, KnownHost] = {}
        self._contacts: set[HostName] = set()
        self._contacted_count = 0
        self.version = 0
        self._put(own)
        self.update_own_heartbeat(0.0, 0, HeartbeatFlag.NONE)

    def add_seed(self, record: HostRecord) -> None:
        """Add a host from the settings; its incarnation is not known yet."""
        self._seeds.add(record.name)
        if record.name not in self._hosts:
            self._put(record)

    def update_own_heartbeat(
        self, load: float, revision: int, flags: HeartbeatFlag
    ) -> None:
        """Advance this host's own counter and set its load, revision and flags."""
        self._counter += 1
        known = self._hosts[self.own.name]
        known.pulse = make_heartbeat(
            known.host_id, self._counter, revision, load, flags
        )
        known.last_contact_at = self._clock.now()
        self.version += 1

    def raise_incarnation(self, incarnation: int) -> None:
        """Use a higher incarnation than the one that others know of this host.

        The host's clock may have been set back between two starts. The others would
        then keep the earlier incarnation, get no heartbeat of it and consider the
        host dead.
        """
        self.own = msgspec.structs.replace(
            self.own, incarnation=incarnation + _RESTART_MARGIN
        )
        heartbeat = self._hosts[self.own.name].pulse
        self._put(self.own)
        known = self._hosts[self.own.name]
        assert heartbeat is not None
        known.pulse = heartbeat._replace(host_id=known.host_id)
        known.last_contact_at = self._clock.now()

    def merge_records(self, records: Iterable[HostRecord]) -> list[HostRecord]:
        """Merge records and return those that were newer."""
        return [record for record in records if self._merge_record(record)]

    def merge_heartbeats(self, heartbeats: Iterable[Heartbeat]) -> list[HostId]:
        """Merge heartbeats that advanced; return the ids that have no record."""
        now = self._clock.now()
        wanted = []
        for heartbeat in heartbeats:
            name = self._names.get(heartbeat.host_id)
            if name is None:
                if not self._restore_removed(heartbeat, now):
                    wanted.append(heartbeat.host_id)
                continue
            known = self._hosts[name]
            if name == self.own.name or known.host_id != heartbeat.host_id:
                continue
            if known.pulse is None or heartbeat.counter > known.pulse.counter:
                known.pulse = heartbeat
                known.last_contact_at = now
                self.version += 1
        self._recount()
        return wanted

    def recent_heartbeats(self) -> list[Heartbeat]:
        """Return the heartbeats that advanced within `suspect_after` seconds.

        Heartbeats of failed hosts are not needed by other hosts.
        """
        horizon = self._clock.now() - self.suspect_after
        return [
            known.pulse
            for known in self._hosts.values()
            if known.pulse is not None
            and known.last_contact_at is not None
            and known.last_contact_at >= horizon
        ]

    def newer_heartbeats(self, theirs: Iterable[Heartbeat]) -> list[Heartbeat]:
        """Return the recent heartbeats that another host lacks or has older."""
        counters = {heartbeat.host_id: heartbeat.counter for heartbeat in theirs}
        return [
            heartbeat
            for heartbeat in self.recent_heartbeats()
            if heartbeat.counter > counters.get(heartbeat.host_id, -1)
        ]

    def records_by_id(self, host_ids: Iterable[HostId]) -> list[HostRecord]:
        """Return the records of the given identifiers; unknown ones are skipped."""
        names = [self._names[i] for i in host_ids if i in self._names]
        return [self._hosts[name].record for name in names]

    def records(self, names: Iterable[HostName]) -> list[HostRecord]:
        """Return the records of the given hosts."""
        return [self._hosts[name].record for name in names]

    def known_records(self, without: Container[HostId]) -> list[HostRecord]:
        """Return the records with a known incarnation, without some identifiers."""
        return [
            known.record
            for known in self._hosts.values()
            if known.record.incarnation != UNKNOWN_INCARNATION
            and known.host_id not in without
        ]

    def recent_records(self, since: float) -> list[HostRecord]:
        """Return the records that became known at or after a time of the clock."""
        return [
            known.record
            for known in self._hosts.values()
            if known.learned_at >= since
            and known.record.incarnation != UNKNOWN_INCARNATION
        ]

    @property
    def digest(self) -> int:
        """XOR of the identifiers; equal if two hosts know the same records."""
        total = 0
        for known in self._hosts.values():
            if known.record.incarnation != UNKNOWN_INCARNATION:
                total ^= known.host_id
        return total

    @property
    def suspect_after(self) -> float:
        """Seconds without a heartbeat after which a host is suspect.

        Heartbeats pass from host to host, so the time between two advances grows with
        the logarithm of the number of hosts. With a timeout below 2 + log2(n) rounds,
        healthy hosts would occasionally be suspected.
        """
        rounds = 2 + log2(max(2, self._contacted_count))
        return max(self._suspect_after, rounds * self._interval * self.round_factor)

    @property
    def dead_after(self) -> float:
        """Seconds without a heartbeat after which a host counts as dead."""
        return self._dead_after * self.suspect_after / self._suspect_after

    @property
    def round_factor(self) -> float:
        """Factor on the interval between two rounds; see `round_factor`."""
        return round_factor(self._contacted_count)

    def infos(self) -> list[HostInfo]:
        """Return all hosts of the region, sorted by name."""
        now, bounds = self._clock.now(), self._bounds()
        hosts = sorted(self._hosts.items())
        return [self._info(known, now, bounds) for _, known in hosts]

    def info(self, name: HostName) -> HostInfo | None:
        """Return a host, or None if it is not known."""
        known = self._hosts.get(name)
        if known is None:
            return None
        return self._info(known, self._clock.now(), self._bounds())

    def time_since_contact(self, name: HostName) -> float:
        """Return the seconds since a host's counter last advanced."""
        known = self._hosts[name]
        last_contact_at = (
            known.last_contact_at
            if known.last_contact_at is not None
            else self._started_at
        )
        return self._clock.now() - last_contact_at

    def remove_dead(self) -> list[HostName]:
        """Remove hosts that have been dead for a long time, and return their names.

        A tombstone of each removed host is kept. Otherwise another host that has not
        removed it yet would add it again as a new host, and two sides of a partition
        that have removed each other would never meet again.
        """
        old = [
            name
            for name in self._hosts
            if name not in self._seeds
            and name != self.own.name
            and self.time_since_contact(name) > self._remove_after
        ]
        for name in old:
            known = self._hosts.pop(name)
            self._names.pop(known.host_id, None)
            self._tombstones[name] = known
            self.version += 1
        while len(self._tombstones) > MAX_TOMBSTONES:
            del self._tombstones[next(iter(self._tombstones))]
        self._recount()
        return old

    def add_contact(self, name: HostName) -> None:
        """Add a host to contact that isn't listed before it answers."""
        self._contacts.add(name)

    def unlisted(self) -> list[HostName]:
        """Return the hosts to contact that aren't listed.

        These are removed ones, which may still run behind a partition, and those that
        changed settings name.
        """
        return sorted({*self._tombstones, *self._contacts} - self._hosts.keys())

    def _recount(self) -> None:
        contacted = [
            known for known in self._hosts.values() if known.last_contact_at is not None
        ]
        self._contacted_count = len(contacted)

    def _put(self, record: HostRecord) -> KnownHost:
        host_id = make_host_id(record.name, record.incarnation)
        known = KnownHost(record, host_id, self._clock.now())
        former = self._hosts.get(record.name)
        if former is not None:
            self._names.pop(former.host_id, None)
        self._hosts[record.name] = known
        self._names[host_id] = record.name
        self.version += 1
        return known

    def _merge_record(self, record: HostRecord) -> bool:
        if record.region != self.own.region:
            return False
        if record.name == self.own.name:
            if record.incarnation > self.own.incarnation:
                self.raise_incarnation(record.incarnation)
            return False
        known = self._hosts.get(record.name) or self._tombstones.get(record.name)
        if known is not None and record.incarnation <= known.record.incarnation:
            return False
        self._tombstones.pop(record.name, None)
        self._put(record)
        return True

    def _restore_removed(self, heartbeat: Heartbeat, now: float) -> bool:
        for name, known in self._tombstones.items():
            if known.host_id != heartbeat.host_id:
                continue
            if known.pulse is None or heartbeat.counter > known.pulse.counter:
                del self._tombstones[name]
                self._hosts[name] = known
                self._names[known.host_id] = name
                known.pulse = heartbeat
                known.last_contact_at = now
            return True
        return False

    def _bounds(self) -> _Bounds:
        return _Bounds(self.suspect_after, self.dead_after)

    def _info(self, known: KnownHost, now: float, bounds: _Bounds) -> HostInfo:
        record = known.record
        heartbeat = known.pulse
        last_contact_at = (
            known.last_contact_at
            if known.last_contact_at is not None
            else self._started_at
        )
        silent_for = now - last_contact_at
        return HostInfo(
            name=record.name,
            region=record.region,
            data_center=record.data_center,
            http=record.http,
            state=self._state(known, silent_for, bounds),
            incarnation=record.incarnation,
            load=0.0 if heartbeat is None else heartbeat.load_share,
            revision=0 if heartbeat is None else heartbeat.revision,
            run_once_ready=heartbeat is not None
            and HeartbeatFlag.RUN_ONCE_READY in heartbeat.flags,
            silent_for=silent_for,
        )

    def _state(self, known: KnownHost, silent_for: float, bounds: _Bounds) -> HostState:
        own = known.record.name == self.own.name
        flags = HeartbeatFlag.NONE if known.pulse is None else known.pulse.flags
        if HeartbeatFlag.LEFT in flags:
            return HostState.dead
        if silent_for > bounds.dead and not own:
            return HostState.dead
        if HeartbeatFlag.DRAINING in flags:
            return HostState.draining
        if own:
            return HostState.live
        if known.last_contact_at is None or silent_for > bounds.suspect:
            return HostState.suspect
        return HostState.live


MAX_TOMBSTONES = 256
"""Maximum number of removed hosts that are remembered; the oldest are dropped."""
SMALL_REGION = 16
"""Maximum number of hosts for which rounds use the interval of the settings."""


def round_factor(hosts: int) -> float:
    """Return the factor on the round interval for this many hosts in the region.

    Each exchange contains a heartbeat of each host, which takes time to process. With
    this factor, both the work per second and the time to detect a failed host grow
    only with the square root of the number of hosts.
    """
    return max(1.0, sqrt(hosts / SMALL_REGION))
