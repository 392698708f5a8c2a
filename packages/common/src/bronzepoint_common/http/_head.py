"""Heads of requests and answers."""

from http import HTTPStatus

import h11

Pairs = list[tuple[bytes, bytes]]
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def response_head(status: int, headers: Pairs) -> h11.Response:
    """Build the head of an answer, with the standard reason phrase."""
    return h11.Response(
        status_code=status, headers=headers, reason=REASONS.get(status, b"")
    )


def header_pairs(headers: dict[str, str]) -> Pairs:
    """Encode headers; values received from others may contain any Latin-1 character."""
    return [
        (name.encode("ascii"), value.encode("latin-1", "replace"))
        for name, value in headers.items()
    ]
