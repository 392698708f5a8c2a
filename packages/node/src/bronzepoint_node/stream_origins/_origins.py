"""Records where streams began, and finds it out when they are to go on."""

from collections import defaultdict

import curio

from bronzepoint_common.batches import first_batch
from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_node.fleet import Registry
from bronzepoint_node.policy import TokenBucket
from bronzepoint_schema.generated.fleet import EntryHost
from bronzepoint_schema.generated.stream_origins import (
    BegunStream,
    KnownOrigin,
    OriginMessage,
    OriginNotice,
    OriginQuery,
    OriginReply,
)
from bronzepoint_schema.ids import HostName, RegionName

from ._keepers import keepers, local_hosts, remote_hosts
from ._origin import StreamOrigin
from ._origin_table import MAX_ORIGINS, OriginTable

NOTICES_PER_SECOND = 8.0
"""Mean messages a second to each keeper. Up to this rate each stream is told of at
once; above it, one message tells of several."""
NOTICE_BURST = 5.0
"""Seconds of this rate that may be used at once, so that the streams of a short burst
are known elsewhere before their host can fail."""
FLUSH_INTERVAL = 0.05
"""Seconds between two looks whether streams are left to tell."""
REMOTE_DELAY = 0.15
"""Seconds after which other regions are asked, too, if no host of the own one knew."""
ASK_TIMEOUT = 0.6
"""Seconds to wait for a host's answer. A failed host delays only the refusal of what
nobody knows."""
RELAYED_TIMEOUT = 0.4
"""Seconds to wait for the hosts of the own region on behalf of another one."""
HOST_EXPIRY = 3.0
"""Seconds since its last report after which a host is neither told nor asked."""


class AmbiguousOrigin(Exception):
    """Attempts with different origins have used one id."""


