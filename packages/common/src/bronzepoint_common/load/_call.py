"""One request of a load."""

from msgspec import Struct, field


class LoadCall(Struct):
    """What is sent, apart from the credentials that all calls share.

    Attributes:
        path: Path and query.
        headers: Headers of this call; an idempotency key among them makes it safe to
            send again whatever became of it.
        stream: Whether the answer is a stream of server-sent events.
        idempotent: Whether it may run twice.
    """

    method: str
    path: str
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    stream: bool = True
    idempotent: bool = True
