"""Many callers at once, over kept connections."""

import time

import curio
import msgspec
import uuid_utils
from msgspec import Struct, field

from bronzepoint_common.http import HttpClient, HttpLimits
from bronzepoint_schema.ids import EntryName

CHAT = "/v1/chat/completions"
TIMEOUT = 60.0
EVENT_END = b"\n\n"


class Load(Struct):
    """What one phase asks for.

    Attributes:
        callers: Requests in progress at once.
        requests: Requests of each caller, one after another.
        tokens: Tokens of each answer.
    """

    entry: EntryName
    callers: int
    requests: int
    tokens: int
    stream: bool


class Observed(Struct):
    """What the callers saw.

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
    """Run one phase against a host, or against an engine itself."""
    return curio.run(_drive, address, token, load)


async def _drive(address: str, token: str, load: Load) -> Observed:
    client = HttpClient(HttpLimits(), 5.0)
    seen = Observed()
    async with curio.TaskGroup() as group:
        for number in range(load.callers):
            await group.spawn(_caller, client, address, token, load, seen, number)
    await client.close()
    return seen


async def _caller(
    client: HttpClient, address: str, token: str, load: Load, seen: Observed, turn: int
) -> None:
    # Spread over one step, or all streams would bring their events in one burst.
    await curio.sleep(turn / load.callers * 0.2)
    for number in range(load.requests):
        body = _body(load, f"caller {turn} asks {number}")
        await _ask(client, address, token, body, seen)


async def _ask(
    client: HttpClient, address: str, token: str, body: bytes, seen: Observed
) -> None:
    headers = {
        "Content-Type": "application/json",
        "Authorization": f"Bearer {token}",
        "X-Request-Id": uuid_utils.uuid7().hex,
    }
    began = last = time.perf_counter()
    async with client.stream(address, "POST", CHAT, headers, body, TIMEOUT) as answer:
        if answer.status != 200:
            seen.failed += 1
        first = True
        while piece := await answer.read():
            now = time.perf_counter()
            seen.reads += 1
            seen.events += piece.count(EVENT_END)
            if first:
                seen.first.append(now - began)
                first = False
            else:
                seen.gaps.append(now - last)
            last = now
    seen.whole.append(time.perf_counter() - began)


def _body(load: Load, prompt: str) -> bytes:
    return msgspec.json.encode(
        {
            "model": load.entry,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": load.tokens,
            "stream": load.stream,
        }
    )
