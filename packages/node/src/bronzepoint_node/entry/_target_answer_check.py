"""Classification of a target's response as an answer or as a failed try."""

from collections.abc import Callable

from bronzepoint_common.http import ClientAnswer
from bronzepoint_node.entry._answer_headers import LEAVING_HEADER
from bronzepoint_node.entry._outcomes import Failed
from bronzepoint_schema.generated.catalogue import ModelEntry, ServiceEntry
from bronzepoint_schema.generated.decisions import RetryReason, TryResult

OVERLOADED = (429, 503)
"""HTTP statuses of a target that is overloaded or shutting down."""
UNAVAILABLE = 503
"""HTTP status with which a target may ask for a rest."""
SERVER_ERROR = 500
"""Lowest HTTP status of a server error."""
DEFAULT_RETRY_AFTER = 1.0
"""Seconds until a retry if an overloaded target sends no usable Retry-After header."""


class TargetAnswerCheck:
    """Classifies a target's response by its head.

    A model engine that answers 429 or 503 has not run the request. A plain service
    gives no such guarantee, so its error responses are relayed to the caller when no
    other target may be tried. The error responses to non-idempotent calls are always
    relayed.

    Args:
        entry: The entry that the target serves.
        idempotent: False: every response is relayed to the caller.
        may_retry: Returns whether the retry budget allows another try.
        on_answer: Called with the headers of every response of the target, and the
            seconds for which it wants no requests of this host.

    Attributes:
        error: True: a relayed response counts as a failure for the target's health.
    """

    def __init__(
        self,
        entry: ModelEntry | ServiceEntry,
        idempotent: bool,
        may_retry: Callable[[RetryReason], bool],
        on_answer: Callable[[dict[str, str], float], None],
    ) -> None:
        self._is_model = isinstance(entry, ModelEntry)
        self._idempotent = idempotent
        self._may_retry = may_retry
        self._on_answer = on_answer
        self.error = False

    async def check(self, answer: ClientAnswer) -> Failed | None:
        """Return the failure that a response means; None: it goes to the caller."""
        rest = _retry_after(answer) if answer.status == UNAVAILABLE else None
        self._on_answer(answer.headers, rest or 0.0)
        if not self._idempotent:
            return None
        if answer.status in OVERLOADED:
            return self._overloaded(answer)
        if answer.status >= SERVER_ERROR:
            return self._server_error(answer)
        return None

    def _overloaded(self, answer: ClientAnswer) -> Failed | None:
        reason = RetryReason.target_overloaded
        if LEAVING_HEADER in answer.headers:
            reason = RetryReason.target_leaving
        granted = self._may_retry(reason)
        if not granted and not self._is_model:
            return None
        return Failed(
            TryResult.refused_by_target,
            f"the target answered {answer.status}",
            reason,
            certain=self._is_model,
            granted=granted,
            retry_after=_retry_after(answer) or DEFAULT_RETRY_AFTER,
        )

    def _server_error(self, answer: ClientAnswer) -> Failed | None:
        granted = self._may_retry(RetryReason.target_error)
        if not granted and not self._is_model:
            self.error = True
            return None
        return Failed(
            TryResult.failed,
            f"the target answered {answer.status}",
            RetryReason.target_error,
            granted=granted,
        )


def _retry_after(answer: ClientAnswer) -> float | None:
    """Return the seconds of a Retry-After header; None: it has no usable one."""
    text = answer.headers.get("retry-after", "")
    return float(text) if text.isascii() and text.isdigit() else None
