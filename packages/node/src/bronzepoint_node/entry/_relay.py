"""Passing an answer on to its caller while it arrives."""

import time

from bronzepoint_common.http import ClientAnswer, Exchange
from bronzepoint_node.entry._outcomes import Answered

MAX_HELD = 262144
"""Bytes of an answer that are held until it is whole, so that a cut one can still
be asked for again; longer ones are passed on as they come."""
STALL_TIMEOUT = 30.0
"""Seconds for which a target may send nothing in the middle of an answer."""
EVENT_STREAM = "text/event-stream"
EVENT_END = b"\n\n"


async def relay(
    answer: ClientAnswer, exchange: Exchange, headers: dict[str, str], sent: float
) -> Answered:
    """Pass an answer on to the caller, a stream piece by piece.

    Args:
        answer: The target's answer, of which only the head was read.
        exchange: The caller's exchange.
        headers: Headers for the caller.
        sent: Monotonic seconds at which the request was sent.

    Raises:
        HttpError: The answer was cut or the caller left; see ``exchange.started``.
    """
    if answer.headers.get("content-type", "").startswith(EVENT_STREAM):
        return await _relay_stream(answer, exchange, headers, sent, b"")
    held = bytearray()
    first_byte = None
    while piece := await answer.read():
        if first_byte is None:
            first_byte = time.monotonic() - sent
            answer.timeout = STALL_TIMEOUT
        held += piece
        if len(held) > MAX_HELD:
            return await _relay_stream(answer, exchange, headers, sent, bytes(held))
    await exchange.respond(answer.status, headers, bytes(held))
    if first_byte is None:
        first_byte = time.monotonic() - sent
    return Answered(answer.status, headers, passed_on=True, first_byte=first_byte)


async def _relay_stream(
    answer: ClientAnswer,
    exchange: Exchange,
    headers: dict[str, str],
    sent: float,
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
    await exchange.end()
    return Answered(
        answer.status,
        headers,
        passed_on=True,
        tokens=events,
        first_byte=first_byte,
    )


async def collect(
    answer: ClientAnswer, headers: dict[str, str], sent: float
) -> Answered:
    """Read a whole answer; the caller gets it later."""
    parts = []
    first_byte = None
    while piece := await answer.read():
        if first_byte is None:
            first_byte = time.monotonic() - sent
            answer.timeout = STALL_TIMEOUT
        parts.append(piece)
    if first_byte is None:
        first_byte = time.monotonic() - sent
    return Answered(answer.status, headers, b"".join(parts), first_byte=first_byte)
