"""Outcomes of one try of a request."""

from msgspec import Struct

from bronzepoint_schema.generated.decisions import Refusal, RetryReason, TryResult


class Answered(Struct):
    """A complete response was received.

    Attributes:
        passed_on: True: the response was already sent to the caller, and ``body`` is
            empty.
        tokens: Generated tokens, counted by the events of a stream or as stated in the
            response; 0: unknown.
        first_byte: Seconds from the send until the first byte of the body.
        failed: True: the response counts as a failure for the target's health, though
            the caller gets it.
    """

    status: int
    headers: dict[str, str]
    body: bytes = b""
    passed_on: bool = False
    tokens: int = 0
    first_byte: float | None = None
    failed: bool = False


class Failed(Struct):
    """No complete response was received, or it was a refusal or error.

    Attributes:
        reason: Reason for a retry; None: the request may not be retried.
        certain: True: the request certainly did not run in this try.
        refusal: The refusal that another host answered with, if any.
        granted: True: the retry budget has already allowed another try.
        region: The other region that it was sent to; empty: a target of this region.
        started: True: part of the response was already sent to the caller.
        retry_after: Seconds after which the request may be sent again; 0: unknown.
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
    """Return the result for the decision record and for the target's health."""
    match outcome:
        case Answered(failed=False):
            return TryResult.answered
        case Answered():
            return TryResult.failed
        case Failed(result=result):
            return result


Outcome = Answered | Failed
