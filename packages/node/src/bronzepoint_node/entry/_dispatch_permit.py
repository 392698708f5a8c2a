"""For how long after its confirmation a claim allows a send."""

import math

from bronzepoint_common.clock import monotonic
from bronzepoint_node.entry._collaborators import RunOnceLike
from bronzepoint_node.entry._refusals import RequestRefused, refused
from bronzepoint_node.run_once import ClaimToken
from bronzepoint_schema.generated.decisions import RefusalKind

PERMIT_TIME = 1.5
"""Seconds from the confirmation to the send. With the run-once records' dispatch window
of 2 s it stays below the 5 s after which a silent host is taken for gone."""
RETRY_AFTER = 1.0


class DispatchPermit:
    """A claim that was confirmed just now, or no need of one.

    A process may be stopped between the confirmation and the send, while it connects.
    Others then take it for gone and record the outcome as unknown; it must not send
    when it wakes. So the permit holds for a short time, on a clock that goes on while
    the process is stopped.
    """

    def __init__(self, *, bounded: bool) -> None:
        self._until = monotonic() + PERMIT_TIME if bounded else math.inf

    def check(self) -> None:
        """Raise RequestRefused where the permit has run out; call before a send."""
        if monotonic() > self._until:
            raise claim_lost()


def claim_lost() -> RequestRefused:
    """Make the refusal of a request whose claim did not hold until the send."""
    return refused(
        RefusalKind.run_records_unavailable,
        "The claim on the idempotency key was lost before the request was sent.",
        "Send it again with the same key.",
        RETRY_AFTER,
    )


async def permit_dispatch(
    run_once: RunOnceLike, token: ClaimToken | None
) -> DispatchPermit:
    """Confirm a claim and return the permit; raises RequestRefused where it is lost."""
    if token is None:
        return DispatchPermit(bounded=False)
    if await run_once.confirm(token):
        return DispatchPermit(bounded=True)
    raise claim_lost()
