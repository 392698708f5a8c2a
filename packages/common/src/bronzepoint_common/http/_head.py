"""Head of an answer."""

from http import HTTPStatus

import h11

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}


def response_head(status: int, headers: list[tuple[str, str]]) -> h11.Response:
    """Build the head of an answer, with the customary phrase for its status."""
    return h11.Response(
        status_code=status, headers=headers, reason=REASONS.get(status, b"")
    )
