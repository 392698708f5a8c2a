"""Conversion of HTTP errors to refusals."""

from bronzepoint_common.http import (
    BodyTooLarge,
    HandlerFailed,
    HeadTooLarge,
    HttpError,
    MemoryExhausted,
    TooManyConnections,
)
from bronzepoint_schema.generated.decisions import Ran, Refusal, RefusalKind

RETRY_CONNECTION = 1.0
"""Seconds after which a caller may reconnect to a host that has no room for more
connections or requests."""


def refusal_of_http_error(exc: HttpError) -> Refusal:
    """Return the refusal for an HTTP error."""
    message, _, remedy = str(exc).rpartition(": ")
    match exc:
        case HeadTooLarge():
            return Refusal(RefusalKind.head_too_large, message, remedy, Ran.no)
        case BodyTooLarge():
            return Refusal(RefusalKind.body_too_large, message, remedy, Ran.no)
        case TooManyConnections() | MemoryExhausted():
            return Refusal(
                RefusalKind.overloaded, message, remedy, Ran.no, RETRY_CONNECTION
            )
        case HandlerFailed():
            return Refusal(RefusalKind.internal, message, remedy, Ran.unknown)
    return Refusal(RefusalKind.bad_request, message, remedy, Ran.no)
