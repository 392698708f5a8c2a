"""Errors of looking up a decision."""

from bronzepoint_schema.ids import RequestId

RETRY_AFTER = 5.0
"""Seconds after which hosts that did not answer may do so again."""


class WhyError(Exception):
    """A decision could not be looked up.

    Attributes:
        message: What is wrong.
        remedy: What to do about it.
        retry_after: Seconds until another look makes sense; 0 where it makes none.
    """

    def __init__(self, message: str, remedy: str, retry_after: float = 0.0) -> None:
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy
        self.retry_after = retry_after


class BadRequestId(WhyError):
    """The text is not an identifier that a host gives out."""

    def __init__(self, text: str) -> None:
        super().__init__(
            f"{text[:100]!r} is not a request id",
            "copy the value of the answer's Bronzepoint-Request-Id header; it reads "
            "HOST.REGION.32 hex digits",
        )


class RecordNotFound(WhyError):
    """The hosts that may hold the record were asked and have none."""

    def __init__(self, request_id: RequestId, asked: str) -> None:
        super().__init__(
            f"no record of request {request_id}: {asked}",
            "ask sooner after the request, raise [decisions] keep and own_bytes, or "
            "look in the log of the host that took it",
        )


class RecordUnreachable(WhyError):
    """None of the hosts that may hold the record answered."""

    def __init__(self, request_id: RequestId, asked: str) -> None:
        super().__init__(
            f"the record of request {request_id} can't be read now: {asked}",
            "ask a host of the request's own region, or ask again once the regions "
            "reach each other",
            RETRY_AFTER,
        )
