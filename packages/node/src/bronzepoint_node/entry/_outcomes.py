"""How one try ended."""

from msgspec import Struct

from bronzepoint_schema.generated.decisions import Refusal, RetryReason, TryResult


class Answered(Struct):
    """A whole answer came.

    Attributes:
        passed_on: True: the caller has it already; ``body`` is empty then.
        tokens: Events of a stream, or 0.
        first_byte: Seconds from the send until the first byte of the body.
        failed: True: passed on, though it speaks against the target's health.
    """

    status: int
    headers: dict[str, str]
    body: bytes = b""
    passed_on: bool = False
    tokens: int = 0
    first_byte: float | None = None
    failed: bool = False


class Failed(Struct):
    """No whole answer came.

    Attributes:
        reason: Why another try may follow; None: none may.
        certain: True: the request certainly did not run in this try.
        refusal: What another host, or the target, said about it.
        granted: True: the retry budget has already allowed another try.
        region: Another region that it was sent to; empty: a target of this one.
        started: True: a part of the answer has reached the caller.
    """

    result: TryResult
    detail: str
    reason: RetryReason | None = None
    certain: bool = False
    refusal: Refusal | None = None
    granted: bool = False
    started: bool = False
    region: str = ""
    retry_after: float = 0.0


def result_of(outcome: "Outcome") -> TryResult:
    """Return what the decision record and the target's health take from it."""
    match outcome:
        case Answered(failed=False):
            return TryResult.answered
        case Answered():
            return TryResult.failed
        case Failed(result=result):
            return result


Outcome = Answered | Failed
