"""Head of a request, as passed to a handler."""

from collections.abc import Iterable
from urllib.parse import parse_qsl, unquote, urlsplit

import h11
from msgspec import Struct

from bronzepoint_common.http._errors import BadRequest


class Request(Struct):
    """Head of a request.

    Attributes:
        path: Decoded path, without the query.
        raw_path: Path and query as they were sent.
        headers: Header values by lower-case name; repeated ones joined by commas.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    raw_path: str = ""


def request_of(event: h11.Request) -> Request:
    """Parse the head of a request; raises BadRequest if its target isn't a path."""
    try:
        raw_path = event.target.decode("ascii")
        parts = urlsplit(raw_path)
        path = unquote(parts.path, errors="strict")
    except (UnicodeDecodeError, ValueError) as exc:
        raise BadRequest("the request target can't be decoded") from exc
    if not path.startswith("/"):
        raise BadRequest("the request target must be a path")
    query = dict(parse_qsl(parts.query)) if parts.query else {}
    return Request(
        method=event.method.decode("ascii"),
        path=path,
        query=query,
        headers=headers_of(event.headers),
        raw_path=raw_path,
    )


def headers_of(pairs: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return header values by name; h11 has already converted names to lower case."""
    headers: dict[str, str] = {}
    for raw_name, raw_value in pairs:
        name = raw_name.decode("ascii")
        value = raw_value.decode("latin-1")
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    return headers
