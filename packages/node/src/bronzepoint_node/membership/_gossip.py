"""Gossip between the hosts of one region."""

import random
from collections.abc import Callable

import curio

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_node.membership._host_table import HostTable
from bronzepoint_node.membership._notice_table import NoticeTable
from bronzepoint_node.membership._partners import Partners
from bronzepoint_node.membership._pulse import Pulse, pack_pulses, unpack_pulses
from bronzepoint_node.membership._region_table import RegionTable
from bronzepoint_node.membership._running_clock import RunningClock
from bronzepoint_node.membership._views import HostState
from bronzepoint_schema.generated.membership import (
    Exchange,
    HostRecord,
    TargetNotice,
)
from bronzepoint_schema.ids import HostName

MAX_RECORDS = 16
MAX_REPORTS = 8
MAX_NOTICES = 16
MAX_WANTED = 32
"""Bounds of one message, about 6 KB in all; what is left over goes with the next."""
_RUMOR_ROUNDS = 3
"""Rounds in which news goes along unasked."""


class Gossip:
    """Carries out exchanges and merges what they bring.

    An opening carries the pulses that this host holds and digests of the rest; the
    reply carries only what the opening shows to be missing.

    Args:
        peers: Links to the other hosts.
        hosts: Hosts of the region.
        regions: Reports of regions.
        notices: Notices of targets.
        clock: Time in which this process ran.
        metrics: Counts exchanges.
    """

    def __init__(
        self,
        peers: Peers,
        hosts: HostTable,
        regions: RegionTable,
        notices: NoticeTable,
        clock: RunningClock,
        metrics: Metrics,
    ) -> None:
        self._peers = peers
        self._hosts = hosts
        self._regions = regions
        self._notices = notices
        self._clock = clock
        self._metrics = metrics
        self._rng = random.Random()
        self._partners = Partners(self._rng)
        self._new_notices: list[tuple[float, TargetNotice]] = []
        self._callbacks: list[Callable[[TargetNotice], None]] = []

    async def round(self, interval: float) -> None:
        """Exchange with the host or hosts whose turn it is."""
        others = [i for i in self._hosts.infos() if i.name != self._hosts.own.name]
        since = self._clock.now() - _RUMOR_ROUNDS * interval
        self._new_notices = [new for new in self._new_notices if new[0] >= since]
        await self.exchange_with(self._partners.next(others, interval), interval)

    async def exchange(self, partner: HostName, timeout: float) -> bool:
        """Exchange with one host; False where it did not reply in time."""
        self._metrics.incr("membership.exchanges")
        opening = self._make_opening(self._clock.now() - _RUMOR_ROUNDS * timeout)
        try:
            reply = await self._peers.call(partner, Area.MEMBERSHIP, opening, timeout)
        except PeerError as exc:
            self._metrics.incr(f"membership.failed.{type(exc).__name__}")
            return False
        if not isinstance(reply, Exchange):
            return False
        self.merge(reply)
        records = self._hosts.records_by_id(reply.wanted)
        if records:
            answer = self._make(opening=False, pulses=[], records=records)
            self._peers.post(partner, Area.MEMBERSHIP, answer)
        return True

    async def exchange_with(
        self, names: list[HostName], timeout: float
    ) -> set[HostName]:
        """Exchange with several hosts at once; return those that replied."""
        replied: set[HostName] = set()

        async def exchange(name: HostName) -> None:
            if await self.exchange(name, timeout):
                replied.add(name)

        async with curio.TaskGroup() as group:
            for name in names:
                await group.spawn(exchange, name)
        return replied

    def reachable(self) -> list[HostName]:
        """Return the other hosts of the region that aren't dead."""
        own = self._hosts.own.name
        infos = self._hosts.infos()
        return [i.name for i in infos if i.name != own and i.state != HostState.dead]

    def answer(self, opening: Exchange) -> Exchange:
        """Merge an opening and return the reply."""
        wanted = self.merge(opening)
        theirs = unpack_pulses(opening.pulses)
        records: list[HostRecord] = []
        if opening.digest != self._hosts.digest:
            records = self._missing_records(theirs)
        targets: list[TargetNotice] = []
        if opening.notices != self._notices.digest:
            targets = self._notices.newest(MAX_NOTICES)
        reply = self._make(
            opening=False, pulses=self._hosts.newer_pulses(theirs), records=records
        )
        reply.reports = self._regions.newer_reports(opening.regions)[:MAX_REPORTS]
        reply.targets = targets
        reply.wanted = wanted[:MAX_WANTED]
        return reply

    def merge(self, exchange: Exchange) -> list[int]:
        """Take over what an exchange brings; return the unknown host identifiers."""
        for record in self._hosts.merge_records(exchange.records):
            self._peers.set_address(record.name, record.peer)
        for report in exchange.reports:
            self.merge_report_hosts(report.hosts)
            self._regions.merge(report)
        self.take_notices(exchange.targets)
        return self._hosts.merge_pulses(unpack_pulses(exchange.pulses))

    def merge_report_hosts(self, hosts: list[HostRecord]) -> None:
        """Learn the addresses of another region's hosts."""
        for record in hosts:
            self._peers.set_address(record.name, record.peer)

    def take_notices(self, notices: list[TargetNotice]) -> None:
        """Take over notices of targets; new ones go along for some rounds."""
        now = self._clock.now()
        for notice in self._notices.merge(notices):
            self._new_notices.append((now, notice))
            for callback in self._callbacks:
                callback(notice)

    def on_notice(self, callback: Callable[[TargetNotice], None]) -> None:
        """Call back with each notice that is new here."""
        self._callbacks.append(callback)

    def _make_opening(self, since: float) -> Exchange:
        opening = self._make(
            opening=True,
            pulses=self._hosts.fresh_pulses(),
            records=self._hosts.recent_records(since),
        )
        opening.regions = self._regions.sequences()
        opening.targets = [notice for _, notice in self._new_notices][-MAX_NOTICES:]
        return opening

    def _make(
        self, opening: bool, pulses: list[Pulse], records: list[HostRecord]
    ) -> Exchange:
        return Exchange(
            opening=opening,
            digest=self._hosts.digest,
            pulses=pack_pulses(pulses),
            notices=self._notices.digest,
            records=records[:MAX_RECORDS],
        )

    def _missing_records(self, theirs: list[Pulse]) -> list[HostRecord]:
        """Return records that the other may lack, in a random order.

        Whose pulse it sent it has; of the others it may lack any, for instance those
        of hosts that died before it started.
        """
        present = {pulse.host_id for pulse in theirs}
        records = self._hosts.heard_records(without=present)
        self._rng.shuffle(records)
        return records
