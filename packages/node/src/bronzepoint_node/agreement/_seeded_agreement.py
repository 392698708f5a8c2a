"""Agreement on one document in a cluster that is formed from seed hosts."""

import random
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import curio
import uuid_utils

from bronzepoint_common.background import keep_running
from bronzepoint_common.call_pacing import AdaptiveTimeout
from bronzepoint_common.clock import monotonic
from bronzepoint_common.documents import (
    DeltaMismatch,
    DocumentHistory,
    UnknownBase,
)
from bronzepoint_common.logs import get_logger
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_common.storage import SnapshotFile
from bronzepoint_schema.generated.agreement import (
    AgreementMessage,
    Change,
    CloseDataCenter,
    Delta,
    GenesisRequest,
    IdentityReply,
    IdentityRequest,
    JoinReply,
    JoinRequest,
    PatchDocument,
    ProposeReply,
    ReadReply,
    ReadRequest,
    ReplaceDocument,
    ViewSnapshot,
)
from bronzepoint_schema.generated.documents import DocumentDelta
from bronzepoint_schema.generated.settings import AgreementSection
from bronzepoint_schema.ids import (
    ChangeId,
    ClusterId,
    DataCenterName,
    HostName,
    OperatorName,
    RegionName,
    Revision,
)

from ._documents import compress_document
from ._errors import Conflict, InitialiseRefused, NotLeader, Overtaken
from ._initialisation import initialise_cluster
from ._proposer import Proposer
from ._voter import Voter
from ._voter_calls import answer_voter_call

_QUERY_TIMEOUT = 0.6
"""Seconds to wait for one host's answer: three of the longest round trips."""
_MAX_QUERY_TIMEOUT = 4.0
"""Maximum seconds to wait for a host whose answers have come late."""
_FORM_INTERVAL = 0.2
"""Seconds between two attempts to form the cluster.

Hosts start within some tenths of a second of each other.
"""
_READ_INTERVAL = 0.1
"""Seconds between two attempts to read the newest document from the leader."""
_APPLIED_INTERVAL = 0.02
"""Seconds between two looks whether a position of the log is applied on this host."""
_JOIN_INTERVAL = 0.5
"""Seconds between two requests to join while no leader replicates to this host."""
OPERATOR_PATIENCE = 0.8
"""Seconds for which no order of the same operator can have overtaken this one, as
operators wait for an answer for a second before they ask another host."""
_FIRST_START = "first-start"
"""Name of a snapshot file that marks a folder as empty at the system's first start."""

Admit = Callable[[], Awaitable[None]]
"""Returns while an operator waits for an order, else raises."""

_log = get_logger("agreement")


