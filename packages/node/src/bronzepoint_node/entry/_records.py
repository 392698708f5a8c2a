"""Storage of decision records before their responses are complete."""

from bronzepoint_node.entry._dependencies import DecisionsLike
from bronzepoint_node.entry._trace import RequestTrace


class DecisionRecorder:
    """Stores the record of a request before its response is complete.

    If it were stored later, a caller that looks up the record right after the response
    could get "not found".

    Args:
        decisions: Stores the records.
    """

    def __init__(self, decisions: DecisionsLike) -> None:
        self._decisions = decisions

    async def save(self, trace: RequestTrace) -> None:
        """Store the record, unless it is unchanged since it was last stored."""
        if trace.saved:
            return
        trace.saved = True
        await self._decisions.record(trace.record)

    async def save_answered(self, trace: RequestTrace, status: int) -> None:
        """Mark the request as answered, right before the last byte, and store it."""
        trace.answered(status)
        await self.save(trace)
