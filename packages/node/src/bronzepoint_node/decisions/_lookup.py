"""Lookup of all decision records of a request, from any host."""

from dataclasses import dataclass, field
from datetime import UTC, datetime

import curio

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_node.decisions._backups import STATE_DEAD, HostsView, backup_order
from bronzepoint_node.decisions._copy_sender import MAX_BACKUPS
from bronzepoint_node.decisions._errors import RecordNotFound, RecordUnreachable
from bronzepoint_node.decisions._packed import unpack_record
from bronzepoint_node.decisions._request_id import RequestIdParts, parse_request_id
from bronzepoint_node.decisions._store import RecordStore
from bronzepoint_schema.generated.decision_records import FindRecords, FoundRecords
from bronzepoint_schema.generated.decisions import (
    DecisionRecord,
    MissingPart,
    Outcome,
    WhyAnswer,
)
from bronzepoint_schema.ids import HostName, RegionName, RequestId

MAX_FORWARDS = 4
"""Forwards that are followed for one request; a request is never forwarded as often."""


@dataclass(frozen=True)
class _RecordingHost:
    """A host that recorded part of the decision, and the region of its backups."""

    host: HostName
    region: RegionName


@dataclass
class _Reply:
    """The reply of one host; found is None if it did not answer."""

    host: HostName
    found: FoundRecords | None
    error: str = ""

    def __str__(self) -> str:
        if self.found is None:
            return f"{self.host} did not answer ({self.error})"
        since = datetime.fromtimestamp(self.found.kept_since, UTC)
        return f"{self.host} has none and keeps records since {since:%H:%M:%SZ}"


@dataclass
class _Search:
    """Result of the search for the records made by one host."""

    records: dict[HostName, DecisionRecord] = field(default_factory=dict)
    replies: list[_Reply] = field(default_factory=list)

    @property
    def answered(self) -> bool:
        return any(reply.found is not None for reply in self.replies)

    def describe(self) -> str:
        """Return the hosts that were queried and their replies, as text."""
        return "; ".join(str(reply) for reply in self.replies) or "no host is known"


