"""The look-up of everything known about one request, from any host."""

from dataclasses import dataclass, field
from datetime import UTC, datetime

import curio

from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_node.decisions._backups import STATE_DEAD, HostsView, backup_order
from bronzepoint_node.decisions._copies import BACKUPS_TRIED
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
"""Forwards followed for one request: more than a request is ever forwarded."""


@dataclass(frozen=True)
class _Place:
    """A host that made a part of the decision, and where its backups are."""

    host: HostName
    region: RegionName


@dataclass
class _Reply:
    """What one asked host said; found is None where it did not answer."""

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
    """The search for the records that one host made."""

    records: dict[HostName, DecisionRecord] = field(default_factory=dict)
    replies: list[_Reply] = field(default_factory=list)

    @property
    def answered(self) -> bool:
        return any(reply.found is not None for reply in self.replies)

    def describe(self) -> str:
        """Say who was asked and what came back."""
        return "; ".join(str(reply) for reply in self.replies) or "no host is known"


class Lookup:
    """Finds records by asking the few hosts that may hold them, never all.

    Args:
        host: This host.
        store: What this host holds itself.
        peers: Links to the other hosts.
        hosts: The membership.
        metrics: Counts what was asked.
        timeout: Seconds to wait for one host.
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
        """Return the records of a request and name the parts that are missing.

        Raises:
            BadRequestId: Not an identifier.
            RecordNotFound: The hosts that may hold it answered, and have none.
            RecordUnreachable: None of them answered.
        """
        parts = parse_request_id(request_id)
        origin = _Place(parts.host, parts.region)
        answer = WhyAnswer(request_id=request_id, records=[])
        search = await self._search(request_id, origin, parts.slot)
        if not search.records:
            raise self._nothing_found(request_id, search)
        if origin.host not in search.records:
            answer.missing.append(_missing(origin, search))
        answer.records += search.records.values()
        await self._follow_forwards(answer, parts)
        return answer

    async def _follow_forwards(self, answer: WhyAnswer, parts: RequestIdParts) -> None:
        """Add the records of the hosts that the request was forwarded to."""
        seen = {parts.host, *(record.host for record in answer.records)}
        waiting = _forwards(answer.records, seen)
        while waiting and len(seen) <= MAX_FORWARDS:
            place = waiting.pop(0)
            seen.add(place.host)
            search = await self._search(answer.request_id, place, parts.slot)
            record = search.records.get(place.host)
            if record is None:
                answer.missing.append(_missing(place, search))
                continue
            answer.records.append(record)
            waiting += _forwards([record], seen)

    def _nothing_found(
        self, request_id: RequestId, search: _Search
    ) -> RecordNotFound | RecordUnreachable:
        if search.answered:
            self._metrics.incr("decisions.not_found")
            return RecordNotFound(request_id, search.describe())
        self._metrics.incr("decisions.unreachable")
        return RecordUnreachable(request_id, search.describe())

    async def _search(self, request_id: RequestId, place: _Place, slot: int) -> _Search:
        """Ask the host itself, then its backups if it has not got the record.

        Where the host is known as dead all are asked at once: waiting for it first
        would only delay the answer, and not asking it would miss a host that is back.
        """
        search = _Search()
        hosts = self._hosts.hosts(place.region)
        backups = [
            host.name
            for host in backup_order(hosts, place.host, slot)
            if host.state != STATE_DEAD
        ][:BACKUPS_TRIED]
        known = self._hosts.host(place.host)
        if known is None or known.state == STATE_DEAD:
            await self._ask_all([place.host, *backups], request_id, search)
            return search
        await self._ask_all([place.host], request_id, search)
        if place.host not in search.records:
            await self._ask_all(backups, request_id, search)
        return search

    async def _ask_all(
        self, hosts: list[HostName], request_id: RequestId, search: _Search
    ) -> None:
        """Ask hosts at once, so that several silent ones cost one timeout."""
        async with curio.TaskGroup() as group:
            for host in hosts:
                await group.spawn(self._ask, host, request_id)
        search.replies += group.results
        for reply in group.results:
            if reply.found is None:
                continue
            for packed in reply.found.records:
                _keep_newest(search.records, unpack_record(packed), request_id)

    async def _ask(self, host: HostName, request_id: RequestId) -> _Reply:
        self._metrics.incr("decisions.asked")
        question = FindRecords(request_id=request_id)
        if host == self._host:
            return _Reply(host, answer_question(question, self._store))
        try:
            found = await self._peers.call(
                host, Area.DECISIONS, question, self._timeout
            )
        except PeerError as exc:
            return _Reply(host, None, str(exc))
        return _Reply(host, found)


def answer_question(question: FindRecords, store: RecordStore) -> FoundRecords:
    """Return what a host holds under an id, and since when it holds everything."""
    recorder = parse_request_id(question.request_id).host
    return FoundRecords(
        records=store.find(question.request_id),
        kept_since=store.kept_since(recorder),
    )


def _keep_newest(
    records: dict[HostName, DecisionRecord],
    record: DecisionRecord,
    request_id: RequestId,
) -> None:
    """Keep the newest record of each host.

    A host records a forwarded request twice, before the forward and at its end; the
    copy of the first must not hide the second.
    """
    if record.request_id != request_id:
        return
    known = records.get(record.host)
    if known is None or record.outcome is not Outcome.in_progress:
        records[record.host] = record


def _forwards(records: list[DecisionRecord], seen: set[HostName]) -> list[_Place]:
    """Return where requests were forwarded to: tries at hosts of other regions."""
    places = []
    for record in records:
        for attempt in record.tries:
            place = _Place(HostName(attempt.target), attempt.region)
            known = place.host in seen or place in places
            if attempt.region != record.region and not known:
                places.append(place)
    return places


def _missing(place: _Place, search: _Search) -> MissingPart:
    remedy = "ask again once the region can be reached"
    if search.answered:
        remedy = "look in the log of that host; its record is gone"
    return MissingPart(
        host=place.host,
        region=place.region,
        reason=search.describe(),
        remedy=remedy,
    )
