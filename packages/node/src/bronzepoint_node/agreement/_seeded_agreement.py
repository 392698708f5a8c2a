"""The agreement of a cluster that forms itself from seeds and keeps one document."""

from pathlib import Path

import curio
import uuid_utils

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

from ._documents import pack_document
from ._errors import InitialiseRefused, NotLeader
from ._genesis import begin_cluster
from ._proposer import Proposer
from ._voter import Voter
from ._voter_calls import answer_voter_call

_ASK_TIMEOUT = 0.6
"""Seconds to wait for one host: three of the longest trips there and back."""
_FORM_INTERVAL = 0.2
"""Seconds between two attempts to form; hosts start within some tenths of a second."""
_READ_INTERVAL = 0.1
"""Seconds between two questions who leads, for a read of the newest document."""
_JOIN_INTERVAL = 0.5
"""Seconds between two requests to be followed up by the leader."""
_FIRST_START = "first-start"
"""Snapshot that says that this folder was empty when the whole system started."""

_log = get_logger("agreement")


class SeededAgreement:
    """One catalogue document and closed data centers, agreed by hosts with disks.

    The seeds of the first start are the first voters. Any further host with a disk
    asks to join, is brought up to date, and votes where a seat is free or its holder
    is gone; see `choose_voters`. A disk that was lost never forms a cluster: only a
    folder that was empty when the whole system started for the first time does.

    Args:
        name: This host.
        region: Its region.
        folder: Its data folder.
        seeds: Hosts to ask first.
        first_start: True where the whole system starts for the first time.
        section: Times.
        peers: Links to the other hosts.
        metrics: Counters.
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
    ) -> None:
        self._name = name
        self._region = region
        self._folder = folder
        self._seeds = seeds
        self._first_start = first_start
        self._peers = peers
        self._voter = Voter(
            name,
            folder,
            seeds,
            section,
            peers,
            _NoFollowers(),
            metrics,
            self._deliver,
            region,
        )
        self._proposer = Proposer(name, list(seeds), self._voter, peers, metrics)
        self._silence = section.election_timeout
        self._turn = 0
        self._tasks = curio.TaskGroup()
        peers.register(Area.AGREEMENT, AgreementMessage, self._handle)

    async def start(self) -> None:
        """Read the data folder, then form, join or go on.

        Raises:
            StorageError: The folder is damaged, or another process holds it.
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
            await self._tasks.spawn(self._form)
        await self._tasks.spawn(self._keep_joined)

    async def close(self) -> None:
        """Stop taking part."""
        await self._tasks.cancel_remaining()
        await self._voter.close()

    @property
    def document(self) -> ReplaceDocument | None:
        """Newest document known here; another host may hold a newer one."""
        return self._voter.machine.document

    @property
    def documents(self) -> DocumentHistory:
        """That document and what led to it."""
        return self._voter.machine.documents

    @property
    def closed(self) -> frozenset[DataCenterName]:
        """Data centers whose targets get nothing, as known here."""
        return self._voter.machine.closed

    @property
    def revision(self) -> int:
        """Accepted changes known here."""
        return self._voter.machine.revision

    @property
    def failure(self) -> str:
        """Why this host stopped taking part; empty: it hasn't."""
        return self._voter.failure

    def known_hosts(self) -> set[HostName]:
        """Return the hosts that vote, as known here, and the seeds."""
        return {v.host for v in self._voter.known_voters()} | set(self._seeds)

    def leader(self) -> HostName:
        """Return the leader known here; empty: none."""
        return self._voter.leader or self._proposer.leader

    def confirmed_age(self) -> float | None:
        """Return seconds since a leader confirmed what is known here; None: it hasn't.

        After a restart a voter holds entries of which it can't tell whether they were
        agreed, so its document may be an old one. Each leader begins its term with an
        entry of its own: once that is applied here, so is all that was agreed before.
        """
        if self._voter.lease() is not None:
            return 0.0
        if not self._voter.leader or not self._voter.has_applied_term():
            return None
        return monotonic() - self._voter.heard_at

    async def replace_document(
        self, version: int, content: bytes, timeout: float
    ) -> None:
        """Propose a document and return once it, or a higher one, is accepted.

        Raises:
            NotLeader: No leader was found; it was not taken.
            NoQuorum: The outcome is unknown; sending it again is harmless.
        """
        if version <= self.documents.version:
            # What is applied here was agreed, so an overtaken one changes nothing. The
            # operators' resends of large documents don't trouble the leader.
            return
        await self._propose(pack_document(version, content), timeout)

    async def close_data_center(
        self, data_center: DataCenterName, closed: bool, timeout: float
    ) -> None:
        """Close a data center's targets to new work, or open it again.

        Raises:
            NotLeader: No leader was found; it was not taken.
            NoQuorum: The outcome is unknown; sending it again is harmless.
        """
        await self._propose(CloseDataCenter(data_center, closed), timeout)

    async def read_newest(self, timeout: float) -> ReplaceDocument | None:
        """Return the document that was the newest at some moment of this call.

        Raises:
            NotLeader: No host could prove in time that it leads.
        """
        async with curio.ignore_after(timeout):
            while True:
                held = DocumentHistory(self.documents.version, self.documents.content)
                reply = await self._read_from(self.leader() or self._name, held.version)
                if reply is not None and reply.confirmed:
                    if _bring_up_to_date(held, reply.deltas):
                        return _as_document(held)
                elif reply is not None and reply.leader:
                    self._proposer.leader = reply.leader
                await curio.sleep(_READ_INTERVAL)
        raise NotLeader()

    async def _read_from(self, host: HostName, held: int) -> ReadReply | None:
        if host == self._name:
            return self._read(held)
        try:
            return await self._peers.call(
                host, Area.AGREEMENT, ReadRequest(held), _ASK_TIMEOUT
            )
        except PeerError:
            self._proposer.leader = HostName("")
            return None

    def _read(self, held: int) -> ReadReply:
        documents, deltas = self.documents, []
        if self._voter.lease() is not None:
            deltas = documents.since(held)
            if deltas is None:
                deltas = [documents.whole()]
        # The lease is looked at after the document: a newer one could be accepted by
        # another leader only once this lease is over.
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

    async def _form(self) -> None:
        """Begin the cluster with the seeds, once all of them have answered."""
        reason = ""
        while not self._voter.log.identity.cluster:
            if self._name in self._seeds:
                try:
                    cluster = await begin_cluster(self._seeds, self._ask)
                    _log.info("cluster formed", cluster=cluster, voters=self._seeds)
                except InitialiseRefused as exc:
                    if str(exc) != reason:
                        reason = str(exc)
                        _log.info("not formed yet", reason=reason)
            await curio.sleep(_FORM_INTERVAL)

    async def _keep_joined(self) -> None:
        """Ask to be followed up while no leader does."""
        while True:
            await curio.sleep(_JOIN_INTERVAL)
            if self._is_followed_up():
                continue
            asked = self._next_to_ask()
            reply = await self._ask_to_join(asked)
            if reply is not None and reply.leader not in ("", asked):
                await self._ask_to_join(reply.leader)

    def _is_followed_up(self) -> bool:
        """Tell whether a leader counts on this host, or it leads itself."""
        if self._voter.is_leader:
            return True
        return self._voter.may_vote() and self._hears_leader()

    def _hears_leader(self) -> bool:
        return monotonic() - self._voter.heard_at <= 2 * self._silence

    def _next_to_ask(self) -> HostName:
        # A host without a vote keeps the name of a leader that is gone, and the next
        # leader doesn't know of it. Asking only the former one, it would stay behind
        # for good, and with it the entry hosts that ask it.
        if self._voter.leader and self._hears_leader():
            return self._voter.leader
        hosts = sorted(self.known_hosts() - {self._name})
        self._turn += 1
        return hosts[self._turn % len(hosts)] if hosts else self._name

    async def _ask_to_join(self, host: HostName) -> JoinReply | None:
        """Ask one host; the leader among them follows this one up."""
        if host == self._name:
            return None
        request = JoinRequest(self._voter.log.identity.storage, self._region)
        try:
            return await self._peers.call(host, Area.AGREEMENT, request, _ASK_TIMEOUT)
        except PeerError as exc:
            _log.debug("not joined", asked=host, reason=str(exc))
            return None

    async def _ask(
        self, host: HostName, request: IdentityRequest | GenesisRequest
    ) -> IdentityReply | None:
        if host == self._name:
            return await self._handle(host, request)
        try:
            return await self._peers.call(host, Area.AGREEMENT, request, _ASK_TIMEOUT)
        except PeerError:
            return None

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


class _NoFollowers:
    """Takes the place of the item catalogue: the document is read from the machine."""

    def __init__(self) -> None:
        self.held = Revision(0)

    async def advance(self, cluster: ClusterId, deltas: list[Delta]) -> bool:
        return False

    async def replace(self, view: ViewSnapshot) -> None:
        self.held = view.revision


def _bring_up_to_date(held: DocumentHistory, deltas: list[DocumentDelta]) -> bool:
    """Go on by what another host has sent; False: it must be asked again."""
    try:
        for delta in deltas:
            held.take(delta)
    except (DeltaMismatch, UnknownBase) as exc:
        _log.error("document not read", reason=str(exc))
        return False
    return True


def _as_document(held: DocumentHistory) -> ReplaceDocument | None:
    return ReplaceDocument(held.version, held.content) if held.version >= 0 else None
