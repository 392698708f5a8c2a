"""Load generator with many concurrent callers over persistent connections."""

import time

import curio
import msgspec
import uuid_utils
from msgspec import Struct, field

from bronzepoint_common.http import HttpClient, HttpLimits
from bronzepoint_schema.ids import EntryName

CHAT = "/v1/chat/completions"
TIMEOUT = 60.0
"""Seconds for each request."""
EVENT_END = b"\n\n"


class Load(Struct):
    """The load of one phase.

    Attributes:
        callers: Number of concurrent callers.
        requests: Number of sequential requests per caller.
        tokens: Number of tokens per answer.
    """

    entry: EntryName
    callers: int
    requests: int
    tokens: int
    stream: bool


class Observed(Struct):
    """Measurements of the callers.

    Attributes:
        first: Seconds to the first byte of each answer.
        whole: Seconds to the end of each answer.
        gaps: Seconds between reads within each stream.
    """

    first: list[float] = field(default_factory=list)
    whole: list[float] = field(default_factory=list)
    gaps: list[float] = field(default_factory=list)
    events: int = 0
    reads: int = 0
    failed: int = 0


def drive(address: str, token: str, load: Load) -> Observed:
    """Run one phase against a host or directly against an engine."""
    return curio.run(_drive, address, token, load)


async def _drive(address: str, token: str, load: Load) -> Observed:
    client = HttpClient(HttpLimits(), 5.0)
    observed = Observed()
    async with curio.TaskGroup() as group:
        for number in range(load.callers):
            await group.spawn(_caller, client, address, token, load, observed, number)
    await client.close()
    return observed


async def _caller(
    client: HttpClient,
    address: str,
    token: str,
    load: Load,
    observed: Observed,
    index: int,
) -> None:
    # Starts are spread over 0.2 s; otherwise all streams would send their events in one
    # burst per step.
    await curio.sleep(index / load.callers * 0.2)
    for number in range(load.requests):
        body = _body(load, f"caller {index} asks {number}")
        await _send(client, address, token, body, observed)


async def _send(
    client: HttpClient, address: str, token: str, body: bytes, observed: Observed
) -> None:
    headers = {
        "Content-Type": "application/json",
        "Authorization": f"Bearer {token}",
        "X-Request-Id": uuid_utils.uuid7().hex,
    }
    began = last = time.perf_counter()
    async with client.stream(address, "POST", CHAT, headers, body, TIMEOUT) as answer:
        if answer.status != 200:
            observed.failed += 1
        first = True
        while chunk := await answer.read():
            now = time.perf_counter()
            observed.reads += 1
            observed.events += chunk.count(EVENT_END)
            if first:
                observed.first.append(now - began)
                first = False
            else:
                observed.gaps.append(now - last)
            last = now
    observed.whole.append(time.perf_counter() - began)


def _body(load: Load, prompt: str) -> bytes:
    return msgspec.json.encode(
        {
            "model": load.entry,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": load.tokens,
            "stream": load.stream,
        }
    )
