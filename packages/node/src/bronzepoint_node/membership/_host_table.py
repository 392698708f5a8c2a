"""The hosts of this host's own region: records, pulses and states."""

from collections.abc import Container, Iterable
from math import log2, sqrt
from typing import NamedTuple

import msgspec

from bronzepoint_node.membership._pulse import (
    HostId,
    Pulse,
    PulseFlag,
    make_host_id,
    make_pulse,
)
from bronzepoint_node.membership._running_clock import RunningClock
from bronzepoint_node.membership._views import HostInfo, HostState
from bronzepoint_schema.generated.membership import HostRecord
from bronzepoint_schema.ids import HostName

UNKNOWN_INCARNATION = 0
"""Incarnation of a host that is known from the settings only."""
_RESTART_MARGIN = 1


class KnownHost(msgspec.Struct):
    """One host: its record, and the newest pulse that came of it.

    Attributes:
        heard_at: when its counter advanced last, None before the first time.
        learned_at: when this incarnation became known.
    """

    record: HostRecord
    host_id: HostId
    learned_at: float
    pulse: Pulse | None = None
    heard_at: float | None = None


class _Bounds(NamedTuple):
    """Seconds of silence after which a host is suspect, and dead."""

    suspect: float
    dead: float


class HostTable:
    """Merges what is heard of hosts and judges which of them are alive.

    A host is judged only by the local time at which its counter advanced last: no two
    clocks are compared, and whatever stops a host (a crash, SIGSTOP, a silent cut)
    stops its counter.

    Args:
        own: This host's record.
        clock: Time in which this process ran.
        interval: Seconds between two rounds in a small region.
        suspect_after: Seconds of silence after which a host gets no new work.
        dead_after: Seconds of silence after which it counts as dead.
        forget_after: Seconds of silence after which a host that the settings don't
            name is no longer listed.

    Attributes:
        own: This host's record.
        version: Grows with each change.
    """

    def __init__(
        self,
        own: HostRecord,
        clock: RunningClock,
        interval: float,
        suspect_after: float,
        dead_after: float,
        forget_after: float,
    ) -> None:
        self.own = own
        self._clock = clock
        self._interval = interval
        self._suspect_after = suspect_after
        self._dead_after = dead_after
        self._forget_after = forget_after
        self._started_at = clock.now()
        self._counter = 0
        self._hosts: dict[HostName, KnownHost] = {}
        self._names: dict[HostId, HostName] = {}
        self._seeds: set[HostName] = set()
        self._forgotten: dict[HostName, KnownHost] = {}
        self._heard_count = 0
        self.version = 0
        self._put(own)
        self.beat(0.0, 0, PulseFlag.NONE)

    def add_seed(self, record: HostRecord) -> None:
        """Add a host of the settings; its incarnation is not known yet."""
        self._seeds.add(record.name)
        if record.name not in self._hosts:
            self._put(record)

    def beat(self, load: float, revision: int, flags: PulseFlag) -> None:
        """Advance this host's own counter and say how it is."""
        self._counter += 1
        known = self._hosts[self.own.name]
        known.pulse = make_pulse(known.host_id, self._counter, revision, load, flags)
        known.heard_at = self._clock.now()
        self.version += 1

    def supersede(self, incarnation: int) -> None:
        """Take a higher incarnation than one that others hold of this host.

        Its clock may have been set back between two starts. The others would go on
        believing the earlier incarnation, see no heartbeat and call the host dead.
        """
        self.own = msgspec.structs.replace(
            self.own, incarnation=incarnation + _RESTART_MARGIN
        )
        pulse = self._hosts[self.own.name].pulse
        self._put(self.own)
        known = self._hosts[self.own.name]
        assert pulse is not None
        known.pulse = pulse._replace(host_id=known.host_id)
        known.heard_at = self._clock.now()

    def merge_records(self, records: Iterable[HostRecord]) -> list[HostRecord]:
        """Take over what is newer and return it."""
        return [record for record in records if self._merge_record(record)]

    def merge_pulses(self, pulses: Iterable[Pulse]) -> list[HostId]:
        """Take over the pulses that advance; return the ids without a record."""
        now = self._clock.now()
        wanted = []
        for pulse in pulses:
            name = self._names.get(pulse.host_id)
            if name is None:
                if not self._revive(pulse, now):
                    wanted.append(pulse.host_id)
                continue
            known = self._hosts[name]
            if name == self.own.name or known.host_id != pulse.host_id:
                continue
            if known.pulse is None or pulse.counter > known.pulse.counter:
                known.pulse = pulse
                known.heard_at = now
                self.version += 1
        self._recount()
        return wanted

    def fresh_pulses(self) -> list[Pulse]:
        """Return the pulses that advanced lately; a dead host's is of no use."""
        horizon = self._clock.now() - self.suspect_after
        return [
            known.pulse
            for known in self._hosts.values()
            if known.pulse is not None
            and known.heard_at is not None
            and known.heard_at >= horizon
        ]

    def newer_pulses(self, theirs: Iterable[Pulse]) -> list[Pulse]:
        """Return the fresh pulses that another host's pulses lack or have older."""
        counters = {pulse.host_id: pulse.counter for pulse in theirs}
        return [
            pulse
            for pulse in self.fresh_pulses()
            if pulse.counter > counters.get(pulse.host_id, -1)
        ]

    def records_by_id(self, host_ids: Iterable[HostId]) -> list[HostRecord]:
        """Return the records of some identifiers, as far as they are known."""
        names = [self._names[i] for i in host_ids if i in self._names]
        return [self._hosts[name].record for name in names]

    def records(self, names: Iterable[HostName]) -> list[HostRecord]:
        """Return the records of some hosts."""
        return [self._hosts[name].record for name in names]

    def heard_records(self, without: Container[HostId]) -> list[HostRecord]:
        """Return the records of hosts that once spoke, but for some identifiers."""
        return [
            known.record
            for known in self._hosts.values()
            if known.record.incarnation != UNKNOWN_INCARNATION
            and known.host_id not in without
        ]

    def recent_records(self, since: float) -> list[HostRecord]:
        """Return the records that became known after a moment of the clock."""
        return [
            known.record
            for known in self._hosts.values()
            if known.learned_at >= since
            and known.record.incarnation != UNKNOWN_INCARNATION
        ]

    @property
    def digest(self) -> int:
        """Sum of the identifiers, equal where two hosts know the same records."""
        total = 0
        for known in self._hosts.values():
            if known.record.incarnation != UNKNOWN_INCARNATION:
                total ^= known.host_id
        return total

    @property
    def suspect_after(self) -> float:
        """Seconds of silence after which a host is suspect.

        News passes from host to host, so the time between two advances grows with the
        logarithm of their number. Below 2 + log2(n) rounds, hosts that are well would
        be suspected now and then.
        """
        rounds = 2 + log2(max(2, self._heard_count))
        return max(self._suspect_after, rounds * self._interval * self.round_factor)

    @property
    def dead_after(self) -> float:
        """Seconds of silence after which a host counts as dead."""
        return self._dead_after * self.suspect_after / self._suspect_after

    @property
    def round_factor(self) -> float:
        """How much longer a round takes than in a small region, see `round_factor`."""
        return round_factor(self._heard_count)

    def infos(self) -> list[HostInfo]:
        """Return all hosts of the region, in the order of their names."""
        now, bounds = self._clock.now(), self._bounds()
        hosts = sorted(self._hosts.items())
        return [self._info(known, now, bounds) for _, known in hosts]

    def info(self, name: HostName) -> HostInfo | None:
        """Return one host."""
        known = self._hosts.get(name)
        if known is None:
            return None
        return self._info(known, self._clock.now(), self._bounds())

    def silence(self, name: HostName) -> float:
        """Return the seconds since news of a host came last."""
        known = self._hosts[name]
        heard_at = known.heard_at if known.heard_at is not None else self._started_at
        return self._clock.now() - heard_at

    def forget_dead(self) -> list[HostName]:
        """Stop listing hosts that have been dead for very long, and return them.

        A forgotten host keeps its place beside the table: another host that has not
        forgotten it yet would otherwise bring it back as news.
        """
        old = [
            name
            for name in self._hosts
            if name not in self._seeds
            and name != self.own.name
            and self.silence(name) > self._forget_after
        ]
        for name in old:
            known = self._hosts.pop(name)
            self._names.pop(known.host_id, None)
            self._forgotten[name] = known
            self.version += 1
        self._recount()
        return old

    def _recount(self) -> None:
        heard = [known for known in self._hosts.values() if known.heard_at is not None]
        self._heard_count = len(heard)

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
                self.supersede(record.incarnation)
            return False
        known = self._hosts.get(record.name) or self._forgotten.get(record.name)
        if known is not None and record.incarnation <= known.record.incarnation:
            return False
        self._forgotten.pop(record.name, None)
        self._put(record)
        return True

    def _revive(self, pulse: Pulse, now: float) -> bool:
        for name, known in self._forgotten.items():
            if known.host_id != pulse.host_id:
                continue
            if known.pulse is None or pulse.counter > known.pulse.counter:
                del self._forgotten[name]
                self._hosts[name] = known
                self._names[known.host_id] = name
                known.pulse = pulse
                known.heard_at = now
            return True
        return False

    def _bounds(self) -> _Bounds:
        return _Bounds(self.suspect_after, self.dead_after)

    def _info(self, known: KnownHost, now: float, bounds: _Bounds) -> HostInfo:
        record = known.record
        pulse = known.pulse
        heard_at = known.heard_at if known.heard_at is not None else self._started_at
        silent_for = now - heard_at
        return HostInfo(
            name=record.name,
            region=record.region,
            data_center=record.data_center,
            http=record.http,
            state=self._state(known, silent_for, bounds),
            incarnation=record.incarnation,
            load=0.0 if pulse is None else pulse.load_share,
            revision=0 if pulse is None else pulse.revision,
            run_once_ready=pulse is not None
            and PulseFlag.RUN_ONCE_READY in pulse.flags,
            silent_for=silent_for,
        )

    def _state(self, known: KnownHost, silent_for: float, bounds: _Bounds) -> HostState:
        own = known.record.name == self.own.name
        flags = PulseFlag.NONE if known.pulse is None else known.pulse.flags
        if PulseFlag.LEFT in flags:
            return HostState.dead
        if silent_for > bounds.dead and not own:
            return HostState.dead
        if PulseFlag.DRAINING in flags:
            return HostState.draining
        if own:
            return HostState.live
        if known.heard_at is None or silent_for > bounds.suspect:
            return HostState.suspect
        return HostState.live


SMALL_REGION = 16
"""Hosts up to which the rounds keep the interval of the settings."""


def round_factor(hosts: int) -> float:
    """Return how much longer a round takes with this many hosts in the region.

    A pulse of each host is in each exchange, and news of each takes time to handle.
    With longer rounds, what a host spends a second grows with the root of the number,
    and so does the time until a silent host is noticed.
    """
    return max(1.0, sqrt(hosts / SMALL_REGION))
