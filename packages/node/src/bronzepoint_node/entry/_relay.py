"""Relaying of responses to callers while they arrive."""

import time
from collections.abc import Awaitable, Callable

from bronzepoint_common.http import AnswerMalformed, ClientAnswer, Exchange
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
EVENT_STREAM = "text/event-stream"
EVENT_END = b"\n\n"


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
    if answer.headers.get("content-type", "").startswith(EVENT_STREAM):
        return await _relay_stream(
            answer, exchange, headers, sent_at, before_last_byte, b""
        )
    buffered = bytearray()
    first_byte = None
    while chunk := await answer.read():
        if first_byte is None:
            first_byte = time.monotonic() - sent_at
            answer.timeout = STALL_TIMEOUT
        buffered += chunk
        if len(buffered) > MAX_BUFFERED:
            return await _relay_stream(
                answer, exchange, headers, sent_at, before_last_byte, bytes(buffered)
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


async def _relay_stream(
    answer: ClientAnswer,
    exchange: Exchange,
    headers: dict[str, str],
    sent_at: float,
    before_last_byte: BeforeLastByte,
    buffered: bytes,
) -> Answered:
    # Nothing is sent to the caller before the first chunk has arrived. Until then a
    # failed request can be retried at another target.
    chunk = buffered or await answer.read()
    first_byte = time.monotonic() - sent_at
    answer.timeout = STALL_TIMEOUT
    await exchange.start_stream(answer.status, headers)
    events = 0
    # True while a chunk has ended with the first half of an event separator.
    split_separator = False
    while chunk:
        await exchange.send(chunk)
        events += chunk.count(EVENT_END)
        if split_separator and chunk.startswith(b"\n"):
            events += 1
        split_separator = chunk.endswith(b"\n") and not chunk.endswith(EVENT_END)
        chunk = await answer.read()
    await before_last_byte(answer.status)
    await exchange.end()
    return Answered(
        answer.status,
        headers,
        passed_on=True,
        tokens=events,
        first_byte=first_byte,
    )


async def collect(
    answer: ClientAnswer, headers: dict[str, str], sent_at: float, address: str
) -> Answered:
    """Read a complete response, which is sent to the caller later.

    Raises:
        AnswerMalformed: It is longer than MAX_COLLECTED.
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
    return Answered(answer.status, headers, b"".join(chunks), first_byte=first_byte)
