"""Classification of the responses of hosts of other regions."""

import curio

from bronzepoint_common.http import ClientAnswer
from bronzepoint_node.entry._outcomes import Failed
from bronzepoint_node.entry._refusals import REFUSAL_HEADER, parse_refusal
from bronzepoint_node.entry._upstream import read_error_answer
from bronzepoint_schema.generated.decisions import Ran, RetryReason, TryResult


class HostAnswerCheck:
    """Detects refusals among the responses of another host.

    Attributes:
        served_by: Region that served the request, according to the other host.
        arrived: Set as soon as the head of the response has arrived.
    """

    def __init__(self) -> None:
        self.served_by = ""
        self.arrived = curio.Event()

    async def check(self, answer: ClientAnswer) -> Failed | None:
        """Return the failure that a response reports; None: it is not a refusal."""
        await self.arrived.set()
        self.served_by = answer.headers.get("bronzepoint-region", "")
        if REFUSAL_HEADER.lower() not in answer.headers:
            return None
        complete_answer = await read_error_answer(answer)
        refusal = parse_refusal(complete_answer.headers, complete_answer.body)
        if refusal is None:
            return Failed(TryResult.failed, "the refusal can't be decoded")
        return Failed(
            TryResult.refused_by_target,
            f"refused by the other region: {refusal.kind}",
            RetryReason.region_refused,
            certain=refusal.ran is Ran.no,
            refusal=refusal,
            retry_after=refusal.retry_after,
        )
