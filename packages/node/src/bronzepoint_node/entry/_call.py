"""One call of an entry: what the caller wants, checked and typed."""

import hashlib
import math
from typing import Any
from urllib.parse import quote

import msgspec
from msgspec import Struct, field

from bronzepoint_common.http import Request
from bronzepoint_common.prefix import block_hashes, prompt_text, prompt_tokens
from bronzepoint_node.entry._refusals import RequestRefused, refused
from bronzepoint_node.entry._route import ChatRoute, ServiceRoute
from bronzepoint_schema.generated.catalogue import (
    EntryClass,
    ModelEntry,
    Route,
    ServiceEntry,
)
from bronzepoint_schema.generated.decisions import RefusalKind
from bronzepoint_schema.ids import EntryName, IdempotencyKey

CHAT_PATH = "/v1/chat/completions"
MAX_DEADLINE = 3600.0
PATH_CHARACTERS = "/:@!$&'()*+,;=~-._"
PRIORITIES = {
    EntryClass.interactive: "2",
    EntryClass.standard: "1",
    EntryClass.batch: "0",
}
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that belong to one connection, not to the request or its answer."""
OWN_PREFIX = "bronzepoint-"
NOT_FOR_TARGETS = frozenset({"authorization", "x-request-id", "x-priority"})


class ChatBody(Struct):
    """The part of a chat-completions request that the gateway reads."""

    model: str
    messages: list[dict[str, Any]]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


class Call(Struct):
    """One call of an entry.

    Attributes:
        path: Path and query, as the target gets them.
        headers: Headers for the target, without those of the gateway.
        body: Body, passed on as it came.
        idempotent: False: it runs at most once, under ``key``.
        key: The caller's idempotency key; empty: none.
        deadline: Seconds within which the first byte of the answer is worth having.
        worth: Worth of the answer; None: the entry says.
        bound_home: True: the caller narrows it to its home region.
        prefix_hashes: Hashes of the prompt's blocks; empty for plain services.
    """

    entry: EntryName
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    idempotent: bool = True
    key: IdempotencyKey = IdempotencyKey("")
    deadline: float = 0.0
    worth: float | None = None
    bound_home: bool = False
    prefix_hashes: list[str] = field(default_factory=list)
    prompt_tokens: int = 0
    max_tokens: int = 0

    def digest(self) -> bytes:
        """Return a digest of what makes this call the same as another one."""
        hashed = hashlib.blake2b(digest_size=16)
        for part in (self.entry, self.method, self.path):
            hashed.update(part.encode() + b"\0")
        hashed.update(self.body)
        return hashed.digest()


def chat_call(request: Request, body: bytes) -> Call:
    """Read a chat-completions request."""
    try:
        chat = msgspec.json.decode(body, type=ChatBody)
    except msgspec.DecodeError as exc:
        raise _bad(
            f"The body is no chat-completions request: {exc}.",
            "Send JSON with 'model' and 'messages'.",
        ) from exc
    text = prompt_text(chat.messages)
    call = _call(EntryName(chat.model), request, CHAT_PATH, body)
    call.prefix_hashes = block_hashes(text)
    call.prompt_tokens = prompt_tokens(text)
    call.max_tokens = chat.max_tokens or chat.max_completion_tokens or 0
    return call


def service_call(route: ServiceRoute, request: Request, body: bytes) -> Call:
    """Read a call of a plain service."""
    segments = route.path.split("/")[1:]
    # A route is matched by its path's prefix. With such segments left in, a target
    # that resolves them would run another path than the one that was matched.
    if any(segment in (".", "..") for segment in segments) or "" in segments[:-1]:
        raise _bad(
            "The path has empty, '.' or '..' segments.", "Send the path they lead to."
        )
    path = quote(route.path, safe=PATH_CHARACTERS)
    _, question_mark, query = request.raw_path.partition("?")
    return _call(route.entry, request, f"{path}{question_mark}{query}", body)


def call_of(route: ChatRoute | ServiceRoute, request: Request, body: bytes) -> Call:
    """Read the call that a request makes."""
    match route:
        case ChatRoute():
            return chat_call(request, body)
        case ServiceRoute():
            return service_call(route, request, body)


def check_route(call: Call, entry: ModelEntry | ServiceEntry) -> None:
    """Check that the entry serves the call's method and path; sets ``idempotent``."""
    match entry:
        case ModelEntry():
            known = call.path == CHAT_PATH
            call.idempotent = True
        case ServiceEntry():
            found = find_route(entry.routes, call)
            known = found is not None
            call.idempotent = found is None or found.idempotent
    if not known:
        raise refused(
            RefusalKind.unknown_route,
            f"Entry {entry.name!r} does not serve {call.method} {call.path[:200]}.",
            "Use a method and path that 'bronzepoint catalogue show' lists for it.",
        )


def find_route(routes: list[Route], call: Call) -> Route | None:
    """Return the route with the longest matching path prefix."""
    path = call.path.partition("?")[0]
    found = [
        route
        for route in routes
        if route.method == call.method and _is_below(path, route.path)
    ]
    return max(found, key=lambda route: len(route.path), default=None)


def _is_below(path: str, prefix: str) -> bool:
    stem = prefix.rstrip("/")
    return path == stem or path.startswith(stem + "/")


def _call(entry: EntryName, request: Request, path: str, body: bytes) -> Call:
    headers = request.headers
    return Call(
        entry=entry,
        method=request.method,
        path=path,
        headers=target_headers(headers),
        body=body,
        key=IdempotencyKey(headers.get("idempotency-key", "")),
        deadline=_number(headers, "bronzepoint-deadline", MAX_DEADLINE) or 0.0,
        worth=_number(headers, "bronzepoint-worth", math.inf),
        bound_home=_bound_home(headers),
    )


def target_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers that a target gets of a request."""
    return {
        name: value
        for name, value in end_to_end(headers).items()
        if name not in NOT_FOR_TARGETS
    }


def end_to_end(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers that go beyond one connection and aren't the gateway's."""
    named = headers.get("connection", "").lower()
    dropped = {name.strip() for name in named.split(",")} if named else set()
    return {
        name: value
        for name, value in headers.items()
        if name not in HOP_BY_HOP
        and name not in dropped
        and not name.startswith(OWN_PREFIX)
    }


def _number(headers: dict[str, str], name: str, most: float) -> float | None:
    text = headers.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if math.isfinite(value) and 0 < value <= most:
        return value
    raise _bad(
        f"Header {name} is {text[:50]!r}.",
        f"Send a number above 0 and at most {most:g}, or leave the header out.",
    )


def _bound_home(headers: dict[str, str]) -> bool:
    text = headers.get("bronzepoint-residency")
    if text in (None, "home"):
        return text is not None
    raise _bad(
        f"Header bronzepoint-residency is {text[:50]!r}.",
        "Send 'home', or leave the header out.",
    )


def _bad(message: str, remedy: str) -> RequestRefused:
    return refused(RefusalKind.bad_request, message, remedy)
