"""Reads the other hosts' registers after a loss of memory or when hosts are added."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio

from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import PeerError
from bronzepoint_node.run_once._owners import Owners, fingerprint
from bronzepoint_node.run_once._replica import Replica
from bronzepoint_node.run_once._replica_log import ReplicaLog
from bronzepoint_node.run_once._voting_rights import PeerState, VotingRights
from bronzepoint_schema.generated.run_once import Page, PeerIncarnation, Read
from bronzepoint_schema.ids import HostName

Call = Callable[[HostName, Read], Awaitable[Page]]

PAGE_BYTES = 128 * 1024
"""Approximate bytes of one page; small enough not to delay votes queued after it."""
INTERVAL = 0.25
"""Seconds between two checks whether a host must be read."""
FIRST_PROBE_DELAY = 5.0
"""Seconds until a host that was recovering when it was read is probed again."""
MAX_PROBE_INTERVAL = 160.0
"""Maximum seconds between two probes of a host; the interval doubles each time.

After a start of the whole region no host can recover the time before it. Without the
backoff each would probe every other one until the last old key has expired."""
PAST_ALL_KEYS = b"\xff" * 16
"""Cursor after all keys: the page has no registers, only its sender's state."""

_log = get_logger("run_once")


@dataclass(frozen=True)
class _Probe:
    """Time of a host's next probe (s on curio's clock) and the pause before it (s)."""

    due: float
    pause: float


class Recovery:
    """Recovers a replica's registers from other hosts, and serves theirs.

    Args:
        name: This host.
        replica: Its registers.
        voting_rights: Determines which keys it may vote on.
        owners: The region's hosts.
        log: Log of the changes.
        call: Requests a page from another host.
        metrics: Counts pages and registers.
    """

    def __init__(
        self,
        name: HostName,
        replica: Replica,
        voting_rights: VotingRights,
        owners: Owners,
        log: ReplicaLog,
        call: Call,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._replica = replica
        self._voting_rights = voting_rights
        self._owners = owners
        self._log = log
        self._call = call
        self._metrics = metrics
        self._probes: dict[HostName, _Probe] = {}

    async def run(self) -> None:
        """Read missing registers until this host may no longer vote."""
        while not self._log.failed:
            self._owners.prune()
            if self._owners.refresh():
                await self._log_identity()
            await self._read_missing()
            await curio.sleep(INTERVAL)

    async def serve(self, reader: HostName, message: Read) -> Page:
        """Return a page of registers to a replica that reads this one.

        The reader's incarnation is recorded first. Votes of its earlier incarnations
        don't count together with later votes of this replica, and those that counted
        with earlier votes of this replica are included in the registers it reads.
        """
        if self._owners.add([reader, *message.hosts]):
            await self._log_identity()
        await self._learn_incarnations({reader: message.incarnation})
        known = self._voting_rights.incarnations.get(reader, 0)
        registers, last = [], True
        if known <= message.incarnation:
            registers, last = self._replica.page(reader, message.cursor, PAGE_BYTES)
        self._metrics.incr("run_once.pages_served")
        return Page(
            known_incarnation=known,
            hosts=self._owners.hosts,
            since=self._owners.since,
            reader_since=self._owners.listed_since(reader),
            floor=self._voting_rights.complete_above(),
            registers=registers,
            last=last,
            incarnation=self._voting_rights.incarnation,
            seen=dict(self._voting_rights.incarnations),
        )

    async def _read_missing(self) -> None:
        voting_rights = self._voting_rights
        if voting_rights.floor == 0 and len(self._owners.history) == 1:
            return
        now = await curio.clock()
        async with curio.TaskGroup() as group:
            for host in self._owners.hosts:
                if host == self._name:
                    continue
                if voting_rights.needs_read(host):
                    await group.spawn(self._read_host, host)
                elif voting_rights.may_know_more(host) and self._is_probe_due(
                    host, now
                ):
                    await group.spawn(self._probe, host)

    def _is_probe_due(self, host: HostName, now: float) -> bool:
        probe = self._probes.get(host)
        if probe is None:
            self._probes[host] = _Probe(now + FIRST_PROBE_DELAY, FIRST_PROBE_DELAY)
            return False
        if now < probe.due:
            return False
        pause = min(2 * probe.pause, MAX_PROBE_INTERVAL)
        self._probes[host] = _Probe(now + pause, pause)
        return True

    async def _probe(self, host: HostName) -> None:
        """Read a host again if it has recovered more since the last read."""
        message = Read(
            self._voting_rights.incarnation, self._owners.hosts, PAST_ALL_KEYS
        )
        try:
            page = await self._call(host, message)
        except PeerError:
            return
        if page.floor < self._voting_rights.peer_states[host].floor:
            await self._read_host(host)

    async def _read_host(self, host: HostName) -> None:
        """Read all pages of one host; on an error, `run` tries again later."""
        cursor = b""
        previous: PeerState | None = None
        while True:
            message = Read(self._voting_rights.incarnation, self._owners.hosts, cursor)
            try:
                page = await self._call(host, message)
            except PeerError:
                self._metrics.incr("retry.run_once_read")
                return
            if page.known_incarnation > message.incarnation:
                await self._raise_incarnation(page.known_incarnation + 1)
                return
            await self._merge_page(host, page)
            state = _peer_state(page)
            # The other host may have restarted or added a host between two pages,
            # so the pages read before belong to an outdated state.
            if previous is not None and state != previous:
                return
            previous = state
            if page.last:
                self._probes.pop(host, None)
                await self._finish_read(host, state)
                return
            cursor = page.registers[-1].key

    async def _merge_page(self, host: HostName, page: Page) -> None:
        if self._owners.add(page.hosts):
            await self._log_identity()
        await self._learn_incarnations({**page.seen, host: page.incarnation})
        changed = self._replica.merge(page.registers)
        self._metrics.incr("run_once.registers_read", len(changed))
        await self._log.write(changed)

    async def _raise_incarnation(self, incarnation: int) -> None:
        """Move to a higher incarnation because others know a higher one than ours."""
        if incarnation <= self._voting_rights.incarnation:
            return
        _log.warning(
            "other hosts know a higher incarnation of this host",
            incarnation=incarnation,
        )
        self._voting_rights.start_without_memory(incarnation)
        await self._log_identity()

    async def _finish_read(self, host: HostName, state: PeerState) -> None:
        if not self._voting_rights.record_read(host, state):
            return
        self._metrics.incr("run_once.recoveries")
        _log.info("registers recovered", registers=len(self._replica.registers))
        await self._log_identity()

    async def _learn_incarnations(self, seen: dict[HostName, int]) -> None:
        updates = [
            PeerIncarnation(host, incarnation)
            for host, incarnation in seen.items()
            if self._voting_rights.learn_incarnation(host, incarnation)
        ]
        # Write even if nothing is new: the record from an earlier read of the same
        # page may not be durable yet, and an empty write waits for it.
        await self._log.write(updates)

    async def _log_identity(self) -> None:
        await self._log.write([self._voting_rights.identity()])


def _peer_state(page: Page) -> PeerState:
    return PeerState(
        hosts=fingerprint(page.hosts),
        since=page.since,
        reader_since=page.reader_since,
        floor=page.floor,
        incarnation=page.incarnation,
    )
