"""Status of the agreement on one host, for operators."""

from enum import StrEnum

import msgspec

from bronzepoint_schema.ids import ClusterId, HostName, Revision, StorageId, Term


class Role(StrEnum):
    """Role of a host in the agreement."""

    proposer = "proposer"
    blank = "blank"
    learner = "learner"
    follower = "follower"
    candidate = "candidate"
    leader = "leader"
    failed = "failed"


class VoterStatus(msgspec.Struct):
    """Status of one voter, as known to the leader.

    Attributes:
        host: The host.
        storage: The storage that is a member of the agreed set of voters.
        found: The storage that answers; it differs from ``storage`` if the disk was
            lost.
        index: Last position of the log that it holds.
        silent: Seconds since the last request that it answered was sent; negative if
            it never answered.
    """

    host: HostName
    storage: StorageId
    found: StorageId = StorageId("")
    index: int = 0
    silent: float = -1.0


class AgreementStatus(msgspec.Struct):
    """Status of the agreement on one host.

    Attributes:
        role: Role of this host.
        leader: Leader known to this host; empty if none is known.
        cluster: The cluster; empty if it isn't initialised or not known.
        storage: This voter's storage; empty on other hosts.
        term: Newest term seen.
        last_index: Last position in this voter's log.
        commit_index: Last position known to be durable on a quorum.
        revision: Number of accepted changes.
        lease_left: Seconds for which this host may act as leader; 0 if it may not.
        voters: The voters; with their progress if this host leads.
        failure: Why this voter has stopped; empty while it runs.
    """

    role: Role
    leader: HostName = HostName("")
    cluster: ClusterId = ClusterId("")
    storage: StorageId = StorageId("")
    term: Term = Term(0)
    last_index: int = 0
    commit_index: int = 0
    revision: Revision = Revision(0)
    lease_left: float = 0.0
    voters: list[VoterStatus] = msgspec.field(default_factory=list)
    failure: str = ""
