"""Refusals of requests, as exceptions and as HTTP responses."""

import math

import msgspec

from bronzepoint_schema.generated.decisions import (
    ErrorBody,
    Ran,
    Refusal,
    RefusalKind,
)

REFUSAL_HEADER = "Bronzepoint-Refusal"
"""Header with the kind of the refusal. It tells a refusal of the gateway from an error
response of a target, which doesn't have it."""

STATUS = {
    RefusalKind.bad_request: 400,
    RefusalKind.unauthenticated: 401,
    RefusalKind.forbidden: 403,
    RefusalKind.unknown_entry: 404,
    RefusalKind.unknown_route: 404,
    RefusalKind.residency: 403,
    RefusalKind.rate_limited: 429,
    RefusalKind.in_progress_limited: 429,
    RefusalKind.tokens_limited: 429,
    RefusalKind.overloaded: 503,
    RefusalKind.deadline_unreachable: 503,
    RefusalKind.no_target: 503,
    RefusalKind.region_unreachable: 503,
    RefusalKind.loop_detected: 508,
    RefusalKind.target_failed: 502,
    RefusalKind.answer_cut: 502,
    RefusalKind.key_missing: 400,
    RefusalKind.key_expired: 410,
    RefusalKind.key_mismatch: 422,
    RefusalKind.run_in_progress: 409,
    RefusalKind.run_unknown: 502,
    RefusalKind.run_records_unavailable: 503,
    RefusalKind.draining: 503,
    RefusalKind.not_ready: 503,
    RefusalKind.body_too_large: 413,
    RefusalKind.head_too_large: 431,
    RefusalKind.not_found: 404,
    RefusalKind.not_leader: 503,
    RefusalKind.conflict: 409,
    RefusalKind.internal: 500,
}
"""HTTP status of each kind of refusal."""


class RequestRefused(Exception):
    """A request was refused.

    Attributes:
        refusal: The refusal for the caller.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.kind}: {refusal.message} {refusal.remedy}")
        self.refusal = refusal


def refused(
    kind: RefusalKind,
    message: str,
    remedy: str,
    retry_after: float = 0.0,
    ran: Ran = Ran.no,
) -> RequestRefused:
    """Return the exception for a refusal.

    Args:
        kind: Kind of the refusal, which selects the HTTP status and the counter.
        message: What is wrong, in one sentence.
        remedy: What the caller can do about it, in one sentence.
        retry_after: Seconds after which a retry may succeed; 0: a retry is of no use.
        ran: ``unknown`` if another host or a target may have run the request. Whether
            this host has sent it is taken into account when the refusal is answered.
    """
    return RequestRefused(Refusal(kind, message, remedy, ran, retry_after))


def refusal_answer(refusal: Refusal) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers and body of the HTTP response for a refusal."""
    headers = {"Content-Type": "application/json", REFUSAL_HEADER: refusal.kind.value}
    if refusal.retry_after > 0:
        headers["Retry-After"] = str(math.ceil(refusal.retry_after))
    if refusal.kind is RefusalKind.unauthenticated:
        headers["WWW-Authenticate"] = "Bearer"
    body = msgspec.json.encode(ErrorBody(refusal))
    return STATUS[refusal.kind], headers, body


def parse_refusal(headers: dict[str, str], body: bytes) -> Refusal | None:
    """Return the refusal in another host's response; None: it contains no refusal."""
    if REFUSAL_HEADER.lower() not in headers:
        return None
    try:
        return msgspec.json.decode(body, type=ErrorBody).error
    except msgspec.DecodeError:
        return None
