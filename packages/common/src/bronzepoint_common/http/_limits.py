"""Limits of a server or client."""

from msgspec import Struct


class HttpLimits(Struct, frozen=True):
    """Limits on sizes (bytes), connections and times (seconds).

    Attributes:
        max_head: Size of a head.
        max_body: Size of a request's body, or of an answer that is fetched whole.
        max_connections: Open connections of a server.
        head_timeout: From the first byte of a request to the end of its head.
        idle_timeout: How long an idle connection waits for its next request, and
            the longest time for a request's body.
        write_timeout: How long a reader may accept nothing before its connection is
            reset.
    """

    max_head: int = 16384
    max_body: int = 1048576
    max_connections: int = 2000
    head_timeout: float = 10.0
    idle_timeout: float = 60.0
    write_timeout: float = 30.0
