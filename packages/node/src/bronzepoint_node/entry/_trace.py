"""Builds the decision record of one request along its way."""

import time

from bronzepoint_node.policy import Away, Home, Refused
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
"""Candidates kept of one placement; a record stays small at any size of the fleet."""


class RequestTrace:
    """The decision record of one request while it is decided.

    Attributes:
        record: The record so far.
        may_have_run: True once it isn't certain any more that no target ran it.
        first_attempt: True once it is certain that no earlier attempt with the same
            idempotency key has run it.
        kept: True while the record is kept as it is.
        idempotent: whether the call is; None: not known yet.
    """

    def __init__(
        self, request_id: RequestId, host: HostName, region: RegionName
    ) -> None:
        self.record = DecisionRecord(request_id, host, region, time.time())
        self.may_have_run = False
        self.first_attempt = False
        self.idempotent: bool | None = None
        self.kept = False
        self._began = time.monotonic()

    @property
    def request_id(self) -> RequestId:
        """Identifier of the request on all hosts."""
        return self.record.request_id

    def elapsed(self) -> float:
        """Return the seconds since the request arrived here."""
        return time.monotonic() - self._began

    def note(self, text: str) -> None:
        """Add a line from a module that had a say."""
        self.record.notes.append(text)

    def placed(self, placed: Home | Away | Refused) -> None:
        """Take over what a placement weighed and chose."""
        record = self.record
        record.candidates = placed.candidates[:MAX_CANDIDATES]
        record.reason = placed.reason
        for note in placed.notes:
            if note not in record.notes:
                record.notes.append(note)
        match placed:
            case Home(target):
                record.choice = target.name
            case Away(region):
                record.choice = region
            case Refused():
                record.choice = ""

    def begin_try(self, target: str, region: RegionName) -> Try:
        """Add a try at a target, or at a host of another region."""
        began = Try(target, region, self.elapsed(), TryResult.failed)
        self.record.tries.append(began)
        return began

    def end_try(self, ended: Try, result: TryResult, detail: str = "") -> None:
        """Note how a try ended."""
        ended.result = result
        ended.ended = self.elapsed()
        ended.detail = detail

    def retried(self, reason: RetryReason) -> None:
        """Note why another try follows the last one."""
        if self.record.tries:
            self.record.tries[-1].retry_reason = reason

    def answered(self, status: int) -> None:
        """Note that the caller got its whole answer."""
        self._end(Outcome.answered, status)

    def refused(self, refusal: Refusal, status: int) -> None:
        """Note that the request was refused."""
        self.record.refusal = refusal
        self._end(Outcome.refused, status)

    def cancelled(self, why: str) -> None:
        """Note that the caller left."""
        self.note(why)
        self._end(Outcome.cancelled, 0)

    def _end(self, outcome: Outcome, status: int) -> None:
        self.kept = False
        self.record.outcome = outcome
        self.record.status = status
        self.record.duration = self.elapsed()
