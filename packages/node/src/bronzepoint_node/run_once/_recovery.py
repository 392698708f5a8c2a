"""Reads the registers of the other hosts, after a loss of memory or a new host."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import curio

from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import PeerError
from bronzepoint_node.run_once._copy import Copy
from bronzepoint_node.run_once._copy_log import CopyLog
from bronzepoint_node.run_once._knowledge import Heard, Knowledge
from bronzepoint_node.run_once._owners import Owners, fingerprint
from bronzepoint_schema.generated.run_once import Page, PeerIncarnation, Read
from bronzepoint_schema.ids import HostName

Call = Callable[[HostName, Read], Awaitable[Page]]

PAGE_BYTES = 128 * 1024
"""About how large one page is: short enough not to hold up votes behind it."""
INTERVAL = 0.25
"""Seconds between two looks at whether there is something to read."""
FIRST_PROBE = 5.0
"""Seconds until a host that did not know everything itself is asked whether it does."""
LAST_PROBE = 160.0
"""Longest time (s) between two such questions; it doubles from the first on.

After a start of the whole region no host ever knows more about the time before, and
each would ask every other one until the last of the old keys has expired."""
PAST_ALL_KEYS = b"\xff" * 16
"""A cursor that no key follows: the page says how much its sender knows, no more."""

_log = get_logger("run_once")


@dataclass(frozen=True)
class _Probe:
    """When a host is asked again (s on curio's clock), after which pause (s)."""

    due: float
    pause: float


class Recovery:
    """Keeps what a copy knows complete: reads others, and lets them read it.

    Args:
        name: This host.
        copy: Its registers.
        knowledge: What it remembers.
        owners: The region's hosts.
        log: Where changes are kept.
        call: Asks another host for a page.
        metrics: Counts pages.
    """

    def __init__(
        self,
        name: HostName,
        copy: Copy,
        knowledge: Knowledge,
        owners: Owners,
        log: CopyLog,
        call: Call,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._copy = copy
        self._knowledge = knowledge
        self._owners = owners
        self._log = log
        self._call = call
        self._metrics = metrics
        self._probes: dict[HostName, _Probe] = {}

    async def run(self) -> None:
        """Read what is missing, as long as this host may vote."""
        while not self._log.failed:
            self._owners.prune()
            if self._owners.refresh():
                await self._keep_identity()
            await self._read_missing()
            await curio.sleep(INTERVAL)

    async def serve(self, reader: HostName, message: Read) -> Page:
        """Answer a copy that reads this one.

        Its incarnation is recorded first. From then on the votes of an earlier one
        don't count beside a vote of this copy, and those given beside earlier votes
        are in what it reads.
        """
        if self._owners.add([reader, *message.hosts]):
            await self._keep_identity()
        await self._learn_incarnations({reader: message.incarnation})
        known = self._knowledge.seen.get(reader, 0)
        registers, last = [], True
        if known <= message.incarnation:
            registers, last = self._copy.page(reader, message.cursor, PAGE_BYTES)
        self._metrics.incr("run_once.pages_served")
        return Page(
            known_incarnation=known,
            hosts=self._owners.hosts,
            since=self._owners.since,
            reader_since=self._owners.since_of(reader),
            floor=self._knowledge.readable_floor(),
            registers=registers,
            last=last,
            incarnation=self._knowledge.incarnation,
            seen=dict(self._knowledge.seen),
        )

    async def _read_missing(self) -> None:
        knowledge = self._knowledge
        if knowledge.floor == 0 and len(self._owners.history) == 1:
            return
        now = await curio.clock()
        async with curio.TaskGroup() as group:
            for host in self._owners.hosts:
                if host == self._name:
                    continue
                if knowledge.must_read(host):
                    await group.spawn(self._read_host, host)
                elif knowledge.may_gain(host) and self._is_probe_due(host, now):
                    await group.spawn(self._probe, host)

    def _is_probe_due(self, host: HostName, now: float) -> bool:
        probe = self._probes.get(host)
        if probe is None:
            self._probes[host] = _Probe(now + FIRST_PROBE, FIRST_PROBE)
            return False
        if now < probe.due:
            return False
        pause = min(2 * probe.pause, LAST_PROBE)
        self._probes[host] = _Probe(now + pause, pause)
        return True

    async def _probe(self, host: HostName) -> None:
        """Read a host again if it has recovered more than it knew at the last read."""
        message = Read(self._knowledge.incarnation, self._owners.hosts, PAST_ALL_KEYS)
        try:
            page = await self._call(host, message)
        except PeerError:
            return
        if page.floor < self._knowledge.heard[host].floor:
            await self._read_host(host)

    async def _read_host(self, host: HostName) -> None:
        """Read all pages of one host; give up silently, there is a next time."""
        cursor = b""
        heard: Heard | None = None
        while True:
            message = Read(self._knowledge.incarnation, self._owners.hosts, cursor)
            try:
                page = await self._call(host, message)
            except PeerError:
                self._metrics.incr("retry.run_once_read")
                return
            if page.known_incarnation > message.incarnation:
                await self._raise_incarnation(page.known_incarnation + 1)
                return
            await self._take_page(host, page)
            said = _heard(page)
            # The other host may have restarted or taken a new host between two
            # pages: what was read before belongs to a state that is gone.
            if heard is not None and said != heard:
                return
            heard = said
            if page.last:
                self._probes.pop(host, None)
                await self._finish_read(host, said)
                return
            cursor = page.registers[-1].key

    async def _take_page(self, host: HostName, page: Page) -> None:
        if self._owners.add(page.hosts):
            await self._keep_identity()
        await self._learn_incarnations({**page.seen, host: page.incarnation})
        changed = self._copy.merge(page.registers)
        self._metrics.incr("run_once.registers_read", len(changed))
        await self._log.write(changed)

    async def _raise_incarnation(self, incarnation: int) -> None:
        """Take a higher incarnation: the others knew one above this copy's own."""
        if incarnation <= self._knowledge.incarnation:
            return
        _log.warning("incarnation was known to be higher", incarnation=incarnation)
        self._knowledge.forget(incarnation)
        await self._keep_identity()

    async def _finish_read(self, host: HostName, said: Heard) -> None:
        if not self._knowledge.take(host, said):
            return
        self._metrics.incr("run_once.recoveries")
        _log.info("registers recovered", registers=len(self._copy.registers))
        await self._keep_identity()

    async def _learn_incarnations(self, seen: dict[HostName, int]) -> None:
        news = [
            PeerIncarnation(host, incarnation)
            for host, incarnation in seen.items()
            if self._knowledge.learn_incarnation(host, incarnation)
        ]
        # Also where it is no news: the record of an earlier read of the same page may
        # still be on its way to the disk.
        await self._log.write(news)

    async def _keep_identity(self) -> None:
        await self._log.write([self._knowledge.identity()])


def _heard(page: Page) -> Heard:
    return Heard(
        hosts=fingerprint(page.hosts),
        since=page.since,
        reader_since=page.reader_since,
        floor=page.floor,
        incarnation=page.incarnation,
    )
