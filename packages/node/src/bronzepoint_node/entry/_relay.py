"""Passing an answer on to its caller while it arrives."""

import time
from collections.abc import Awaitable, Callable

from bronzepoint_common.http import AnswerMalformed, ClientAnswer, Exchange
from bronzepoint_node.entry._outcomes import Answered
from bronzepoint_node.entry._usage import completion_tokens

Finish = Callable[[int], Awaitable[None]]

MAX_HELD = 262144
"""Bytes of an answer that are held until it is whole, so that a cut one can still
be asked for again; longer ones are passed on as they come."""
MAX_COLLECTED = 8 << 20
"""Bytes of a non-idempotent call's answer: it is held until it has been recorded."""
STALL_TIMEOUT = 30.0
"""Seconds for which a target may send nothing in the middle of an answer."""
EVENT_STREAM = "text/event-stream"
EVENT_END = b"\n\n"


async def relay(
    answer: ClientAnswer,
    exchange: Exchange,
    headers: dict[str, str],
    sent: float,
    finish: Finish,
) -> Answered:
    """Pass an answer on to the caller, a stream piece by piece.

    Args:
        answer: The target's answer, of which only the head was read.
        exchange: The caller's exchange.
        headers: Headers for the caller.
        sent: Monotonic seconds at which the request was sent.
        finish: Awaited right before the last byte goes out.

    Raises:
        HttpError: The answer was cut or the caller left; see ``exchange.started``.
    """
    if answer.headers.get("content-type", "").startswith(EVENT_STREAM):
        return await _relay_stream(answer, exchange, headers, sent, finish, b"")
    held = bytearray()
    first_byte = None
    while piece := await answer.read():
        if first_byte is None:
            first_byte = time.monotonic() - sent
            answer.timeout = STALL_TIMEOUT
        held += piece
        if len(held) > MAX_HELD:
            return await _relay_stream(
                answer, exchange, headers, sent, finish, bytes(held)
            )
    if first_byte is None:
        first_byte = time.monotonic() - sent
    await finish(answer.status)
    await exchange.respond(answer.status, headers, bytes(held))
    return Answered(
        answer.status,
        headers,
        passed_on=True,
        tokens=completion_tokens(answer.headers.get("content-type", ""), bytes(held)),
        first_byte=first_byte,
    )


async def _relay_stream(
    answer: ClientAnswer,
    exchange: Exchange,
    headers: dict[str, str],
    sent: float,
    finish: Finish,
    held: bytes,
) -> Answered:
    # Nothing goes out before the first piece is there: until then a failed target
    # can be replaced by another one without the caller noticing.
    piece = held or await answer.read()
    first_byte = time.monotonic() - sent
    answer.timeout = STALL_TIMEOUT
    await exchange.start_stream(answer.status, headers)
    events = 0
    open_line = False
    while piece:
        await exchange.send(piece)
        events += piece.count(EVENT_END)
        if open_line and piece.startswith(b"\n"):
            events += 1
        open_line = piece.endswith(b"\n") and not piece.endswith(EVENT_END)
        piece = await answer.read()
    await finish(answer.status)
    await exchange.end()
    return Answered(
        answer.status,
        headers,
        passed_on=True,
        tokens=events,
        first_byte=first_byte,
    )


async def collect(
    answer: ClientAnswer, headers: dict[str, str], sent: float, address: str
) -> Answered:
    """Read a whole answer; the caller gets it later."""
    parts = []
    size = 0
    first_byte = None
    while piece := await answer.read():
        if first_byte is None:
            first_byte = time.monotonic() - sent
            answer.timeout = STALL_TIMEOUT
        size += len(piece)
        if size > MAX_COLLECTED:
            raise AnswerMalformed(address, f"more than {MAX_COLLECTED} bytes")
        parts.append(piece)
    if first_byte is None:
        first_byte = time.monotonic() - sent
    return Answered(answer.status, headers, b"".join(parts), first_byte=first_byte)
