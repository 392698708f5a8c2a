"""What operators see of the agreement on one host."""

from enum import StrEnum

import msgspec

from bronzepoint_schema.ids import ClusterId, HostName, Revision, StorageId, Term


class Role(StrEnum):
    """What a host is to the agreement."""

    proposer = "proposer"
    blank = "blank"
    learner = "learner"
    follower = "follower"
    candidate = "candidate"
    leader = "leader"
    failed = "failed"


class VoterStatus(msgspec.Struct):
    """One voter, as the leader sees it.

    Attributes:
        host: The host.
        storage: The storage that counts; it was agreed.
        found: The storage that answers; another one means that the disk was lost.
        index: Last position that it holds.
        silent: Seconds since the request it answered last; negative: never.
    """

    host: HostName
    storage: StorageId
    found: StorageId = StorageId("")
    index: int = 0
    silent: float = -1.0


class AgreementStatus(msgspec.Struct):
    """State of the agreement on one host.

    Attributes:
        role: What this host is.
        leader: Leader known here; empty: none.
        cluster: The cluster; empty: not initialised, or not known here.
        storage: This voter's storage; empty on other hosts.
        term: Newest term seen.
        last_index: Last position in this voter's log.
        commit_index: Last position known to be durable on a quorum.
        revision: Accepted changes.
        lease_left: Seconds for which this host may act as leader; 0: it may not.
        voters: The voters; what the leader knows of each.
        failure: Why this voter has stopped; empty: it hasn't.
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
