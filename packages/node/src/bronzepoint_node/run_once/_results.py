"""Possible results of a claim."""

from dataclasses import dataclass, field

from bronzepoint_schema.generated.run_once import Ballot, StoredAnswer
from bronzepoint_schema.generated.run_once import Claimed as ClaimedState


@dataclass
class ClaimToken:
    """The right to run one request once; held by the host that claimed it.

    Attributes:
        key: The 16 bytes of the key.
        state: The state that the replicas agreed on.
        following: Ballot that the replicas have promised for the outcome, if any.
        dispatch_by: Elapsed time (s) until which dispatch needs no confirmation.
        closed: True once finished or released; dispatch is then not allowed.
    """

    key: bytes
    state: ClaimedState
    following: Ballot | None
    dispatch_by: float
    closed: bool = field(default=False)


@dataclass(frozen=True)
class Claimed:
    """This host may run the request, after `RunOnce.confirm`."""

    token: ClaimToken


@dataclass(frozen=True)
class Done:
    """The request ran before; holds its answer."""

    answer: StoredAnswer


@dataclass(frozen=True)
class InProgress:
    """Another attempt runs, or its host does not answer but may still run it.

    Attributes:
        retry_after: Seconds until a resend may get a different result.
    """

    retry_after: float


@dataclass(frozen=True)
class Unknown:
    """An attempt ended without a known outcome; the request is not run again."""


@dataclass(frozen=True)
class Mismatch:
    """The key was used before for a different request; this one was not run."""


@dataclass(frozen=True)
class Expired:
    """The key is older than its lifetime; this request was not run."""


@dataclass(frozen=True)
class Unavailable:
    """No majority of the key's replicas took part; this request was not run.

    Attributes:
        reason: Why the replicas refused, or which ones did not vote.
        retry_after: Seconds until the caller may try again.
    """

    reason: str
    retry_after: float


ClaimResult = Claimed | Done | InProgress | Unknown | Mismatch | Expired | Unavailable
