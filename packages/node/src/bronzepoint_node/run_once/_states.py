"""Changes of a register's state, as pure functions of the current state.

Each takes the state that a majority reported, None for a register never written, and
returns the state to store, or None to leave it unchanged.
"""

from collections.abc import Callable

from bronzepoint_schema.generated.run_once import Claimed, Done, Released, Unknown
from bronzepoint_schema.ids import HostName, RequestId

State = Claimed | Done | Unknown | Released
Outcome = Done | Unknown | Released
Change = Callable[[State | None], State | None]


def claim(own_claim: Claimed) -> Change:
    """Claim a key that was never claimed, or was released for the same request."""

    def change(state: State | None) -> State | None:
        match state:
            case None:
                return own_claim
            case Released(digest=digest) if digest == own_claim.digest:
                return own_claim
            case _:
                return None

    return change


def replace(observed: Claimed, new: State) -> Change:
    """Replace exactly the claim that was observed.

    A claim that was renewed since has a later time and is not replaced: its host may
    be about to run the request.
    """

    def change(state: State | None) -> State | None:
        return new if state == observed else None

    return change


def conclude(attempt: bytes, outcome: Outcome) -> Change:
    """Record the outcome of an attempt of this host.

    Other hosts may have considered this host failed and recorded the outcome as
    unknown; the known outcome replaces that.
    """

    def change(state: State | None) -> State | None:
        match state:
            case Claimed() | Unknown() if state.attempt == attempt:
                return None if state == outcome else outcome
            case _:
                return None

    return change


def is_claim_of(attempt: bytes, state: State | None) -> bool:
    """Return whether the state is the claim of this attempt."""
    return isinstance(state, Claimed) and state.attempt == attempt


def identity(state: Claimed) -> tuple[bytes, HostName, bytes, RequestId]:
    """Return the fields that all states of an attempt have in common."""
    return (state.attempt, state.host, state.digest, state.request_id)
