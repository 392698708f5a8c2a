"""Records where streams began, and finds it out when they are to go on."""

import os
from collections import defaultdict

import curio
from curio.traps import _read_wait

from bronzepoint_common.background import spawn_background
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
from ._known_hosts import KnownHosts
from ._lookup import Found, Lookup, Unfound
from ._origin import StreamOrigin
from ._origin_table import MAX_ORIGINS, OriginTable
from ._relayed_searches import RelayedSearches

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
"""Seconds to wait for a host's first answer, doubled each time it is asked again. A
failed host delays only the refusal of what no other host knows."""
MAX_ASK_TIMEOUT = 2.4
"""Maximum seconds to wait for an answer. A query may be lost with its connection."""
ASK_INTERVAL = 0.2
"""Seconds until hosts that have not answered are asked again, doubled each time."""
MAX_ASK_INTERVAL = 1.6
"""Maximum seconds until hosts that have not answered are asked again."""
SINGLE_TIMEOUT = 0.25
"""Seconds to wait for the hosts of the region while the service has a single version.
Callers of a host that has failed would wait for it otherwise."""
SINGLE_REMOTE_TIME = 0.2
"""Seconds by which other regions may answer later than that: a round trip."""
RELAYED_TIMEOUT = 0.4
"""Seconds to wait for the hosts of the own region on behalf of another one."""
HOST_EXPIRY = 3.0
"""Seconds since its last report after which a host counts as not reported."""


class AmbiguousOrigin(Exception):
    """Attempts with different origins have used one id."""


