"""Parsing and validation of a call to a catalogue entry."""

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
"""Longest deadline that a caller may set, in seconds."""
PATH_CHARACTERS = "/:@!$&'()*+,;=~-._"
"""Characters of a path that aren't percent-encoded."""
PRIORITIES = {
    EntryClass.interactive: "2",
    EntryClass.standard: "1",
    EntryClass.batch: "0",
}
"""Value of the X-Priority header for each class of entry; higher goes first."""
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
"""Headers that apply to a single connection and are never forwarded."""
GATEWAY_HEADER_PREFIX = "bronzepoint-"
"""Prefix of the gateway's own headers."""
REMOVED_REQUEST_HEADERS = frozenset({"authorization", "x-request-id", "x-priority"})
"""Headers of a caller that are removed before the request reaches a target."""


class ChatBody(Struct):
    """The fields of a chat-completions request that the gateway reads."""

    model: str
    messages: list[dict[str, Any]]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None


class Call(Struct):
    """A call to a catalogue entry.

    Attributes:
        path: Path and query string for the target.
        headers: Headers for the target, without those of the gateway.
        body: Request body, forwarded unchanged.
        idempotent: False: the call runs at most once under its ``key``.
        key: The caller's idempotency key; empty: none.
        deadline: Seconds within which the first byte of the response is of use to
            the caller; 0: the entry's default applies.
        worth: Value of the response to the caller; None: the entry's default applies.
        bound_home: True: the caller allows only its home region.
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
        """Return a digest of entry, method, path and body.

        Two calls with the same digest are the same request.
        """
        hashed = hashlib.blake2b(digest_size=16)
        for part in (self.entry, self.method, self.path):
            hashed.update(part.encode() + b"\0")
        hashed.update(self.body)
        return hashed.digest()


def chat_call(request: Request, body: bytes) -> Call:
    """Parse a chat-completions request."""
    try:
        chat = msgspec.json.decode(body, type=ChatBody)
    except msgspec.DecodeError as exc:
        raise _bad_request(
            f"The body is no chat-completions request: {exc}.",
            "Send JSON with 'model' and 'messages'.",
        ) from exc
    text = prompt_text(chat.messages)
    call = _make_call(EntryName(chat.model), request, CHAT_PATH, body)
    call.prefix_hashes = block_hashes(text)
    call.prompt_tokens = prompt_tokens(text)
    call.max_tokens = chat.max_tokens or chat.max_completion_tokens or 0
    return call


def service_call(route: ServiceRoute, request: Request, body: bytes) -> Call:
    """Parse a call to a plain service."""
    segments = route.path.split("/")[1:]
    # Routes are matched by path prefix. A target that resolves such segments would
    # run a different path than the one that was matched.
    if any(segment in (".", "..") for segment in segments) or "" in segments[:-1]:
        raise _bad_request(
            "The path has empty, '.' or '..' segments.", "Send the resolved path."
        )
    path = quote(route.path, safe=PATH_CHARACTERS)
    _, question_mark, query = request.raw_path.partition("?")
    return _make_call(route.entry, request, f"{path}{question_mark}{query}", body)


def call_of(route: ChatRoute | ServiceRoute, request: Request, body: bytes) -> Call:
    """Parse the call in a request."""
    match route:
        case ChatRoute():
            return chat_call(request, body)
        case ServiceRoute():
            return service_call(route, request, body)


def check_route(call: Call, entry: ModelEntry | ServiceEntry) -> None:
    """Check that the entry serves the method and path, and set ``idempotent``.

    Raises:
        RequestRefused: The entry has no such route.
    """
    match entry:
        case ModelEntry():
            is_served = call.path == CHAT_PATH
            call.idempotent = True
        case ServiceEntry():
            found = find_route(entry.routes, call)
            is_served = found is not None
            call.idempotent = found is None or found.idempotent
    if not is_served:
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
        if route.method == call.method and _matches_prefix(path, route.path)
    ]
    return max(found, key=lambda route: len(route.path), default=None)


def _matches_prefix(path: str, prefix: str) -> bool:
    base_path = prefix.rstrip("/")
    return path == base_path or path.startswith(base_path + "/")


def _make_call(entry: EntryName, request: Request, path: str, body: bytes) -> Call:
    headers = request.headers
    return Call(
        entry=entry,
        method=request.method,
        path=path,
        headers=target_headers(headers),
        body=body,
        key=IdempotencyKey(headers.get("idempotency-key", "")),
        deadline=_positive_number(headers, "bronzepoint-deadline", MAX_DEADLINE) or 0.0,
        worth=_positive_number(headers, "bronzepoint-worth", math.inf),
        bound_home=_is_bound_home(headers),
    )


def target_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers of a request that are forwarded to the target."""
    return {
        name: value
        for name, value in end_to_end_headers(headers).items()
        if name not in REMOVED_REQUEST_HEADERS
    }


def end_to_end_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the end-to-end headers, without those of the gateway itself."""
    named = headers.get("connection", "").lower()
    dropped = {name.strip() for name in named.split(",")} if named else set()
    return {
        name: value
        for name, value in headers.items()
        if name not in HOP_BY_HOP
        and name not in dropped
        and not name.startswith(GATEWAY_HEADER_PREFIX)
    }


def _positive_number(
    headers: dict[str, str], name: str, max_value: float
) -> float | None:
    text = headers.get(name)
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if math.isfinite(value) and 0 < value <= max_value:
        return value
    raise _bad_request(
        f"Header {name} is {text[:50]!r}.",
        f"Send a number above 0 and at most {max_value:g}, or leave the header out.",
    )


def _is_bound_home(headers: dict[str, str]) -> bool:
    text = headers.get("bronzepoint-residency")
    if text in (None, "home"):
        return text is not None
    raise _bad_request(
        f"Header bronzepoint-residency is {text[:50]!r}.",
        "Send 'home', or leave the header out.",
    )


def _bad_request(message: str, remedy: str) -> RequestRefused:
    return refused(RefusalKind.bad_request, message, remedy)
