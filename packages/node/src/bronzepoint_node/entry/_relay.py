"""Relaying of responses to callers while they arrive."""

import time
from collections.abc import Awaitable, Callable

from bronzepoint_common.events import EventSplitter, EventTooLong, is_event_stream
from bronzepoint_common.http import AnswerCut, AnswerMalformed, ClientAnswer, Exchange
from bronzepoint_node.entry._outcomes import Answered
from bronzepoint_node.entry._usage import completion_tokens

BeforeLastByte = Callable[[int], Awaitable[None]]
"""Awaited with the HTTP status, right before the last byte of a response is sent."""

MAX_BUFFERED = 262144
"""Bytes of a response that are buffered until it is complete, so that a truncated one
can be retried. Longer responses are relayed as they arrive."""
MAX_COLLECTED = 8 << 20
"""Largest response to a non-idempotent call, in bytes. It is buffered as a whole, since
it must be recorded before the caller gets it."""
STALL_TIMEOUT = 30.0
"""Seconds for which a target may send nothing in the middle of a response."""


async def relay(
    answer: ClientAnswer,
    exchange: Exchange,
    headers: dict[str, str],
    sent_at: float,
    before_last_byte: BeforeLastByte,
) -> Answered:
    """Relay a response to the caller, event streams and long ones chunk by chunk.

    Args:
        answer: The target's response, of which only the head was read.
        exchange: The caller's exchange.
        headers: Response headers for the caller.
        sent_at: Monotonic time in seconds at which the request was sent.
        before_last_byte: Awaited with the status, right before the last byte is sent.

    Raises:
        HttpError: The response was truncated or the caller disconnected;
            ``exchange.started`` tells whether a part was already sent.
    """
    if is_event_stream(answer.headers):
        return await _relay_events(answer, exchange, headers, sent_at, before_last_byte)
    buffered = bytearray()
    first_byte = None
    while chunk := await answer.read():
        if first_byte is None:
            first_byte = time.monotonic() - sent_at
            answer.timeout = STALL_TIMEOUT
        buffered += chunk
        if len(buffered) > MAX_BUFFERED:
            first_byte = time.monotonic() - sent_at
            return await _relay_pieces(
                answer, exchange, headers, first_byte, before_last_byte, bytes(buffered)
            )
    if first_byte is None:
        first_byte = time.monotonic() - sent_at
    await before_last_byte(answer.status)
    await exchange.respond(answer.status, headers, bytes(buffered))
    return Answered(
        answer.status,
        headers,
        passed_on=True,
        tokens=completion_tokens(
            answer.headers.get("content-type", ""), bytes(buffered)
        ),
        first_byte=first_byte,
    )


async def _relay_pieces(
    answer: ClientAnswer,
    exchange: Exchange,
    headers: dict[str, str],
    first_byte: float,
    before_last_byte: BeforeLastByte,
    buffered: bytes,
) -> Answered:
    """Relay the rest of a long response as it arrives."""
    await exchange.start_stream(answer.status, headers)
    piece = buffered
    while piece:
        await exchange.send(piece)
        piece = await answer.read()
    await before_last_byte(answer.status)
    await exchange.end()
    return Answered(answer.status, headers, passed_on=True, first_byte=first_byte)


async def _relay_events(
    answer: ClientAnswer,
    exchange: Exchange,
    headers: dict[str, str],
    sent_at: float,
    before_last_byte: BeforeLastByte,
) -> Answered:
    """Relay an event stream, each event once it is complete.

    Nothing is sent to the caller before the first event has arrived. Until then a
    failed request can be retried at another target.

    Raises:
        AnswerCut: The stream ended inside an event, so it was broken off.
        AnswerMalformed: An event is too long.
    """
    events = EventSplitter()
    first_byte = None
    async for piece in answer.chunks():
        if first_byte is None:
            first_byte = time.monotonic() - sent_at
            answer.timeout = STALL_TIMEOUT
        try:
            complete = events.feed(piece)
        except EventTooLong as exc:
            raise AnswerMalformed(answer.address, str(exc)) from exc
        if complete and not exchange.started:
            await exchange.start_stream(answer.status, headers)
        await exchange.send(complete)
    if first_byte is None:
        first_byte = time.monotonic() - sent_at
    if events.is_inside_event:
        raise AnswerCut(answer.address)
    if not exchange.started:
        await exchange.start_stream(answer.status, headers)
    await exchange.send(events.remainder())
    await before_last_byte(answer.status)
    await exchange.end()
    return Answered(
        answer.status,
        headers,
        passed_on=True,
        tokens=events.count,
        first_byte=first_byte,
    )


async def collect(
    answer: ClientAnswer, headers: dict[str, str], sent_at: float, address: str
) -> Answered:
    """Read a complete response, which is sent to the caller later.

    Raises:
        AnswerMalformed: It is longer than MAX_COLLECTED, or an event is too long.
        AnswerCut: It is an event stream that ends inside an event.
    """
    chunks = []
    size = 0
    first_byte = None
    while chunk := await answer.read():
        if first_byte is None:
            first_byte = time.monotonic() - sent_at
            answer.timeout = STALL_TIMEOUT
        size += len(chunk)
        if size > MAX_COLLECTED:
            raise AnswerMalformed(address, f"more than {MAX_COLLECTED} bytes")
        chunks.append(chunk)
    if first_byte is None:
        first_byte = time.monotonic() - sent_at
    body = b"".join(chunks)
    if is_event_stream(answer.headers):
        events = EventSplitter()
        try:
            events.feed(body)
        except EventTooLong as exc:
            raise AnswerMalformed(address, str(exc)) from exc
        if events.is_inside_event:
            raise AnswerCut(address)
    return Answered(answer.status, headers, body, first_byte=first_byte)