class SeededAgreement:
    """Replicates the catalogue document and closed data centers among hosts with disks.

    The seeds of the first start are the initial voters. Any other host with a disk
    requests to join, receives the log as a learner, and becomes a voter when one is
    missing or lost; see `select_voters`. A host whose disk was lost never forms a
    cluster: only a folder that was empty at the first start of the whole system does.

    Args:
        name: This host.
        region: Its region.
        folder: Its data folder.
        seeds: Hosts to contact first.
        first_start: Whether the whole system starts for the first time.
        section: Intervals and timeouts.
        peers: Links to the other hosts.
        metrics: Counters.
        live_core_hosts: Returns the core hosts that were heard lately, some of which
            may be neither voters nor seeds.
    """

    def __init__(
        self,
        name: HostName,
        region: RegionName,
        folder: Path,
        seeds: list[HostName],
        first_start: bool,
        section: AgreementSection,
        peers: Peers,
        metrics: Metrics,
        live_core_hosts: Callable[[], list[HostName]] = list,
    ) -> None:
        self._name = name
        self._region = region
        self._folder = folder
        self._seeds = seeds
        self._live_core_hosts = live_core_hosts
        self._first_start = first_start
        self._peers = peers
        self._voter = Voter(
            name,
            folder,
            seeds,
            section,
            peers,
            _NoItemCatalogue(),
            metrics,
            self._deliver,
            region,
        )
        self._proposer = Proposer(name, list(seeds), self._voter, peers, metrics)
        self._election_timeout = section.election_timeout
        self._timeouts: dict[HostName, AdaptiveTimeout] = {}
        self._join_attempts = 0
        self._asks_live_host = False
        self._tasks = curio.TaskGroup()
        peers.register(Area.AGREEMENT, AgreementMessage, self._handle)

    async def start(self) -> None:
        """Read the data folder, then form a cluster, join one or rejoin it.

        Raises:
            StorageError: The folder is damaged or used by another process.
        """
        marker = SnapshotFile(self._folder, _FIRST_START)
        if self._first_start and not self._voter.log.exists():
            await curio.run_in_thread(marker.save, b"")
        may_form = await curio.run_in_thread(marker.load) is not None
        await self._voter.start()
        identity = self._voter.log.identity
        _log.info(
            "storage opened",
            storage=identity.storage,
            cluster=identity.cluster,
            first_start=may_form,
            last_index=self._voter.log.last_index,
        )
        if may_form and not self._voter.log.identity.cluster:
            await self._tasks.spawn(keep_running, self._form_cluster)
        await self._tasks.spawn(keep_running, self._keep_joined)

    async def close(self) -> None:
        """Stop this host's voter and its tasks."""
        await self._tasks.cancel_remaining()
        await self._voter.close()

    @property
    def document(self) -> ReplaceDocument | None:
        """Newest document on this host; another host may hold a newer one."""
        return self._voter.state_machine.document

    @property
    def documents(self) -> DocumentHistory:
        """The newest document on this host and its recent changes."""
        return self._voter.state_machine.documents

    @property
    def closed(self) -> frozenset[DataCenterName]:
        """Data centers whose targets receive no requests, as known to this host."""
        return self._voter.state_machine.closed

    @property
    def revision(self) -> int:
        """Number of accepted changes known to this host."""
        return self._voter.state_machine.revision

    @property
    def failure(self) -> str:
        """Why this host's voter has stopped; empty while it runs."""
        return self._voter.failure

    def known_hosts(self) -> set[HostName]:
        """Return the voters known to this host, the seeds and the live core hosts."""
        voters = {voter.host for voter in self._voter.known_voters()}
        return {*voters, *self._seeds, *self._live_core_hosts()}

    def leader(self) -> HostName:
        """Return the leader known to this host; empty if none is known."""
        return self._voter.leader or self._proposer.leader

    def confirmed_age(self) -> float | None:
        """Return the seconds since a leader last confirmed this host's state.

        After a restart a voter doesn't know which entries of its log were committed,
        so its document may be outdated. Each leader starts its term with an entry of
        its own: once that is applied, so are all entries committed before.

        Returns:
            None if no leader has confirmed the state since the start.
        """
        if self._voter.lease() is not None:
            return 0.0
        confirmed_at = self._voter.confirmed_at
        if not self._voter.leader or not self._voter.has_applied_term():
            return None
        return None if confirmed_at is None else monotonic() - confirmed_at

    async def replace_document(
        self, version: int, content: bytes, timeout: float
    ) -> None:
        """Propose a document and return once it, or a higher version, is accepted.

        Raises:
            NotLeader: No leader was found; the document was not accepted.
            NoQuorum: The outcome is unknown; sending it again is harmless.
        """
        if version <= self.documents.version:
            # The applied version is committed, so an older or equal one has no effect.
            # Returning here spares the leader resends of large documents.
            return
        await self._propose(compress_document(version, content), timeout)

    async def close_data_center(
        self,
        data_center: DataCenterName,
        closed: bool,
        timeout: float,
        admit: Admit,
    ) -> None:
        """Close a data center's targets to new requests, or open them again.

        The order applies only to the state that this host knew while the operator
        still waited for it. An operator who gives up sends the next order through
        another host, and this one may be delivered after that: by this host once it
        resumes, or by the network.

        Args:
            data_center: The data center.
            closed: False to open it again.
            timeout: Seconds until the outcome counts as unknown.
            admit: Returns while the operator waits for this order, else raises.

        Raises:
            Overtaken: Another order was accepted since; this one has no effect.
            NotLeader: No leader was found; the change was not accepted.
            NoQuorum: The outcome is unknown; sending it again is harmless.
        """
        began = monotonic()
        known_index = self._voter.state_machine.index
        while True:
            await admit()
            op = CloseDataCenter(data_center, closed, known_index)
            try:
                await self._propose(op, began + timeout - monotonic())
                return
            except Conflict as exc:
                known_index = await self._wait_until_applied(exc, began)

    async def _wait_until_applied(self, conflict: Conflict, began: float) -> int:
        """Return the position applied here once it includes the order in conflict.

        That order may not be committed yet. If its leader is lost, others may get its
        position or lower ones, and would seem to be known to this order.

        Raises:
            Overtaken: The operator may have turned to another host by then.
        """
        while monotonic() - began <= OPERATOR_PATIENCE:
            if self._voter.state_machine.index >= conflict.version:
                return self._voter.state_machine.index
            await curio.sleep(_APPLIED_INTERVAL)
        raise Overtaken from conflict

    async def read_newest(self, timeout: float) -> ReplaceDocument | None:
        """Return the document that was the newest one at some time during this call.

        Raises:
            NotLeader: No host proved in time that it holds the leader lease.
        """
        async with curio.ignore_after(timeout):
            while True:
                held = DocumentHistory(self.documents.version, self.documents.content)
                reply = await self._read_from(self.leader() or self._name, held.version)
                if reply is not None and reply.confirmed:
                    if _apply_deltas(held, reply.deltas):
                        return _as_document(held)
                elif reply is not None and reply.leader:
                    self._proposer.leader = reply.leader
                await curio.sleep(_READ_INTERVAL)
        raise NotLeader()

    async def _read_from(self, host: HostName, held: int) -> ReadReply | None:
        if host == self._name:
            return self._read(held)
        try:
            return await self._call(host, ReadRequest(held))
        except PeerError:
            self._proposer.leader = HostName("")
            return None

    def _read(self, held: int) -> ReadReply:
        documents, deltas = self.documents, []
        if self._voter.lease() is not None:
            deltas = documents.since(held)
            if deltas is None:
                deltas = [documents.whole()]
        # The lease is checked after reading the document: another leader can accept a
        # newer one only after this lease has expired.
        confirmed = self._voter.lease() is not None
        return ReadReply(confirmed, self._voter.leader, documents.version, deltas)

    async def _propose(
        self, op: PatchDocument | CloseDataCenter, timeout: float
    ) -> None:
        change = Change(
            change_id=ChangeId(str(uuid_utils.uuid7())),
            operator=OperatorName(""),
            version=1,
            op=op,
        )
        self._proposer.voters = sorted(self.known_hosts())
        self._proposer.leader = self.leader()
        await self._proposer.propose(change, timeout)

    async def _form_cluster(self) -> None:
        """Initialise the cluster with the seeds once all of them have answered."""
        reason = ""
        while not self._voter.log.identity.cluster:
            if self._name in self._seeds:
                try:
                    cluster = await initialise_cluster(self._seeds, self._query)
                    _log.info("cluster formed", cluster=cluster, voters=self._seeds)
                except InitialiseRefused as exc:
                    if str(exc) != reason:
                        reason = str(exc)
                        _log.info("cluster not formed yet", reason=reason)
            await curio.sleep(_FORM_INTERVAL)

    async def _keep_joined(self) -> None:
        """Send join requests while no leader replicates to this host."""
        while True:
            await curio.sleep(_JOIN_INTERVAL)
            if self._receives_replication():
                continue
            join_host = self._next_join_host()
            reply = await self._request_join(join_host)
            if reply is not None and reply.leader not in ("", join_host):
                await self._request_join(reply.leader)

    def _receives_replication(self) -> bool:
        """Return whether this host leads or is a voter with recent leader contact."""
        if self._voter.is_leader:
            return True
        return self._voter.may_vote() and self._has_recent_contact()

    def _has_recent_contact(self) -> bool:
        return monotonic() - self._voter.last_contact_at <= 2 * self._election_timeout

    def _next_join_host(self) -> HostName:
        # A learner still knows the name of a leader that was lost, and the next leader
        # doesn't know the learner. If it contacted only the lost leader, it would
        # never catch up, and neither would the entry hosts that query it.
        if self._voter.leader and self._has_recent_contact():
            return self._voter.leader
        live = sorted(set(self._live_core_hosts()) - {self._name})
        self._asks_live_host = bool(live) and not self._asks_live_host
        if self._asks_live_host:
            return random.choice(live)
        hosts = sorted(self.known_hosts() - {self._name})
        self._join_attempts += 1
        return hosts[self._join_attempts % len(hosts)] if hosts else self._name

    async def _request_join(self, host: HostName) -> JoinReply | None:
        """Send a join request; a leader that receives it replicates to this host."""
        if host == self._name:
            return None
        request = JoinRequest(self._voter.log.identity.storage, self._region)
        try:
            return await self._call(host, request)
        except PeerError as exc:
            _log.debug("join request failed", asked=host, reason=str(exc))
            return None

    async def _query(
        self, host: HostName, request: IdentityRequest | GenesisRequest
    ) -> IdentityReply | None:
        if host == self._name:
            return await self._handle(host, request)
        try:
            return await self._call(host, request)
        except PeerError:
            return None

    async def _call(self, host: HostName, request: AgreementMessage) -> Any:
        """Send a request and return the reply; wait longer for a host that is slow.

        Raises:
            PeerError: There was no reply in time.
        """
        timeout = self._timeouts.setdefault(
            host, AdaptiveTimeout(_QUERY_TIMEOUT, _MAX_QUERY_TIMEOUT)
        )
        began = monotonic()
        reply = await self._peers.call(
            host,
            Area.AGREEMENT,
            request,
            timeout.seconds,
            lambda late: timeout.record_late(monotonic() - began),
        )
        timeout.record_prompt(monotonic() - began)
        return reply

    async def _handle(
        self, peer: HostName, message: AgreementMessage
    ) -> AgreementMessage | None:
        match message:
            case ProposeReply():
                await self._proposer.on_reply(peer, message)
                return None
            case ReadRequest(document_version=held):
                return self._read(held)
            case JoinRequest(storage=storage, region=region):
                await self._voter.add_learner(peer, storage, region)
                return JoinReply(self._voter.leader, self._voter.known_voters())
        return await answer_voter_call(self._voter, self._peers, peer, message)

    async def _deliver(self, host: HostName, reply: ProposeReply) -> None:
        await self._proposer.deliver(host, reply)


class _NoItemCatalogue:
    """Stub for the item catalogue: the document is read from the state machine."""

    def __init__(self) -> None:
        self.held = Revision(0)

    async def advance(self, cluster: ClusterId, deltas: list[Delta]) -> bool:
        return False

    async def replace(self, view: ViewSnapshot) -> None:
        self.held = view.revision


def _apply_deltas(held: DocumentHistory, deltas: list[DocumentDelta]) -> bool:
    """Apply deltas from another host; return False if they must be requested again."""
    try:
        for delta in deltas:
            held.take(delta)
    except (DeltaMismatch, UnknownBase) as exc:
        _log.error("document not read", reason=str(exc))
        return False
    return True


def _as_document(held: DocumentHistory) -> ReplaceDocument | None:
    return ReplaceDocument(held.version, held.content) if held.version >= 0 else None
