"""Time limit between the confirmation of a claim and the send of its request."""

import math

from bronzepoint_common.clock import monotonic
from bronzepoint_node.entry._dependencies import RunOnceLike
from bronzepoint_node.entry._refusals import RequestRefused, refused
from bronzepoint_node.run_once import ClaimToken
from bronzepoint_schema.generated.decisions import RefusalKind

PERMIT_LIFETIME = 1.5
"""Seconds allowed between the confirmation and the send. Together with the dispatch
window of 2 s of the run-once records it stays below the 5 s after which a host that
doesn't respond is considered dead."""
RETRY_AFTER = 1.0
"""Seconds after which a request whose claim was lost may be sent again."""


class DispatchPermit:
    """Permission to send a request, based on a claim that was just confirmed.

    A process may be suspended between the confirmation and the send, for example while
    it connects. Other hosts then consider it dead and record the outcome as unknown,
    so it must not send when it resumes. The permit therefore expires after a short
    time, on a clock that advances while the process is suspended.

    Args:
        expires: False: the request needs no claim, and the permit never expires.
    """

    def __init__(self, *, expires: bool) -> None:
        self._expires_at = monotonic() + PERMIT_LIFETIME if expires else math.inf

    def check(self) -> None:
        """Check that the permit is still valid; call right before a send.

        Raises:
            RequestRefused: The permit has expired.
        """
        if monotonic() > self._expires_at:
            raise claim_lost()


def claim_lost() -> RequestRefused:
    """Return the refusal for a request whose claim expired before the send."""
    return refused(
        RefusalKind.run_records_unavailable,
        "The claim on the idempotency key was lost before the request was sent.",
        "Send it again with the same key.",
        RETRY_AFTER,
    )


async def permit_dispatch(
    run_once: RunOnceLike, token: ClaimToken | None
) -> DispatchPermit:
    """Confirm a claim and return the permit to send.

    Args:
        run_once: The run-once records.
        token: The claim; None: an idempotent request, which needs none.

    Raises:
        RequestRefused: The claim was lost.
    """
    if token is None:
        return DispatchPermit(expires=False)
    if await run_once.confirm(token):
        return DispatchPermit(expires=True)
    raise claim_lost()
