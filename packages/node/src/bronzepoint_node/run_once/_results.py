"""What a claim may come to."""

from dataclasses import dataclass, field

from bronzepoint_schema.generated.run_once import Ballot, StoredAnswer
from bronzepoint_schema.generated.run_once import Claimed as ClaimedState


@dataclass
class ClaimToken:
    """The right to run one request once; held by the host that claimed it.

    Attributes:
        key: The 16 bytes of the key.
        state: The state that the copies agreed on.
        following: Ballot that the copies have promised for the outcome, if any.
        dispatch_by: Elapsed time until which dispatch may begin unconfirmed.
        closed: True once finished or released: it allows nothing any more.
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
    """The request ran before; this is its answer."""

    answer: StoredAnswer


@dataclass(frozen=True)
class InProgress:
    """Another attempt is at work, or its host has not been silent for long enough.

    Attributes:
        retry_after: Seconds until a resend can be told more.
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
    """No majority of the key's copies took part; this request was not run.

    Attributes:
        reason: What the copies that answered said.
        retry_after: Seconds until another try makes sense.
    """

    reason: str
    retry_after: float


ClaimResult = Claimed | Done | InProgress | Unknown | Mismatch | Expired | Unavailable
