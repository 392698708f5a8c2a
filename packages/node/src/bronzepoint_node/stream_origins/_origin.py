"""Service and software version of the target that began a stream."""

from urllib.parse import quote, unquote

from msgspec import Struct
from xxhash import xxh64_intdigest

SEPARATOR = ";"


class StreamOrigin(Struct, frozen=True):
    """Service and software version of the target that began a stream.

    Attributes:
        service: The service.
        software_version: The version; empty: the target list names none.
    """

    service: str
    software_version: str

    def __str__(self) -> str:
        """Return the value of a header between hosts."""
        return f"{quote(self.service)}{SEPARATOR}{quote(self.software_version)}"

    @classmethod
    def parse(cls, text: str) -> "StreamOrigin | None":
        """Return the origin in a header between hosts; None if there is none."""
        service, found, version = text.partition(SEPARATOR)
        return cls(unquote(service), unquote(version)) if found else None


def origin_key(host: str, path: str, attempt: str) -> int:
    """Return the key of the stream that a caller's attempt has begun.

    Attempts of different callers may have the same id, so the key includes what was
    requested.

    Args:
        host: Host name of the request.
        path: Path and query of the request.
        attempt: Id of the attempt that brought the first event.
    """
    return xxh64_intdigest("\0".join((host, path, attempt)).encode())
