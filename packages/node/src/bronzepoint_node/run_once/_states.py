"""Changes of a register's state, as pure functions from the present state.

Each takes the state that a majority told, None for a register never written, and
returns the state to store; None leaves it as it is.
"""

from collections.abc import Callable

from bronzepoint_schema.generated.run_once import Claimed, Done, Released, Unknown
from bronzepoint_schema.ids import HostName, RequestId

State = Claimed | Done | Unknown | Released
Outcome = Done | Unknown | Released
Change = Callable[[State | None], State | None]


def claim(mine: Claimed) -> Change:
    """Claim a key that was never claimed, or was released by the same request."""

    def change(state: State | None) -> State | None:
        match state:
            case None:
                return mine
            case Released(digest=digest) if digest == mine.digest:
                return mine
            case _:
                return None

    return change


def replace(observed: Claimed, new: State) -> Change:
    """Replace exactly the claim that was observed.

    A claim that was confirmed again since has a later time and is not the same: its
    host may just be starting to run the request.
    """

    def change(state: State | None) -> State | None:
        return new if state == observed else None

    return change


def conclude(attempt: bytes, outcome: Outcome) -> Change:
    """Record the outcome of one's own attempt.

    Others may have taken its host for gone and recorded the outcome as unknown; the
    attempt itself knows better.
    """

    def change(state: State | None) -> State | None:
        match state:
            case Claimed() | Unknown() if state.attempt == attempt:
                return None if state == outcome else outcome
            case _:
                return None

    return change


def is_claim_of(attempt: bytes, state: State | None) -> bool:
    """Tell whether the register holds the claim of this attempt."""
    return isinstance(state, Claimed) and state.attempt == attempt


def identity(state: Claimed) -> tuple[bytes, HostName, bytes, RequestId]:
    """Return the fields that every state of an attempt begins with."""
    return (state.attempt, state.host, state.digest, state.request_id)
