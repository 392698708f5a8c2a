"""Whether a target's answer counts, or another target should be tried."""

from collections.abc import Callable

from bronzepoint_common.http import ClientAnswer
from bronzepoint_node.entry._answer_headers import LEAVING_HEADER
from bronzepoint_node.entry._outcomes import Failed
from bronzepoint_schema.generated.catalogue import ModelEntry, ServiceEntry
from bronzepoint_schema.generated.decisions import RetryReason, TryResult

OVERLOADED = (429, 503)
SERVER_ERROR = 500
DEFAULT_RETRY_AFTER = 1.0


class TargetJudge:
    """Judges the head of a target's answer.

    A model engine that answers 429 or 503 has not run the request; a plain service
    says nothing of that kind, so its error answers are passed on as they are once
    no other target may be tried, and those of non-idempotent calls always.

    Args:
        entry: The entry that the target serves.
        idempotent: False: whatever it answers is the answer.
        may_retry: Asks whether another try may follow.
        on_answer: Takes the headers of any of the target's answers.

    Attributes:
        error: True once an answer counted that speaks against the target's health.
    """

    def __init__(
        self,
        entry: ModelEntry | ServiceEntry,
        idempotent: bool,
        may_retry: Callable[[RetryReason], bool],
        on_answer: Callable[[dict[str, str]], None],
    ) -> None:
        self._is_model = isinstance(entry, ModelEntry)
        self._idempotent = idempotent
        self._may_retry = may_retry
        self._on_answer = on_answer
        self.error = False

    async def check(self, answer: ClientAnswer) -> Failed | None:
        """Return why the answer doesn't count; None: it does."""
        self._on_answer(answer.headers)
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
            retry_after=_retry_after(answer),
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


def _retry_after(answer: ClientAnswer) -> float:
    text = answer.headers.get("retry-after", "")
    if text.isascii() and text.isdigit():
        return float(text)
    return DEFAULT_RETRY_AFTER