class UnansweredOrigin(Exception):
    """Hosts that may know where a stream began have not answered."""


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
        self._known = KnownHosts()
        self._published: set[str] = set()
        self._pending: list[tuple[int, StreamOrigin]] = []
        self._told_unreported: list[tuple[int, StreamOrigin]] = []
        self._notices = TokenBucket(
            NOTICES_PER_SECOND,
            NOTICES_PER_SECOND * NOTICE_BURST,
            monotonic(),
            NOTICE_BURST,
        )
        self._relayed = RelayedSearches(self._search_region)
        self._tasks: list[curio.Task] = []
        self._wake_fd = -1
        peers.register(Area.STREAM_ORIGINS, OriginMessage, self._handle)

    async def start(self) -> None:
        """Start telling the keepers of streams."""
        self._wake_fd = os.eventfd(0, os.EFD_NONBLOCK | os.EFD_CLOEXEC)
        self._tasks = [
            await spawn_background(self._run),
            await spawn_background(self._flush_woken),
        ]

    async def close(self) -> None:
        """Stop telling the keepers, after what is left to tell."""
        for task in self._tasks:
            await task.cancel()
        if self._wake_fd >= 0:
            os.close(self._wake_fd)
            self._wake_fd = -1
        await self._relayed.close()
        self._flush()

    async def _run(self) -> None:
        while True:
            await curio.sleep(FLUSH_INTERVAL)
            self._known_hosts()
            self._flush_if_due()

    async def _flush_woken(self) -> None:
        while True:
            await _read_wait(self._wake_fd)
            os.eventfd_read(self._wake_fd)
            self._flush()

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
        versions = self._registry.versions
        if not forwarded and versions.several(origin.service):
            self._pending.append((key, origin))
            self._flush_if_due()
            if versions.is_new(origin.service, origin.software_version):
                self._flush_after_turn()

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

    async def find(
        self, key: int, service: str, patience: float = 0.0
    ) -> StreamOrigin | None:
        """Return where a stream began; None if no host that may know it does.

        Other hosts are asked although its service has a single software version here:
        the host of the stream may have heard of another one before. While the service
        certainly has a single one, only hosts that are reported at the moment are asked
        once, and needn't all answer.

        Args:
            key: Key of the stream.
            service: Its service.
            patience: Seconds for which hosts that don't answer are asked again.

        Raises:
            AmbiguousOrigin: Streams of several origins have this key.
            UnansweredOrigin: Hosts that may know it have not answered.
        """
        origin = self.find_here(key)
        if origin is not None:
            return origin
        versions = self._registry.versions
        result = await self._search(key, service, patience)
        if result is Unfound.UNKNOWN and not versions.is_complete():
            result = Unfound.UNANSWERED
        elif result is Unfound.UNANSWERED and versions.is_single(service):
            result = Unfound.UNKNOWN
        match result:
            case Unfound.UNKNOWN:
                self._metrics.incr("origin.unknown")
                return None
            case Unfound.UNANSWERED:
                self._metrics.incr("origin.unconfirmed")
                raise UnansweredOrigin
            case found:
                self._metrics.incr("origin.found_elsewhere")
                return _only(found)

    def find_here(self, key: int) -> StreamOrigin | None:
        """Return where a stream began, as far as this host knows.

        Args:
            key: Key of the stream.

        Raises:
            AmbiguousOrigin: Streams of several origins have this key.
        """
        found = self._table.find(key, monotonic())
        if not found:
            return None
        self._metrics.incr("origin.found_here")
        return _only(found)

    async def _search(self, key: int, service: str, patience: float) -> Found | Unfound:
        """Ask other hosts until all that may know have answered, or needn't answer."""
        until = monotonic() + patience
        lookup = Lookup(key)
        if self._registry.versions.is_single(service):
            found = await self._ask_reported(lookup)
            if found is not None:
                return found
            if self._registry.versions.is_single(service):
                return Unfound.UNKNOWN
        timeout, pause, remote_delay = ASK_TIMEOUT, ASK_INTERVAL, REMOTE_DELAY
        while True:
            result = await self._ask_others(lookup, timeout, remote_delay)
            if result is not Unfound.UNANSWERED:
                return result
            left = until - monotonic()
            if left <= 0 or self._registry.versions.is_single(service):
                return result
            await curio.sleep(min(pause, left))
            # A keeper may have been told of the stream meanwhile, also this host.
            found = self._table.find(key, monotonic())
            if found:
                return found
            timeout = min(2 * timeout, MAX_ASK_TIMEOUT, max(left, ASK_INTERVAL))
            pause, remote_delay = min(2 * pause, MAX_ASK_INTERVAL), 0.0

    async def _ask_reported(self, lookup: Lookup) -> Found | None:
        """Ask the hosts that are reported at the moment, and wait for none of them."""
        hosts = self._reported_hosts()
        remote = SINGLE_TIMEOUT + SINGLE_REMOTE_TIME - REMOTE_DELAY
        async with curio.TaskGroup(wait=object) as group:
            await group.spawn(self._ask_region, lookup, hosts, SINGLE_TIMEOUT)
            await group.spawn(
                self._ask_other_regions, lookup, hosts, remote, REMOTE_DELAY
            )
        return _result_of(group)

    async def _ask_others(
        self, lookup: Lookup, timeout: float, remote_delay: float
    ) -> Found | Unfound:
        hosts = self._known_hosts()
        async with curio.TaskGroup(wait=object) as group:
            await group.spawn(self._ask_region, lookup, hosts, timeout)
            await group.spawn(
                self._ask_other_regions, lookup, hosts, timeout, remote_delay
            )
        found = _result_of(group)
        if found is not None:
            return found
        return self._unfound(lookup, self._remote_left(lookup, self._known_hosts()))

    async def _ask_region(
        self, lookup: Lookup, known: list[EntryHost], timeout: float
    ) -> Found | None:
        hosts = self._local_left(lookup, known)
        async with curio.TaskGroup(wait=object) as group:
            for host in hosts:
                await group.spawn(self._ask_local, lookup, host, timeout)
        return _result_of(group)

    async def _ask_other_regions(
        self, lookup: Lookup, known: list[EntryHost], timeout: float, delay: float
    ) -> Found | None:
        await curio.sleep(delay)
        hosts = self._remote_left(lookup, known)
        async with curio.TaskGroup(wait=object) as group:
            for region, host in hosts:
                await group.spawn(self._ask_remote, lookup, region, host, timeout)
        return _result_of(group)

    async def _ask_local(
        self, lookup: Lookup, host: HostName, timeout: float
    ) -> Found | None:
        reply = await self._ask(lookup, host, OriginQuery(lookup.key), timeout)
        if reply is None:
            return None
        lookup.deny_host(host)
        return _origins_of(reply) or None

    async def _ask_remote(
        self, lookup: Lookup, region: RegionName, host: HostName, timeout: float
    ) -> Found | None:
        query = OriginQuery(lookup.key, relay=True)
        reply = await self._ask(lookup, host, query, timeout)
        if reply is None:
            return None
        if reply.complete:
            lookup.deny_region(region)
        return _origins_of(reply) or None

    async def _ask(
        self, lookup: Lookup, host: HostName, query: OriginQuery, timeout: float
    ) -> OriginReply | None:
        try:
            return await self._peers.call(host, Area.STREAM_ORIGINS, query, timeout)
        except PeerError:
            self._metrics.incr("origin.unanswered")
            lookup.fail(host)
            return None

    def _local_left(self, lookup: Lookup, known: list[EntryHost]) -> list[HostName]:
        hosts = local_hosts(known, self._region, self._name)
        return lookup.local_left(hosts)

    def _remote_left(
        self, lookup: Lookup, known: list[EntryHost]
    ) -> list[tuple[RegionName, HostName]]:
        by_region = remote_hosts(known, self._region)
        reported = {host.name for host in self._reported_hosts()}
        return lookup.remote_left(by_region, reported)

    def _unfound(
        self, lookup: Lookup, remote_left: list[tuple[RegionName, HostName]]
    ) -> Unfound:
        # A host that has heard of no host at all doesn't know whom to ask.
        known = self._known_hosts()
        if not known or remote_left or self._local_left(lookup, known):
            return Unfound.UNANSWERED
        return Unfound.UNKNOWN

    def _flush_after_turn(self) -> None:
        """Tell the keepers of a stream once the tasks that can run have run.

        A host that hasn't heard of its version takes the one that it knows for the only
        one, and doesn't wait for hosts that it can't reach or doesn't know.
        """
        if self._pending and self._wake_fd >= 0:
            os.eventfd_write(self._wake_fd, 1)

    def _flush_if_due(self) -> None:
        is_due = self._told_unreported and self._reported_keepers()
        if not is_due:
            is_due = self._pending and self._keepers_of(self._known_hosts())
        if is_due and self._notices.take(1.0, monotonic()):
            self._flush()

    def _flush(self) -> None:
        """Tell the keepers of the streams that have begun since the last time.

        While no host is reported, those known before are told, and once hosts are
        reported, they are told again. Without a keeper the streams stay pending.
        """
        reported = self._reported_keepers()
        hosts = reported or self._keepers_of(self._known_hosts())
        if not hosts:
            self._pending = self._pending[-MAX_ORIGINS:]
            return
        if reported:
            self._pending = self._told_unreported + self._pending
            self._told_unreported = []
        else:
            self._told_unreported += self._pending
            self._told_unreported = self._told_unreported[-MAX_ORIGINS:]
        by_service: dict[str, list[BegunStream]] = defaultdict(list)
        for key, origin in self._pending:
            stream = BegunStream(key, origin.software_version)
            by_service[origin.service].append(stream)
        self._pending = []
        for host in hosts:
            for service, streams in by_service.items():
                self._tell(host, service, streams)

    def _reported_keepers(self) -> list[HostName]:
        return self._keepers_of(self._reported_hosts())

    def _keepers_of(self, hosts: list[EntryHost]) -> list[HostName]:
        return keepers(hosts, self._region, self._name)

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
                found: Found | Unfound = self._table.find(key, now)
                if not found and relay:
                    found = await self._relayed.result(key)
                if isinstance(found, Unfound):
                    return OriginReply([], found is Unfound.UNKNOWN)
                origins = [KnownOrigin(o.service, o.software_version) for o in found]
                return OriginReply(origins, True)
        return None

    async def _search_region(self, lookup: Lookup) -> Found | Unfound:
        """Ask the hosts of the own region on behalf of another one."""
        hosts = self._known_hosts()
        found = await self._ask_region(lookup, hosts, RELAYED_TIMEOUT)
        return self._unfound(lookup, []) if found is None else found

    def _known_hosts(self) -> list[EntryHost]:
        """Return the hosts that may keep an origin, reported at the moment or not."""
        self._known.update(self._reported_hosts(), monotonic())
        return self._known.all()

    def _reported_hosts(self) -> list[EntryHost]:
        return self._registry.entries(HOST_EXPIRY)


def _origins_of(reply: OriginReply) -> Found:
    return tuple(StreamOrigin(o.service, o.software_version) for o in reply.origins)


def _only(found: Found) -> StreamOrigin:
    if len(found) > 1:
        raise AmbiguousOrigin
    return found[0]


def _result_of(group: curio.TaskGroup) -> Found | None:
    """Return the first result of a group that isn't None; None if there is none."""
    return group.completed.result if group.completed is not None else None
