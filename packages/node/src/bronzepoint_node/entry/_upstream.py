"""HTTP requests to targets and to hosts of other regions."""

import time
from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from bronzepoint_common.http import (
    Answer,
    AnswerCut,
    AnswerTimeout,
    ClientAnswer,
    ConnectFailed,
    Disconnected,
    Exchange,
    HttpClient,
    HttpError,
    NotSent,
    Unframed,
)
from bronzepoint_node.entry._answer_headers import headers_for_caller
from bronzepoint_node.entry._outcomes import Failed, Outcome
from bronzepoint_node.entry._relay import BeforeLastByte, collect, relay
from bronzepoint_node.entry._trace import RequestTrace
from bronzepoint_schema.generated.decisions import RetryReason, TryResult

MAX_ERROR_BODY = 65536
"""Bytes of an error response after which the rest isn't read."""
MIN_TIMEOUT = 0.05
"""Shortest timeout in seconds; it applies even if the deadline is closer."""


class UpstreamRequest(Struct):
    """A request to a target or host.

    Attributes:
        timeout: Seconds to wait for the head of the response.
        echo: Lower-case name of the response header that repeats the request id.
        repeatable: False: the response is buffered until it is complete.
        fresh: True: the request is sent on a new connection.
        check: Called right before the first byte is written; if it raises, nothing is
            sent.
    """

    address: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout: float
    echo: str
    repeatable: bool
    fresh: bool
    check: Callable[[], None]


class AnswerCheck(Protocol):
    """Classifies a response as an answer for the caller or as a failed try."""

    async def check(self, answer: ClientAnswer) -> Failed | None:
        """Return the failure that a response means; None: it goes to the caller."""


class Upstream:
    """Sends requests and relays the responses to the callers.

    Args:
        client: HTTP client for targets and hosts.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def send(
        self,
        request: UpstreamRequest,
        exchange: Exchange,
        trace: RequestTrace,
        answer_check: AnswerCheck,
        added_headers: dict[str, str],
        before_last_byte: BeforeLastByte,
    ) -> Outcome:
        """Send a request, and relay its response if the request is repeatable.

        The response to a request that isn't repeatable is buffered and returned.

        Args:
            request: The request to send.
            exchange: The caller's exchange.
            trace: Its ``may_have_run`` is updated.
            answer_check: Classifies the response by its head.
            added_headers: Headers that the gateway adds to the response.
            before_last_byte: Awaited with the status, right before the last byte of
                the response is relayed.

        Raises:
            Disconnected: The caller closed the connection.
            RequestRefused: The check right before the send failed.
        """
        before = trace.may_have_run

        def before_send() -> None:
            request.check()
            # Set before the first byte is written, so that it is also correct when
            # this task is cancelled during the send.
            trace.may_have_run = True

        outcome = await self._send(
            request,
            exchange,
            trace.request_id,
            answer_check,
            added_headers,
            before_send,
            before_last_byte,
        )
        if isinstance(outcome, Failed) and outcome.certain:
            trace.may_have_run = before
        return outcome

    async def _send(
        self,
        request: UpstreamRequest,
        exchange: Exchange,
        request_id: str,
        answer_check: AnswerCheck,
        added_headers: dict[str, str],
        before_send: Callable[[], None],
        before_last_byte: BeforeLastByte,
    ) -> Outcome:
        sent_at = time.monotonic()
        try:
            async with self._client.stream(
                request.address,
                request.method,
                request.path,
                request.headers,
                request.body,
                max(MIN_TIMEOUT, request.timeout),
                fresh=request.fresh,
                before_send=before_send,
                unframed=Unframed.EVENT_STREAMS,
            ) as answer:
                if answer.headers.get(request.echo) != request_id:
                    return _wrong_request_id(answer, request.echo)
                failed = await answer_check.check(answer)
                if failed is not None:
                    return failed
                headers = headers_for_caller(answer.headers)
                headers.update(added_headers)
                if request.repeatable:
                    return await relay(
                        answer, exchange, headers, sent_at, before_last_byte
                    )
                return await collect(answer, headers, sent_at, request.address)
        except Disconnected:
            raise
        except HttpError as exc:
            failed = failed_from_error(exc)
            failed.started = exchange.started
            return failed


def _wrong_request_id(answer: ClientAnswer, echo: str) -> Failed:
    # The target has confused its responses, or a late response was left on the
    # connection. If it were relayed, a caller would get the response to another
    # caller's request. The connection is closed with the response unread, so that no
    # later request can receive the rest of it.
    found = answer.headers.get(echo, "no id")
    return Failed(
        TryResult.failed,
        f"crossed: the answer carries {found[:100]!r} in {echo}",
        RetryReason.target_error,
    )


def failed_from_error(exc: HttpError) -> Failed:
    """Return the outcome of a try that ended with an HTTP error."""
    detail = str(exc)
    match exc:
        case ConnectFailed():
            reason = RetryReason.connect_failed
            return Failed(TryResult.not_sent, detail, reason, certain=True)
        case NotSent(certain=certain):
            reason = RetryReason.stale_connection
            return Failed(TryResult.not_sent, detail, reason, certain=certain)
        case AnswerTimeout():
            return Failed(TryResult.timeout, detail, RetryReason.target_error)
        case AnswerCut():
            return Failed(TryResult.cut, detail, RetryReason.target_error)
    return Failed(TryResult.failed, detail, RetryReason.target_error)


async def read_error_answer(answer: ClientAnswer) -> Answer:
    """Read the body of an error response, up to about MAX_ERROR_BODY bytes."""
    chunks = []
    size = 0
    while size < MAX_ERROR_BODY and (chunk := await answer.read()):
        size += len(chunk)
        chunks.append(chunk)
    return Answer(answer.status, answer.headers, b"".join(chunks))
