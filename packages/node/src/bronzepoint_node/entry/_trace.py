"""Decision record of a request while it is served."""

import time

from bronzepoint_node.policy import LocalPlacement, Refused, RemotePlacement
from bronzepoint_schema.generated.decisions import (
    DecisionRecord,
    Outcome,
    Refusal,
    RetryReason,
    Try,
    TryResult,
)
from bronzepoint_schema.ids import HostName, RegionName, RequestId

MAX_CANDIDATES = 24
"""Candidates of one placement that are recorded. The limit keeps a record small,
however many targets and regions there are."""


class RequestTrace:
    """Builds the decision record of a request.

    Attributes:
        record: The record so far.
        may_have_run: True: a target may have run the request.
        first_attempt: True: no earlier attempt with the same idempotency key has run
            the request.
        saved: True: the record has not changed since it was last stored.
        idempotent: Whether the call is idempotent; None: not known yet.
    """

    def __init__(
        self, request_id: RequestId, host: HostName, region: RegionName
    ) -> None:
        self.record = DecisionRecord(request_id, host, region, time.time())
        self.may_have_run = False
        self.first_attempt = False
        self.idempotent: bool | None = None
        self.saved = False
        self._started_at = time.monotonic()

    @property
    def request_id(self) -> RequestId:
        """Identifier of the request on all hosts."""
        return self.record.request_id

    def elapsed(self) -> float:
        """Return the seconds since the request arrived at this host."""
        return time.monotonic() - self._started_at

    def note(self, text: str) -> None:
        """Add a note about a decision."""
        self.record.notes.append(text)

    def record_placement(
        self, placement: LocalPlacement | RemotePlacement | Refused
    ) -> None:
        """Record the candidates, choice and reason of a placement."""
        record = self.record
        record.candidates = placement.candidates[:MAX_CANDIDATES]
        record.reason = placement.reason
        for note in placement.notes:
            if note not in record.notes:
                record.notes.append(note)
        match placement:
            case LocalPlacement(target):
                record.choice = target.name
            case RemotePlacement(region):
                record.choice = region
            case Refused():
                record.choice = ""

    def begin_try(self, target: str, region: RegionName) -> Try:
        """Add a try at a target, or at a host of another region."""
        new_try = Try(target, region, self.elapsed(), TryResult.failed)
        self.record.tries.append(new_try)
        return new_try

    def end_try(self, current_try: Try, result: TryResult, detail: str = "") -> None:
        """Record the result of a try."""
        current_try.result = result
        current_try.ended = self.elapsed()
        current_try.detail = detail

    def retried(self, reason: RetryReason) -> None:
        """Record the reason for a retry in the last try."""
        if self.record.tries:
            self.record.tries[-1].retry_reason = reason

    def answered(self, status: int) -> None:
        """Record that the caller got the complete response."""
        self._end(Outcome.answered, status)

    def refused(self, refusal: Refusal, status: int) -> None:
        """Record that the request was refused."""
        self.record.refusal = refusal
        self._end(Outcome.refused, status)

    def cancelled(self, reason: str) -> None:
        """Record that the caller disconnected."""
        self.note(reason)
        self._end(Outcome.cancelled, 0)

    def _end(self, outcome: Outcome, status: int) -> None:
        self.saved = False
        self.record.outcome = outcome
        self.record.status = status
        self.record.duration = self.elapsed()
