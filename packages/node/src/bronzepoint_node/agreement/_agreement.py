"""Interface of the replicated catalogue to the rest of the daemon."""

import uuid
from pathlib import Path

from bronzepoint_common.clock import monotonic
from bronzepoint_common.metrics import Metrics
from bronzepoint_common.peers import Area, PeerError, Peers
from bronzepoint_node.catalogue import Catalogue, find_contradictions
from bronzepoint_schema.generated.agreement import (
    Accepted,
    AgreementMessage,
    Change,
    GenesisRequest,
    IdentityReply,
    IdentityRequest,
    PatchTargets,
    ProposeReply,
    Put,
)
from bronzepoint_schema.generated.settings import Settings
from bronzepoint_schema.ids import ClusterId, FencingNumber, HostName

from ._delta_encoding import delta_encode
from ._errors import (
    Invalid,
    SettingsUnsafe,
    VoterWithoutDisk,
)
from ._initialisation import initialise_cluster
from ._proposer import Proposer
from ._status import AgreementStatus, Role
from ._voter import Voter
from ._voter_calls import answer_voter_call

_QUERY_TIMEOUT = 2.0
"""Seconds to wait for a voter's answer while the cluster is initialised."""
_UUID7 = 7


class Agreement:
    """Commits changes of the catalogue through the consensus of the voters.

    Args:
        settings: This host's settings.
        peers: Links to the other hosts.
        catalogue: Applies committed changes and sends them to other hosts.
        metrics: Counters.

    Raises:
        SettingsUnsafe: The lease isn't shorter than the election timeout.
        VoterWithoutDisk: This host is a voter without a data folder.
    """

    def __init__(
        self, settings: Settings, peers: Peers, catalogue: Catalogue, metrics: Metrics
    ) -> None:
        section, host = settings.agreement, settings.host
        if section.lease >= section.election_timeout:
            raise SettingsUnsafe(section.lease, section.election_timeout)
        if host.voter and not host.data_folder:
            raise VoterWithoutDisk(host.name)
        self._name = host.name
        self._peers = peers
        self._catalogue = catalogue
        self._voters = voter_hosts(settings)
        self._voter: Voter | None = None
        if host.voter:
            self._voter = Voter(
                host.name,
                Path(host.data_folder),
                self._voters,
                section,
                peers,
                catalogue,
                metrics,
                self._deliver,
            )
        self._proposer = Proposer(host.name, self._voters, self._voter, peers, metrics)
        peers.register(Area.AGREEMENT, AgreementMessage, self._handle)
        catalogue.follow(self)

    async def start(self) -> None:
        """Start this host's voter, if it is one.

        Raises:
            StorageError: The data folder is damaged or used by another process.
        """
        if self._voter is not None:
            await self._voter.start()

    async def close(self) -> None:
        """Stop this host's voter, if it is one."""
        if self._voter is not None:
            await self._voter.close()

    async def propose(self, change: Change, timeout: float) -> Accepted:
        """Send a change to the leader and return once it is accepted.

        Args:
            change: The change; sending it again with its id is always safe.
            timeout: Seconds to wait.

        Raises:
            Invalid: The change contradicts itself.
            Conflict: Another operator's change of the item was accepted first.
            NotLeader: No leader was found; the change was not accepted.
            NoQuorum: The outcome is unknown.
            ChangeExpired: Its outcome is no longer kept, so it may have been applied.
        """
        problems = change_problems(change)
        if problems:
            raise Invalid(problems)
        if isinstance(change.op, Put):
            former = self._catalogue.view.find(change.op.item)
            change = delta_encode(change, former)
        return await self._proposer.propose(change, timeout)

    def lease(self) -> FencingNumber | None:
        """Return the fencing number while this host holds the leader lease, else None.

        Call it right before each action. If the process is suspended between the check
        and the action, another leader may have been elected in the meantime.
        """
        return self._voter.lease() if self._voter is not None else None

    def leader(self) -> HostName:
        """Return the leader known to this host; empty if none is known."""
        if self._voter is not None and self._voter.leader:
            return self._voter.leader
        return self._proposer.leader

    def leader_age(self) -> float | None:
        """Return the staleness of the leader's catalogue.

        Returns:
            Seconds since the lease expired, 0 while it is valid; None if this host
            isn't the leader or its catalogue is behind its log.
        """
        if self._voter is None:
            return None
        until = self._voter.lease_until()
        if until is None or self._catalogue.held < self._voter.state_machine.revision:
            return None
        return max(0.0, monotonic() - until)

    def voters(self) -> list[HostName]:
        """Return the hosts that the settings name as voters."""
        return self._voters

    def status(self) -> AgreementStatus:
        """Return the status of this host for operators."""
        if self._voter is not None:
            return self._voter.status()
        return AgreementStatus(
            role=Role.proposer,
            leader=self._proposer.leader,
            cluster=self._catalogue.cluster,
            revision=self._catalogue.held,
        )

    async def initialise(self) -> ClusterId:
        """Initialise the cluster with the voters named in the settings.

        Running it again, also from two hosts at once, is harmless: the initial voters
        are determined by the settings and the storage ids, and each storage joins
        only one cluster.

        Raises:
            InitialiseRefused: Not every voter answered, or they disagree.
        """
        return await initialise_cluster(self._voters, self._query)

    async def _query(
        self, host: HostName, request: IdentityRequest | GenesisRequest
    ) -> IdentityReply | None:
        if host == self._name and self._voter is not None:
            return await self._handle(host, request)
        try:
            return await self._peers.call(host, Area.AGREEMENT, request, _QUERY_TIMEOUT)
        except PeerError:
            return None

    async def _handle(
        self, peer: HostName, message: AgreementMessage
    ) -> AgreementMessage | None:
        if isinstance(message, ProposeReply):
            await self._proposer.on_reply(peer, message)
            return None
        voter = self._voter
        if voter is None:
            return None
        return await answer_voter_call(voter, self._peers, peer, message)

    async def _deliver(self, host: HostName, reply: ProposeReply) -> None:
        await self._proposer.deliver(host, reply)


def voter_hosts(settings: Settings) -> list[HostName]:
    """Return the hosts that the settings name as voters, sorted by name."""
    hosts = {HostName(name) for name, peer in settings.peers.items() if peer.voter}
    if settings.host.voter:
        hosts.add(settings.host.name)
    return sorted(hosts)


def change_problems(change: Change) -> list[str]:
    """Return the problems of a change, one sentence with a remedy for each."""
    problems = []
    if not _is_uuid7(change.change_id):
        problems.append(
            f"Change id {change.change_id!r} is not a UUIDv7 in its usual lower-case "
            "form: make a new one for each change, and keep it for resends."
        )
    if not change.operator:
        problems.append("The change names no operator: give one.")
    if change.version < 1:
        problems.append(
            "The version must be at least 1: one more than the current one."
        )
    match change.op:
        case Put(item=item):
            problems.extend(find_contradictions(item))
        case PatchTargets():
            # A patch can't be checked for contradictions without the whole item.
            problems.append("A change holds the whole item: send it with 'put'.")
    return problems


def _is_uuid7(text: str) -> bool:
    try:
        parsed = uuid.UUID(text)
    except ValueError:
        return False
    return parsed.version == _UUID7 and str(parsed) == text
