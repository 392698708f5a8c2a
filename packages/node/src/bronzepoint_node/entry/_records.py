"""Keeps decision records at the right moments."""

from bronzepoint_node.entry._collaborators import DecisionsLike
from bronzepoint_node.entry._trace import RequestTrace


class Records:
    """Keeps the record of a request before its caller has the whole answer.

    Kept after it, a caller who asks at once for the record of its request could
    be told that there is no such request.

    Args:
        decisions: Where records are kept.
    """

    def __init__(self, decisions: DecisionsLike) -> None:
        self._decisions = decisions

    async def keep(self, trace: RequestTrace) -> None:
        """Keep a record, unless it was kept as it is."""
        if trace.kept:
            return
        trace.kept = True
        await self._decisions.record(trace.record)

    async def answered(self, trace: RequestTrace, status: int) -> None:
        """Note that the last byte of the answer is about to go out, and keep that."""
        trace.answered(status)
        await self.keep(trace)
