"""Non-idempotent calls, which run at most once for each idempotency key."""

from typing import NoReturn

from bronzepoint_node.entry._answer_headers import REPLAYED_HEADER, gateway_headers
from bronzepoint_node.entry._dependencies import Dependencies
from bronzepoint_node.entry._dispatch import Dispatcher
from bronzepoint_node.entry._identity import Identity
from bronzepoint_node.entry._outcomes import Answered
from bronzepoint_node.entry._refusals import refused
from bronzepoint_node.entry._served_request import ServedRequest
from bronzepoint_node.policy import Ticket
from bronzepoint_node.run_once import (
    Claimed,
    ClaimResult,
    ClaimToken,
    Done,
    Expired,
    InProgress,
    InvalidKey,
    KeyAhead,
    Mismatch,
    StoredAnswer,
    Unavailable,
    Unknown,
)
from bronzepoint_schema.generated.decisions import Ran, RefusalKind


class RunOnceCalls:
    """Serves non-idempotent calls.

    A call is dispatched only after its key was claimed. A resend gets the response
    that was recorded for the first run.

    Args:
        identity: This host.
        dependencies: The other components of the daemon.
        dispatcher: Sends a claimed call to a target or region.
    """

    def __init__(
        self, identity: Identity, dependencies: Dependencies, dispatcher: Dispatcher
    ) -> None:
        self._identity = identity
        self._dependencies = dependencies
        self._dispatcher = dispatcher

    async def serve(self, request: ServedRequest, ticket: Ticket) -> Answered:
        """Run a call at most once, or return the recorded response of its first run.

        Raises:
            RequestRefused: The call was refused.
        """
        result = await self._claim(request)
        request.trace.note(f"run-once record: {type(result).__name__.lower()}")
        match result:
            case Claimed(token):
                return await self._run(request, ticket, token)
            case Done(answer):
                return self._replay(request, answer)
        self._refuse(request, result)

    async def _claim(self, request: ServedRequest) -> ClaimResult:
        call = request.call
        # The caller is part of the digest: if two callers choose the same key, neither
        # may get the response to the other's request.
        digest = call.digest() + request.caller.name.encode()
        try:
            return await self._dependencies.run_once.claim(
                call.key, digest, request.trace.request_id
            )
        except (InvalidKey, KeyAhead) as exc:
            # No host accepts an invalid key, so the request never ran. A key whose
            # time is ahead of this host's clock may have been accepted by another host.
            request.trace.first_attempt = isinstance(exc, InvalidKey)
            message, _, remedy = str(exc).partition("; ")
            raise refused(RefusalKind.bad_request, message, remedy) from exc

    async def _run(
        self, request: ServedRequest, ticket: Ticket, token: ClaimToken
    ) -> Answered:
        trace = request.trace
        trace.first_attempt = True
        try:
            answered = await self._dispatcher.run(request, ticket, token)
        except BaseException:
            # Also reached when this task is cancelled. The key is released only if
            # nothing was sent, since a resend would otherwise run a request that may
            # already have run.
            if trace.may_have_run:
                await self._dependencies.run_once.finish(token, None)
            else:
                await self._dependencies.run_once.release(token)
            raise
        # Recorded before it is sent to the caller: a resend to any host must get the
        # same response that the caller has already seen.
        stored = StoredAnswer(
            answered.status, answered.body, _stored_headers(answered.headers)
        )
        if not await self._dependencies.run_once.finish(token, stored):
            trace.note("run-once record: no majority has stored the answer yet")
        return answered

    def _replay(self, request: ServedRequest, answer: StoredAnswer) -> Answered:
        if not answer.complete:
            raise refused(
                RefusalKind.run_unknown,
                f"The request ran before, with status {answer.status}; the answer was "
                "too large to store.",
                "Look the result up at the service itself.",
                ran=Ran.unknown,
            )
        identity = self._identity
        headers = dict(answer.headers)
        headers.update(
            gateway_headers(request.trace.request_id, identity.host, identity.region)
        )
        headers[REPLAYED_HEADER] = "1"
        self._dependencies.metrics.incr("run_once.replayed")
        return Answered(answer.status, headers, answer.body)

    def _refuse(self, request: ServedRequest, result: ClaimResult) -> NoReturn:
        match result:
            case InProgress(retry_after):
                raise refused(
                    RefusalKind.run_in_progress,
                    "An earlier attempt with this key is at work.",
                    "Send it again with the same key to get that attempt's answer.",
                    retry_after,
                    Ran.unknown,
                )
            case Unknown():
                raise refused(
                    RefusalKind.run_unknown,
                    "An earlier attempt with this key ended without a known outcome.",
                    "Look the result up at the service; a new key runs it again.",
                    ran=Ran.unknown,
                )
            case Mismatch():
                request.trace.first_attempt = True
                raise refused(
                    RefusalKind.key_mismatch,
                    "The key was used before for a different request.",
                    "Make a new key for each new request.",
                )
            case Expired():
                raise refused(
                    RefusalKind.key_expired,
                    "The key is older than the time for which records are kept.",
                    "Look the result up at the service; a new key runs it again.",
                    ran=Ran.unknown,
                )
            case Unavailable(reason, retry_after):
                raise refused(
                    RefusalKind.run_records_unavailable,
                    f"Too few hosts that keep this key's record answer: {reason}.",
                    "Send it again with the same key.",
                    retry_after,
                    Ran.unknown,
                )


def _stored_headers(headers: dict[str, str]) -> dict[str, str]:
    return {
        name: value
        for name, value in headers.items()
        if not name.lower().startswith("bronzepoint-")
    }