class Origins:
    """Knows where streams began, also those that other hosts have served.

    Each stream is recorded in the memory of its host. While its service has several
    software versions, the host's keepers, two of its region and one of another region,
    are told of it. A host that is to resume a stream it doesn't know asks the hosts
    that may keep it.

    Args:
        name: This host.
        region: Its region.
        peers: Links to the other hosts.
        registry: Live entry hosts, and the versions of the services.
        metrics: Counters.
    """

    def __init__(
        self,
        name: HostName,
        region: RegionName,
        peers: Peers,
        registry: Registry,
        metrics: Metrics,
    ) -> None:
        self._name = name
        self._region = region
        self._peers = peers
        self._registry = registry
        self._metrics = metrics
        self._table = OriginTable()
        self._published: set[str] = set()
        self._pending: list[tuple[int, StreamOrigin]] = []
        self._notices = TokenBucket(
            NOTICES_PER_SECOND,
            NOTICES_PER_SECOND * NOTICE_BURST,
            monotonic(),
            NOTICE_BURST,
        )
        self._task: curio.Task | None = None
        peers.register(Area.STREAM_ORIGINS, OriginMessage, self._handle)

    async def start(self) -> None:
        """Start telling the keepers of streams."""
        self._task = await curio.spawn(self._run, daemon=True)

    async def close(self) -> None:
        """Stop telling the keepers, after what is left to tell."""
        if self._task is not None:
            await self._task.cancel()
        self._flush()

    async def _run(self) -> None:
        while True:
            await curio.sleep(FLUSH_INTERVAL)
            self._flush_if_due()

    def record(self, key: int, origin: StreamOrigin, *, forwarded: bool) -> None:
        """Record that a stream has begun or gone on; called before its next event.

        Args:
            key: Key of the stream.
            origin: Its origin.
            forwarded: Whether another region forwarded the request; the forwarding host
                tells the others.
        """
        now = monotonic()
        self._table.add(key, origin, now, own=not forwarded)
        self._metrics.gauge("origin.kept", len(self._table))
        if not forwarded and self._registry.versions.several(origin.service):
            self._pending.append((key, origin))
            self._flush_if_due()

    def publish_new_services(self) -> None:
        """Tell other hosts of the streams of services that now have several versions.

        Called after each change that the core reports.
        """
        services = self._registry.versions.services()
        added = services - self._published
        self._published = services
        if added:
            self._pending += self._table.own(added, monotonic())
            self._flush()

    async def find(self, key: int, service: str) -> StreamOrigin | None:
        """Return where a stream began; None if nobody knows.

        Other hosts are asked only if its service has several software versions.

        Raises:
            AmbiguousOrigin: Streams of several origins have this key.
        """
        found = self._table.find(key, monotonic())
        if found:
            self._metrics.incr("origin.found_here")
        elif self._registry.versions.several(service):
            found = await self._ask_others(key)
            self._metrics.incr("origin.found_elsewhere" if found else "origin.unknown")
        if not found:
            return None
        if len(found) > 1:
            raise AmbiguousOrigin
        return found[0]

    async def _ask_others(self, key: int) -> tuple[StreamOrigin, ...]:
        async with curio.TaskGroup(wait=object) as group:
            await group.spawn(self._ask_region, key, ASK_TIMEOUT)
            await group.spawn(self._ask_other_regions, key)
        return _result_of(group)

    async def _ask_region(
        self, key: int, timeout: float
    ) -> tuple[StreamOrigin, ...] | None:
        others = local_hosts(self._hosts(), self._region, self._name)
        return await self._first_known(others, OriginQuery(key), timeout)

    async def _ask_other_regions(self, key: int) -> tuple[StreamOrigin, ...] | None:
        await curio.sleep(REMOTE_DELAY)
        others = remote_hosts(key, self._hosts(), self._region)
        query = OriginQuery(key, relay=True)
        return await self._first_known(others, query, ASK_TIMEOUT)

    async def _first_known(
        self, hosts: list[HostName], query: OriginQuery, timeout: float
    ) -> tuple[StreamOrigin, ...] | None:
        """Return the first answer that isn't empty; None if there is none."""
        if not hosts:
            return None
        async with curio.TaskGroup(wait=object) as group:
            for host in hosts:
                await group.spawn(self._ask, host, query, timeout)
        return _result_of(group) or None

    async def _ask(
        self, host: HostName, query: OriginQuery, timeout: float
    ) -> tuple[StreamOrigin, ...] | None:
        try:
            reply = await self._peers.call(host, Area.STREAM_ORIGINS, query, timeout)
        except PeerError:
            self._metrics.incr("origin.unanswered")
            return None
        origins = (StreamOrigin(o.service, o.software_version) for o in reply.origins)
        return tuple(origins) or None

    def _flush_if_due(self) -> None:
        if self._pending and self._keepers() and self._notices.take(1.0, monotonic()):
            self._flush()

    def _flush(self) -> None:
        """Tell the keepers of the streams that have begun since the last time.

        Without a keeper the streams stay pending.
        """
        hosts = self._keepers()
        if not hosts:
            self._pending = self._pending[-MAX_ORIGINS:]
            return
        by_service: dict[str, list[BegunStream]] = defaultdict(list)
        for key, origin in self._pending:
            stream = BegunStream(key, origin.software_version)
            by_service[origin.service].append(stream)
        self._pending = []
        for host in hosts:
            for service, streams in by_service.items():
                self._tell(host, service, streams)

    def _keepers(self) -> list[HostName]:
        return keepers(self._hosts(), self._region, self._name)

    def _tell(self, host: HostName, service: str, streams: list[BegunStream]) -> None:
        while streams:
            batch = first_batch(streams)
            streams = streams[len(batch) :]
            notice = OriginNotice(service, batch)
            self._peers.post(host, Area.STREAM_ORIGINS, notice)

    async def _handle(
        self, peer: HostName, message: OriginMessage
    ) -> OriginReply | None:
        now = monotonic()
        match message:
            case OriginNotice(service=service, streams=streams):
                for stream in streams:
                    origin = StreamOrigin(service, stream.software_version)
                    self._table.add(stream.key, origin, now)
            case OriginQuery(key=key, relay=relay):
                found = self._table.find(key, now)
                if not found and relay:
                    found = await self._ask_region(key, RELAYED_TIMEOUT) or ()
                return OriginReply(
                    [KnownOrigin(o.service, o.software_version) for o in found]
                )
        return None

    def _hosts(self) -> list[EntryHost]:
        return self._registry.entries(HOST_EXPIRY)


def _result_of(group: curio.TaskGroup) -> tuple[StreamOrigin, ...]:
    """Return the first result of a group that isn't None; empty if there is none."""
    first = group.completed
    return first.result if first is not None and first.result is not None else ()
