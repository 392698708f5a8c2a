"""One exchange with a target, or with a host of another region."""

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
)
from bronzepoint_node.entry._answer_headers import passed_headers
from bronzepoint_node.entry._outcomes import Failed, Outcome
from bronzepoint_node.entry._relay import Finish, collect, relay
from bronzepoint_node.entry._trace import RequestTrace
from bronzepoint_schema.generated.decisions import RetryReason, TryResult

MAX_ERROR_BODY = 65536
LEAST_TIMEOUT = 0.05


class UpstreamRequest(Struct):
    """What is sent, and what its answer must echo.

    Attributes:
        echo: Name (lower-case) of the answer's header that repeats the request id.
        repeatable: False: sent on a connection of its own, and its answer is held
            until it is whole.
        check: Called right before the first byte is written; where it raises,
            nothing is sent.
    """

    address: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    timeout: float
    echo: str
    repeatable: bool
    check: Callable[[], None]


class Judge(Protocol):
    """Says of an answer's head whether the answer counts."""

    async def check(self, answer: ClientAnswer) -> Failed | None:
        """Return why the answer doesn't count; None: it does."""


class Upstream:
    """Sends a request and brings the answer to the caller.

    Args:
        client: Connections to targets and hosts.
    """

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def ask(
        self,
        request: UpstreamRequest,
        exchange: Exchange,
        trace: RequestTrace,
        judge: Judge,
        own: dict[str, str],
        finish: Finish,
    ) -> Outcome:
        """Send a request; pass its answer on, or hold it where not repeatable.

        Args:
            request: What is sent.
            exchange: The caller's exchange.
            trace: Learns whether the request may have run.
            judge: Says of an answer's head whether the answer counts.
            own: Headers that this host adds.
            finish: Awaited with the status, right before the answer's last byte is
                passed on.

        Raises:
            Disconnected: The caller left.
            RequestRefused: The last check before the send refused it.
        """
        before = trace.may_have_run

        def before_send() -> None:
            request.check()
            # Before the first byte, so that it also holds where this task is
            # cancelled on the way.
            trace.may_have_run = True

        outcome = await self._ask(
            request, exchange, trace.request_id, judge, own, before_send, finish
        )
        if isinstance(outcome, Failed) and outcome.certain:
            trace.may_have_run = before
        return outcome

    async def _ask(
        self,
        request: UpstreamRequest,
        exchange: Exchange,
        request_id: str,
        judge: Judge,
        own: dict[str, str],
        before_send: Callable[[], None],
        finish: Finish,
    ) -> Outcome:
        sent = time.monotonic()
        try:
            async with self._client.stream(
                request.address,
                request.method,
                request.path,
                request.headers,
                request.body,
                max(LEAST_TIMEOUT, request.timeout),
                fresh=not request.repeatable,
                before_send=before_send,
            ) as answer:
                if answer.headers.get(request.echo) != request_id:
                    return _crossed(answer, request.echo)
                failed = await judge.check(answer)
                if failed is not None:
                    return failed
                headers = passed_headers(answer.headers)
                headers.update(own)
                if request.repeatable:
                    return await relay(answer, exchange, headers, sent, finish)
                return await collect(answer, headers, sent, request.address)
        except Disconnected:
            raise
        except HttpError as exc:
            failed = failure(exc)
            failed.started = exchange.started
            return failed


def _crossed(answer: ClientAnswer, echo: str) -> Failed:
    # A target that mixes up its answers, or a connection with a late one on it:
    # passed on, a caller would get the answer to another caller's request. The
    # connection is closed with the answer unread, so nothing more comes from it.
    found = answer.headers.get(echo, "no id")
    return Failed(
        TryResult.failed,
        f"crossed: the answer carries {found[:100]!r} in {echo}",
        RetryReason.target_error,
    )


def failure(exc: HttpError) -> Failed:
    """Say what a failed exchange means for the request."""
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


async def read_error(answer: ClientAnswer) -> Answer:
    """Read the body of an error answer, as far as it is of use."""
    parts = []
    size = 0
    while size < MAX_ERROR_BODY and (piece := await answer.read()):
        size += len(piece)
        parts.append(piece)
    return Answer(answer.status, answer.headers, b"".join(parts))
