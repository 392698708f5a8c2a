"""Gossip between the hosts of one region."""

import random
from collections.abc import Callable

import curio

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_node.membership._heartbeat import (
    Heartbeat,
    pack_heartbeats,
    unpack_heartbeats,
)
from bronzepoint_node.membership._host_table import HostTable
from bronzepoint_node.membership._notice_table import NoticeTable
from bronzepoint_node.membership._partners import Partners
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
"""Limits on the items of one message (about 6 KB in total); the rest is sent later."""
_RUMOR_ROUNDS = 3
"""Rounds for which new records and notices are included without a request."""


class Gossip:
    """Performs push-pull exchanges with other hosts and merges the results.

    The opening contains the heartbeats that this host holds and digests of its other
    data. The reply contains only what the sender of the opening lacks.

    Args:
        peers: Connections to the other hosts.
        hosts: Hosts of the region.
        regions: Reports of regions.
        notices: Notices of targets.
        clock: Clock that excludes pauses of this process.
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
        """Exchange with the hosts selected for this round."""
        others = [i for i in self._hosts.infos() if i.name != self._hosts.own.name]
        since = self._clock.now() - _RUMOR_ROUNDS * interval
        self._new_notices = [new for new in self._new_notices if new[0] >= since]
        partners = self._partners.next(others, interval, self._hosts.unlisted())
        await self.exchange_with(partners, interval)

    async def exchange(self, partner: HostName, timeout: float) -> bool:
        """Exchange with one host; return whether it replied in time."""
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
            answer = self._make_exchange(opening=False, heartbeats=[], records=records)
            self._peers.post(partner, Area.MEMBERSHIP, answer)
        return True

    async def exchange_with(
        self, names: list[HostName], timeout: float
    ) -> set[HostName]:
        """Exchange with several hosts concurrently; return those that replied."""
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
        theirs = unpack_heartbeats(opening.pulses)
        records: list[HostRecord] = []
        if opening.digest != self._hosts.digest:
            records = self._missing_records(theirs)
        targets: list[TargetNotice] = []
        if opening.notices != self._notices.digest:
            targets = self._notices.newest(MAX_NOTICES)
        reply = self._make_exchange(
            opening=False,
            heartbeats=self._hosts.newer_heartbeats(theirs),
            records=records,
        )
        reply.reports = self._regions.newer_reports(opening.regions)[:MAX_REPORTS]
        reply.targets = targets
        reply.wanted = wanted[:MAX_WANTED]
        return reply

    def merge(self, exchange: Exchange) -> list[int]:
        """Merge the data of an exchange; return the unknown host identifiers."""
        for record in self._hosts.merge_records(exchange.records):
            self._peers.set_address(record.name, record.peer)
        for report in exchange.reports:
            self.merge_report_hosts(report.hosts)
            self._regions.merge(report)
        self.merge_notices(exchange.targets)
        return self._hosts.merge_heartbeats(unpack_heartbeats(exchange.pulses))

    def merge_report_hosts(self, hosts: list[HostRecord]) -> None:
        """Store the addresses of another region's hosts."""
        for record in hosts:
            self._peers.set_address(record.name, record.peer)

    def merge_notices(self, notices: list[TargetNotice]) -> None:
        """Merge notices of targets; new ones are sent along for some rounds."""
        now = self._clock.now()
        for notice in self._notices.merge(notices):
            self._new_notices.append((now, notice))
            for callback in self._callbacks:
                callback(notice)

    def on_notice(self, callback: Callable[[TargetNotice], None]) -> None:
        """Register a callback for each notice that is new to this host."""
        self._callbacks.append(callback)

    def _make_opening(self, since: float) -> Exchange:
        opening = self._make_exchange(
            opening=True,
            heartbeats=self._hosts.recent_heartbeats(),
            records=self._hosts.recent_records(since),
        )
        opening.regions = self._regions.sequences()
        opening.targets = [notice for _, notice in self._new_notices][-MAX_NOTICES:]
        return opening

    def _make_exchange(
        self, opening: bool, heartbeats: list[Heartbeat], records: list[HostRecord]
    ) -> Exchange:
        return Exchange(
            opening=opening,
            digest=self._hosts.digest,
            pulses=pack_heartbeats(heartbeats),
            notices=self._notices.digest,
            records=records[:MAX_RECORDS],
        )

    def _missing_records(self, theirs: list[Heartbeat]) -> list[HostRecord]:
        """Return records that the other host may lack, in random order.

        It has the records of the hosts whose heartbeats it sent. It may lack any
        other, for instance those of hosts that died before it started.
        """
        present = {heartbeat.host_id for heartbeat in theirs}
        records = self._hosts.known_records(without=present)
        self._rng.shuffle(records)
        return records
