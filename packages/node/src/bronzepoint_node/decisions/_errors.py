"""Errors of the lookup of decision records."""

from bronzepoint_schema.ids import RequestId

RETRY_AFTER = 5.0
"""Seconds until a lookup to which no host replied is worth a retry: the hosts may reply
again by then."""


class WhyError(Exception):
    """A decision record could not be looked up.

    Attributes:
        message: What is wrong.
        remedy: What to do about it.
        retry_after: Seconds after which a retry may succeed; 0: a retry is of no use.
    """

    def __init__(self, message: str, remedy: str, retry_after: float = 0.0) -> None:
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy
        self.retry_after = retry_after


class BadRequestId(WhyError):
    """The text is not a valid request identifier."""

    def __init__(self, text: str) -> None:
        super().__init__(
            f"{text[:100]!r} is not a request id",
            "copy the value of the answer's Bronzepoint-Request-Id header; it reads "
            "HOST.REGION.32 hex digits",
        )


class RecordNotFound(WhyError):
    """The hosts that may hold the record have answered, and none has it."""

    def __init__(self, request_id: RequestId, replies: str) -> None:
        super().__init__(
            f"no record of request {request_id}: {replies}",
            "ask sooner after the request, raise [decisions] keep and own_bytes, or "
            "look in the log of the host that took it",
        )


class RecordUnreachable(WhyError):
    """None of the hosts that may hold the record answered."""

    def __init__(self, request_id: RequestId, replies: str) -> None:
        super().__init__(
            f"the record of request {request_id} can't be read now: {replies}",
            "ask a host of the request's own region, or ask again once the regions "
            "reach each other",
            RETRY_AFTER,
        )
