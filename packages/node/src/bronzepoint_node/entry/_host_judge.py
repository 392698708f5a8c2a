"""Whether the answer of a host of another region counts."""

from bronzepoint_common.http import ClientAnswer
from bronzepoint_node.entry._outcomes import Failed
from bronzepoint_node.entry._refusals import REFUSAL_HEADER, parse_refusal
from bronzepoint_node.entry._upstream import read_error
from bronzepoint_schema.generated.decisions import Ran, RetryReason, TryResult


class HostJudge:
    """Judges the head of another host's answer: a refusal doesn't count.

    Attributes:
        served_by: Region that the other host says has served it.
    """

    def __init__(self) -> None:
        self.served_by = ""

    async def check(self, answer: ClientAnswer) -> Failed | None:
        """Return the refusal that the answer tells; None: it tells none."""
        self.served_by = answer.headers.get("bronzepoint-region", "")
        if REFUSAL_HEADER.lower() not in answer.headers:
            return None
        whole = await read_error(answer)
        refusal = parse_refusal(whole.headers, whole.body)
        if refusal is None:
            return Failed(TryResult.failed, "a refusal that can't be read")
        return Failed(
            TryResult.refused_by_target,
            f"refused there: {refusal.kind}",
            RetryReason.region_refused,
            certain=refusal.ran is Ran.no,
            refusal=refusal,
            retry_after=refusal.retry_after,
        )