class Lookup:
    """Finds records by querying only the few hosts that may hold them.

    Args:
        host: This host.
        store: The records and copies on this host.
        peers: Links to the other hosts.
        hosts: The membership.
        metrics: Counters of this process.
        timeout: Seconds to wait for the reply of one host.
    """

    def __init__(
        self,
        host: HostName,
        store: RecordStore,
        peers: Peers,
        hosts: HostsView,
        metrics: Metrics,
        timeout: float,
    ) -> None:
        self._host = host
        self._store = store
        self._peers = peers
        self._hosts = hosts
        self._metrics = metrics
        self._timeout = timeout

    async def why(self, request_id: RequestId) -> WhyAnswer:
        """Return the records of a request and the parts that are missing.

        Raises:
            BadRequestId: The text is not a valid identifier.
            RecordNotFound: The hosts that may hold the record answered, and none has
                it.
            RecordUnreachable: None of these hosts answered.
        """
        parts = parse_request_id(request_id)
        origin = _RecordingHost(parts.host, parts.region)
        answer = WhyAnswer(request_id=request_id, records=[])
        search = await self._search(request_id, origin, parts.slot)
        if not search.records:
            raise self._lookup_error(request_id, search)
        if origin.host not in search.records:
            answer.missing.append(_missing_part(origin, search))
        answer.records += search.records.values()
        await self._follow_forwards(answer, parts)
        return answer

    async def _follow_forwards(self, answer: WhyAnswer, parts: RequestIdParts) -> None:
        """Add the records of the hosts that the request was forwarded to."""
        seen = {parts.host, *(record.host for record in answer.records)}
        pending = _forwarded_to(answer.records, seen)
        while pending and len(seen) <= MAX_FORWARDS:
            recording_host = pending.pop(0)
            seen.add(recording_host.host)
            search = await self._search(answer.request_id, recording_host, parts.slot)
            record = search.records.get(recording_host.host)
            if record is None:
                answer.missing.append(_missing_part(recording_host, search))
                continue
            answer.records.append(record)
            pending += _forwarded_to([record], seen)

    def _lookup_error(
        self, request_id: RequestId, search: _Search
    ) -> RecordNotFound | RecordUnreachable:
        if search.answered:
            self._metrics.incr("decisions.not_found")
            return RecordNotFound(request_id, search.describe())
        self._metrics.incr("decisions.unreachable")
        return RecordUnreachable(request_id, search.describe())

    async def _search(
        self, request_id: RequestId, recording_host: _RecordingHost, slot: int
    ) -> _Search:
        """Query the host that made the record, then its backups if it has none.

        A host that is considered dead is queried together with its backups. Waiting
        for it first would only delay the answer, and skipping it would miss a host
        that has just come back.
        """
        search = _Search()
        hosts = self._hosts.hosts(recording_host.region)
        backups = [
            host.name
            for host in backup_order(hosts, recording_host.host, slot)
            if host.state != STATE_DEAD
        ][:MAX_BACKUPS]
        info = self._hosts.host(recording_host.host)
        if info is None or info.state == STATE_DEAD:
            await self._query_all([recording_host.host, *backups], request_id, search)
            return search
        await self._query_all([recording_host.host], request_id, search)
        if recording_host.host not in search.records:
            await self._query_all(backups, request_id, search)
        return search

    async def _query_all(
        self, hosts: list[HostName], request_id: RequestId, search: _Search
    ) -> None:
        """Query hosts concurrently, so that unresponsive ones cost only one timeout."""
        async with curio.TaskGroup() as group:
            for host in hosts:
                await group.spawn(self._query, host, request_id)
        search.replies += group.results
        for reply in group.results:
            if reply.found is None:
                continue
            for packed in reply.found.records:
                _keep_newest(search.records, unpack_record(packed), request_id)

    async def _query(self, host: HostName, request_id: RequestId) -> _Reply:
        self._metrics.incr("decisions.asked")
        query = FindRecords(request_id=request_id)
        if host == self._host:
            return _Reply(host, answer_query(query, self._store))
        try:
            found = await self._peers.call(host, Area.DECISIONS, query, self._timeout)
        except PeerError as exc:
            return _Reply(host, None, str(exc))
        return _Reply(host, found)


def answer_query(query: FindRecords, store: RecordStore) -> FoundRecords:
    """Return the records for an id, and the time since which the store is complete."""
    recorder = parse_request_id(query.request_id).host
    return FoundRecords(
        records=store.find(query.request_id),
        kept_since=store.kept_since(recorder),
    )


def _keep_newest(
    records: dict[HostName, DecisionRecord],
    record: DecisionRecord,
    request_id: RequestId,
) -> None:
    """Keep the newest record of each host.

    A host records a forwarded request twice: before the forward and when it ends. The
    copy of the first record must not replace the second one.
    """
    if record.request_id != request_id:
        return
    known = records.get(record.host)
    if known is None or record.outcome is not Outcome.in_progress:
        records[record.host] = record


def _forwarded_to(
    records: list[DecisionRecord], seen: set[HostName]
) -> list[_RecordingHost]:
    """Return the hosts of other regions that the requests were forwarded to."""
    recording_hosts = []
    for record in records:
        for attempt in record.tries:
            recording_host = _RecordingHost(HostName(attempt.target), attempt.region)
            is_known = recording_host.host in seen or recording_host in recording_hosts
            if attempt.region != record.region and not is_known:
                recording_hosts.append(recording_host)
    return recording_hosts


def _missing_part(recording_host: _RecordingHost, search: _Search) -> MissingPart:
    remedy = "ask again once the region can be reached"
    if search.answered:
        remedy = "look in the log of that host; its record is lost"
    return MissingPart(
        host=recording_host.host,
        region=recording_host.region,
        reason=search.describe(),
        remedy=remedy,
    )
