"""One request of the load generator."""

from msgspec import Struct, field


class LoadCall(Struct):
    """A request to send, without the credentials that all calls share.

    Attributes:
        path: Path and query.
        headers: Headers of this call; if they contain an idempotency key, the call can
            be sent again whatever its outcome.
        stream: Whether the answer is a stream of server-sent events.
        idempotent: Whether the request may run twice.
    """

    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    stream: bool = True
    idempotent: bool = True
